#ifndef FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H
#define FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H

#include "servers/dispatch/completion_rate.h"
#include "servers/dispatch/first_event_latency.h"
#include "servers/dispatch/server_selector.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Shares of the requests of one model, from 0 to 1, that are admitted.
struct AdmittedShares {
  double m_FirstAttempts = 1.0;
  double m_Returning = 1.0;

  bool admitsAll() const {
    return m_FirstAttempts >= 1.0 && m_Returning >= 1.0;
  }
};

/// What is known about the load of the groups of one model, or of the servers
/// of one service without groups.
struct PoolLoad {
  GroupSupply m_Supply;
  RelativeLatency m_Latency;
  /// Work per second that the groups have completed, and that is offered.
  double m_Completed = 0.0;
  OfferedWork m_Offered;
  /// Number of nodes whose work is included.
  unsigned m_Nodes = 1;
};

/// Decides which share of the requests of one model is admitted.
///
/// Load condition: for seconds to tens of seconds, all nodes together receive
/// more requests than the groups complete. If more are admitted, all of them
/// wait in the queues of the groups and most are late; the load reports of many
/// nodes are too old to prevent this. The remaining requests are rejected at
/// once.
///
/// The admitted work follows what the groups complete, not what they should be
/// able to do. While groups have free slots, completions show the demand and
/// not the capacity; nothing is rejected then, and the capacity is not lowered.
/// First attempts go first: they can still be served within their objective,
/// and each of them that is rejected for a returning request would make one
/// more client late.
class OverloadAdmission {
public:
  /// Interval between two calls of update().
  static constexpr Duration Period = std::chrono::milliseconds(200);

  /// Returns the shares to admit in the next period.
  AdmittedShares update(const PoolLoad &Load);
  /// True if requests are rejected unless slots are free.
  bool isOverloaded() const { return m_IsOverloaded; }
  /// Work per second that the groups can complete, as far as it was seen.
  double capacity() const { return m_Capacity; }

private:
  /// Slots in use on all nodes, per slot.
  static double slotUsage(const GroupSupply &Supply);
  void updateCapacity(const PoolLoad &Load);
  void updateCorrection(const PoolLoad &Load);

  bool m_IsOverloaded = false;
  /// Average of the slot usage over about a second.
  double m_SlotUsage = 0.0;
  double m_Capacity = 0.0;
  /// Number of groups and nodes to which m_Capacity refers.
  std::size_t m_Groups = 0;
  unsigned m_Nodes = 0;
  /// Ratio of the admitted work to m_Capacity. It is below 1 while queues have
  /// to become shorter, and above 1 while latency permits more.
  double m_Correction = 1.0;
  /// Shares before the free slots are considered.
  AdmittedShares m_Shares;
};

/// Tells first attempts from requests of clients that were rejected before and
/// have therefore less time left than usual.
class ReturningClients {
public:
  /// Records the time that a request of \p Route has left. Returns true if its
  /// client seems to have been rejected before.
  bool isReturning(const std::string &Route, Duration TimeLeft);

private:
  /// Average time left, in seconds, by route.
  std::map<std::string, double> m_UsualSeconds;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H
