#ifndef FULMARWINCH_NODE_MONITOR_TASK_H
#define FULMARWINCH_NODE_MONITOR_TASK_H

#include "core/json.h"
#include "servers/groups/assignment.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// A member of a group with the address of its engine.
struct MonitoredMember {
  std::string m_Vm;
  std::string m_Address;
};

/// What a shard holder tells the monitors of a group. The task stays valid
/// until a newer one arrives, so that groups go on serving while the object
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
  /// Node that holds the shard's lease, and its epoch.
  std::string m_Holder;
  std::uint64_t m_Epoch = 0;
  /// Start of the head's engine whose ramp is complete; empty if none is.
  std::string m_WarmStartId;
};

Json toJson(const MonitorTask &Task);
std::optional<MonitorTask> parseMonitorTask(const Json &Object);

/// What a monitor tells routers about one group.
struct PublishedView {
  std::string m_Group;
  std::string m_Deployment;
  std::string m_Version;
  std::string m_Zone;
  std::uint64_t m_Generation = 0;
  bool m_Serving = false;
  bool m_Leaving = false;
  std::string m_Reason;
  std::string m_HeadAddress;
  std::string m_StartId;
  bool m_Cold = true;
  std::string m_WarmStartId;
  std::string m_Holder;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Waiting = 0;
  std::uint64_t m_Capacity = 1;
  std::size_t m_Members = 0;
};

Json toJson(const PublishedView &View);
std::optional<PublishedView> parsePublishedView(const Json &Object);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_MONITOR_TASK_H
