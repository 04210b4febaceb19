#ifndef FULMARWINCH_NODE_GROUP_MONITOR_H
#define FULMARWINCH_NODE_GROUP_MONITOR_H

#include "node/engine_client.h"
#include "node/monitor_task.h"
#include "node/peer_service.h"
#include "servers/groups/serving_view.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace fulmarwinch {

/// Polls the members of the groups that this node monitors and publishes the
/// serving views of these groups. A monitor needs no lease, because a view only
/// reflects what the engines reported. Runs on the control thread.
class GroupMonitor {
public:
  GroupMonitor(PeerService &Peers, EngineClient &Engines);

  /// Replaces the tasks of one fabric domain by those in \p Message, unless it
  /// has an older generation or epoch of the domain than the last message.
  void onTasks(const Json &Message);
  /// Publishes views and polls members. Must be called every 250 ms, the poll
  /// interval of docs/design.md, section 4.3.
  void tick(MonotonicTime Now);

private:
  struct MonitoredGroup {
    MonitorTask m_Task;
    std::map<std::string, EngineStatus> m_Statuses;
    std::map<std::string, bool> m_IsPollInFlight;
    std::string m_PublishedText;
    MonotonicTime m_PublishedAt{};
    /// Time at which this node became the monitor of the group; empty if it is
    /// not the monitor.
    std::optional<MonotonicTime> m_MonitorSince;
  };
  struct DomainVersion {
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Generation = 0;
  };

  /// Removes the statuses of VMs that are no longer members; otherwise they
  /// would accumulate.
  static void removeFormerMembers(MonitoredGroup &Group);
  void removeUnassignedGroups(const std::string &Domain,
                              const std::set<std::string> &Assigned,
                              const std::set<std::string> &Existing);
  /// Returns true if this node ranks first for the group among the alive nodes.
  bool isMonitor(const MonitorTask &Task) const;
  /// Returns true if all members have reported since this node became the
  /// monitor, or if the time for that has passed.
  static bool hasMemberReports(const MonitoredGroup &Group, MonotonicTime Now);
  void pollMembers(MonitoredGroup &Group);
  PublishedView makeView(const MonitoredGroup &Group, MonotonicTime Now) const;
  void publish(MonitoredGroup &Group, MonotonicTime Now);

  PeerService &m_Peers;
  EngineClient &m_Engines;
  std::map<std::string, DomainVersion> m_Domains;
  std::map<std::string, MonitoredGroup> m_Groups;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_GROUP_MONITOR_H
