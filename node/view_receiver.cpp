#include "node/view_receiver.h"

#include "core/log.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// The last view of a group is stored for this time, so that a late view of an
/// earlier generation cannot restore the group.
constexpr Duration RetentionTime = std::chrono::minutes(5);
/// Added to the load of groups in other availability zones when a group is
/// chosen, so that groups in the node's own zone are preferred.
constexpr double OtherZonePenalty = 0.1;

} // namespace

ViewReceiver::ViewReceiver(DataPath &Path, std::string Zone)
    : m_DataPath(Path), m_OwnZone(std::move(Zone)) {}

void ViewReceiver::onView(const PublishedView &View, MonotonicTime Now) {
  ReceivedView &Group = m_Groups[View.m_Group];
  if (View.m_Generation < Group.m_View.m_Generation)
    return;
  // A new generation has new members, to which the failures of the earlier ones
  // do not apply.
  if (View.m_Generation != Group.m_View.m_Generation)
    m_DataPath.outlierTracker().removeGroup(View.m_Group);
  const bool WasServing = Group.m_View.m_Serving;
  const bool IsSameStart = View.m_StartId == Group.m_View.m_StartId;
  // A completed slot ramp is valid for one start of the engine. It stays valid
  // when the shard holder changes, because the new holder has no record of the
  // ramp at first.
  const bool StaysWarm = Group.m_Warm && IsSameStart && !View.m_Cold;
  const bool IsWarm = StaysWarm || (!View.m_WarmStartId.empty() &&
                                    View.m_WarmStartId == View.m_StartId);
  Group.m_View = View;
  Group.m_ReceivedAt = Now;
  Group.m_Warm = IsWarm;
  if (WasServing != View.m_Serving)
    logLine(LogLevel::Info, "routing",
            View.m_Serving ? fmt::format("group {} serves in generation {}",
                                         View.m_Group, View.m_Generation)
                           : fmt::format("group {} stopped serving: {}",
                                         View.m_Group, View.m_Reason));
  if (!View.m_Serving) {
    m_DataPath.routingTable().removeGroup(View.m_Group);
    return;
  }
  m_DataPath.nodeSlots().onStartId(View.m_Group, View.m_StartId);
  m_DataPath.routingTable().updateView(toGroupView(Group));
  LoadReport Report;
  Report.m_RunningRequests = View.m_Running;
  Report.m_WaitingRequests = View.m_Waiting;
  Report.m_Capacity = View.m_Capacity;
  Report.m_ReportedAt = Now;
  m_DataPath.routingTable().onLoadReport(View.m_Group, Report);
}

GroupView ViewReceiver::toGroupView(const ReceivedView &Group) const {
  const PublishedView &View = Group.m_View;
  GroupView Result;
  Result.m_Group = View.m_Group;
  Result.m_Deployment = View.m_Deployment;
  Result.m_Generation = View.m_Generation;
  Result.m_HeadAddress = View.m_HeadAddress;
  Result.m_StartId = View.m_StartId;
  Result.m_Zone = View.m_Zone;
  Result.m_DistancePenalty = View.m_Zone == m_OwnZone ? 0 : OtherZonePenalty;
  Result.m_Capability = capabilityOf(View);
  Result.m_ViewExpiry = Group.m_ReceivedAt + ViewLifetime;
  Result.m_Draining = View.m_Draining;
  Result.m_Warm = Group.m_Warm;
  return Result;
}

Capability ViewReceiver::capabilityOf(const PublishedView &View) const {
  Capability Result;
  Result.m_Version = View.m_Version;
  const Deployment *ConfiguredDeployment =
      m_DataPath.configuration()->m_View->deployment(View.m_Deployment);
  if (!ConfiguredDeployment)
    return Result;
  Result.m_ContextLength =
      static_cast<std::size_t>(ConfiguredDeployment->m_ContextLength);
  Result.m_Adapters.insert(ConfiguredDeployment->m_Adapters.begin(),
                           ConfiguredDeployment->m_Adapters.end());
  return Result;
}

void ViewReceiver::tick(MonotonicTime Now) {
  for (auto Entry = m_Groups.begin(); Entry != m_Groups.end();) {
    if (Now - Entry->second.m_ReceivedAt < RetentionTime) {
      ++Entry;
      continue;
    }
    m_DataPath.routingTable().removeGroup(Entry->first);
    m_DataPath.outlierTracker().removeGroup(Entry->first);
    Entry = m_Groups.erase(Entry);
  }
}

} // namespace fulmarwinch
