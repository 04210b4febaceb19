#ifndef FULMARWINCH_SERVERS_DISPATCH_WAITING_ORDER_H
#define FULMARWINCH_SERVERS_DISPATCH_WAITING_ORDER_H

#include "core/time.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Place of a request that waits for a server.
struct WaitingRank {
  /// Priority of the request; 0 is the most urgent.
  unsigned m_Priority = 0;
  /// Admitted share of the requests of its organisation. An organisation that
  /// sends more than its share has a smaller one.
  double m_OrganisationShare = 1.0;
  MonotonicTime m_Deadline{};

  /// True if this request is tried before \p Other.
  bool operator<(const WaitingRank &Other) const;
};

/// Servers for which requests wait on one node.
///
/// Load condition: many requests wait for the servers of one service and model,
/// all of which are full. Each attempt to choose a server looks at all servers,
/// so only the first of these requests is tried in each tick.
class FullPools {
public:
  /// Must be called before the waiting requests are tried, in their order.
  void beginTick() { m_FirstWaiting.clear(); }
  /// Must be called when a request that has not tried any server found all
  /// servers of \p Pool full.
  void onFull(const std::string &Pool, const WaitingRank &Rank);
  /// True if a request that has not tried any server need not be tried before
  /// the next tick: all servers of \p Pool were full for another one that goes
  /// first.
  bool mustWait(const std::string &Pool, const WaitingRank &Rank) const;

private:
  /// Rank of the most urgent request that found all servers full, by pool.
  std::map<std::string, WaitingRank> m_FirstWaiting;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_WAITING_ORDER_H
