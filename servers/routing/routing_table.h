#ifndef FULMARWINCH_SERVERS_ROUTING_ROUTING_TABLE_H
#define FULMARWINCH_SERVERS_ROUTING_ROUTING_TABLE_H

#include "servers/routing/group_view.h"

#include <array>
#include <map>
#include <mutex>
#include <vector>

namespace fulmarwinch {

/// Replica groups that this node routes to, with their views, load reports and
/// this node's requests in flight. Safe for use by several threads; each shard
/// has its own lock.
class RoutingTable {
public:
  /// Adds a group or replaces its view. A view with a lower generation than the
  /// current one is ignored, because views may arrive out of order. A new
  /// generation or start ID discards the load report and the observed times.
  void updateView(GroupView View);
  /// Removes a group; does nothing if it is unknown.
  void removeGroup(const std::string &Group);
  /// Stores a load report, unless a newer one is known or the group is not.
  void onLoadReport(const std::string &Group, const LoadReport &Report);

  /// Returns copies of all groups of \p Deployment, in a stable order.
  std::vector<Candidate> candidates(const std::string &Deployment) const;

  /// Counts a dispatch if fewer than \p Limit requests of this node are in
  /// flight on the group, else returns false. Check and count are one atomic
  /// step, so that concurrent threads cannot exceed the limit.
  bool tryDispatch(const std::string &Group, std::size_t Limit);
  /// Decreases the group's requests in flight by one. \p Times are the observed
  /// response times, if the attempt received tokens.
  void onAttemptEnded(const std::string &Group,
                      const std::optional<ObservedTimes> &Times);
  /// Number of groups.
  std::size_t size() const;

private:
  struct Entry {
    Candidate m_Candidate;
  };
  struct Shard {
    mutable std::mutex m_Mutex;
    std::map<std::string, std::map<std::string, Entry>> m_GroupsByDeployment;
    /// Deployment of each group.
    std::map<std::string, std::string> m_DeploymentByGroup;
    /// Returns nullptr for an unknown group.
    Entry *find(const std::string &Group);
  };

  Shard &shardFor(const std::string &Group);

  std::array<Shard, 16> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ROUTING_TABLE_H
