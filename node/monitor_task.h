#ifndef FULMARWINCH_NODE_MONITOR_TASK_H
#define FULMARWINCH_NODE_MONITOR_TASK_H

#include "core/json.h"
#include "servers/groups/assignment.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Member VM of a group, with the address of its engine.
struct MonitoredMember {
  std::string m_Vm;
  std::string m_Address;
};

/// Task that a shard holder sends to the monitors of a group. It stays valid
/// until a newer one arrives, so that groups continue to serve while the object
/// store is unavailable.
struct MonitorTask {
  std::string m_Group;
  std::string m_Domain;
  std::string m_Zone;
  std::string m_Deployment;
  std::string m_Version;
  std::uint64_t m_Generation = 0;
  GroupState m_State = GroupState::Forming;
  std::vector<MonitoredMember> m_Members;
  /// Lease holder of the group's shard, and the epoch of the lease.
  std::string m_Holder;
  std::uint64_t m_Epoch = 0;
  /// Start ID of the head's engine if its slot ramp is complete, else empty.
  std::string m_WarmStartId;
};

Json toJson(const MonitorTask &Task);
std::optional<MonitorTask> parseMonitorTask(const Json &Object);

/// State of one group that its monitor publishes to the routers.
struct PublishedView {
  std::string m_Group;
  std::string m_Deployment;
  std::string m_Version;
  std::string m_Zone;
  std::uint64_t m_Generation = 0;
  bool m_Serving = false;
  bool m_Draining = false;
  /// Reason why the group does not serve, empty if it serves.
  std::string m_Reason;
  std::string m_HeadAddress;
  std::string m_StartId;
  bool m_Cold = true;
  std::string m_WarmStartId;
  std::string m_Holder;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Waiting = 0;
  std::uint64_t m_Capacity = 1;
  /// Number of member VMs; 0 if the group is disbanded.
  std::size_t m_Members = 0;
};

Json toJson(const PublishedView &View);
std::optional<PublishedView> parsePublishedView(const Json &Object);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_MONITOR_TASK_H
