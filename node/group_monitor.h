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

/// Polls the members of the groups that this node monitors and publishes
/// their serving views. Monitoring needs no lease, because a view only repeats
/// what the engines said. Runs on the control thread.
class GroupMonitor {
public:
  GroupMonitor(PeerService &Peers, EngineClient &Engines);

  /// Takes the tasks of one fabric domain, which replace earlier ones unless
  /// they come from an earlier state of the domain.
  void onTasks(const Json &Message);
  /// To be called every 250 ms, the poll interval of design 4.3.
  void tick(MonotonicTime Now);

private:
  struct Monitored {
    MonitorTask m_Task;
    std::map<std::string, EngineStatus> m_Statuses;
    std::map<std::string, bool> m_IsPolled;
    std::string m_LastText;
    MonotonicTime m_PublishedAt{};
    /// Time since which this node is the monitor.
    std::optional<MonotonicTime> m_ActiveSince;
  };
  struct DomainVersion {
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Generation = 0;
  };

  /// Without this, VMs that were replaced long ago would be kept.
  static void forgetOtherMembers(Monitored &Group);
  void removeUnlisted(const std::string &Domain,
                      const std::set<std::string> &Listed,
                      const std::set<std::string> &Existing);
  bool isActive(const MonitorTask &Task) const;
  /// Returns true if all members were polled since this node is the monitor,
  /// or if that took too long.
  static bool knowsMembers(const Monitored &Group, MonotonicTime Now);
  void pollMembers(Monitored &Group);
  PublishedView makeView(const Monitored &Group, MonotonicTime Now) const;
  void publish(Monitored &Group, MonotonicTime Now);

  PeerService &m_Peers;
  EngineClient &m_Engines;
  std::map<std::string, DomainVersion> m_Domains;
  std::map<std::string, Monitored> m_Groups;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_GROUP_MONITOR_H
