#ifndef FULMARWINCH_SERVERS_ROUTING_ROUTING_TABLE_H
#define FULMARWINCH_SERVERS_ROUTING_ROUTING_TABLE_H

#include "servers/routing/group_view.h"

#include <array>
#include <map>
#include <mutex>
#include <vector>

namespace fulmarwinch {

/// The replica groups that this node routes to. Safe for use by several
/// threads; each shard has its own lock.
class RoutingTable {
public:
  /// Adds or replaces a view. A lower generation than the known one is
  /// ignored, because views may arrive out of order. A new generation or
  /// start ID discards the load report and the observed times.
  void update(GroupView View);
  void remove(const std::string &Group);
  void onLoadReport(const std::string &Group, const LoadReport &Report);

  /// Groups of \p Deployment, in a stable order.
  std::vector<Candidate> candidates(const std::string &Deployment) const;

  /// Counts a dispatch if fewer than \p Limit own requests are in flight.
  /// The check and the count are one step, so that threads cannot exceed the
  /// limit together.
  bool tryDispatch(const std::string &Group, std::size_t Limit);
  /// An attempt ended, with the times that were observed if it served tokens.
  void onEnded(const std::string &Group,
               const std::optional<ObservedTimes> &Times);
  std::size_t size() const;

private:
  struct Entry {
    Candidate m_Figures;
  };
  struct Shard {
    mutable std::mutex m_Mutex;
    std::map<std::string, std::map<std::string, Entry>> m_Deployments;
    /// Deployment of each group.
    std::map<std::string, std::string> m_Groups;
    Entry *find(const std::string &Group);
  };

  Shard &shardOf(const std::string &Group);

  std::array<Shard, 16> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ROUTING_TABLE_H
