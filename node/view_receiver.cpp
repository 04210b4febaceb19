#include "node/view_receiver.h"

#include "core/log.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// The last generation of a group is remembered for this time, so that a late
/// view of an earlier generation cannot bring the group back.
constexpr Duration ForgetAfter = std::chrono::minutes(5);
/// Added to the load of groups in other availability zones.
constexpr double OtherZoneDistance = 0.1;

} // namespace

ViewReceiver::ViewReceiver(DataPath &Path, std::string Zone)
    : m_Path(Path), m_Zone(std::move(Zone)) {}

void ViewReceiver::onView(const PublishedView &View, MonotonicTime Now) {
  Known &Group = m_Groups[View.m_Group];
  if (View.m_Generation < Group.m_View.m_Generation)
    return;
  // What the group failed says nothing about its new members.
  if (View.m_Generation != Group.m_View.m_Generation)
    m_Path.outliers().forget(View.m_Group);
  const bool WasServing = Group.m_View.m_Serving;
  const bool SameStart = View.m_StartId == Group.m_View.m_StartId;
  // A completed ramp belongs to one start of the engine. It outlives a change
  // of the shard holder, which knows nothing of it at first.
  const bool StaysWarm = Group.m_Warm && SameStart && !View.m_Cold;
  const bool IsWarm = StaysWarm || (!View.m_WarmStartId.empty() &&
                                    View.m_WarmStartId == View.m_StartId);
  Group.m_View = View;
  Group.m_ReceivedAt = Now;
  Group.m_Warm = IsWarm;
  if (WasServing != View.m_Serving)
    logLine(LogLevel::Info, "routing",
            View.m_Serving ? fmt::format("group {} generation {} serves",
                                         View.m_Group, View.m_Generation)
                           : fmt::format("group {} stopped: {}", View.m_Group,
                                         View.m_Reason));
  if (!View.m_Serving) {
    m_Path.table().remove(View.m_Group);
    return;
  }
  m_Path.slots().onStartId(View.m_Group, View.m_StartId);
  m_Path.table().update(toGroupView(Group));
  LoadReport Report;
  Report.m_Running = View.m_Running;
  Report.m_Waiting = View.m_Waiting;
  Report.m_Capacity = View.m_Capacity;
  Report.m_At = Now;
  m_Path.table().onLoadReport(View.m_Group, Report);
}

GroupView ViewReceiver::toGroupView(const Known &Group) const {
  const PublishedView &View = Group.m_View;
  GroupView Result;
  Result.m_Group = View.m_Group;
  Result.m_Deployment = View.m_Deployment;
  Result.m_Generation = View.m_Generation;
  Result.m_HeadAddress = View.m_HeadAddress;
  Result.m_StartId = View.m_StartId;
  Result.m_Zone = View.m_Zone;
  Result.m_Distance = View.m_Zone == m_Zone ? 0 : OtherZoneDistance;
  Result.m_Capability = capabilityOf(View);
  Result.m_ViewExpiry = Group.m_ReceivedAt + ViewLifetime;
  Result.m_Leaving = View.m_Leaving;
  Result.m_Warm = Group.m_Warm;
  return Result;
}

Capability ViewReceiver::capabilityOf(const PublishedView &View) const {
  Capability Result;
  Result.m_Version = View.m_Version;
  const Deployment *Target =
      m_Path.configuration()->m_View->deployment(View.m_Deployment);
  if (!Target)
    return Result;
  Result.m_ContextLength = static_cast<std::size_t>(Target->m_ContextLength);
  Result.m_Adapters.insert(Target->m_Adapters.begin(),
                           Target->m_Adapters.end());
  return Result;
}

void ViewReceiver::tick(MonotonicTime Now) {
  for (auto Entry = m_Groups.begin(); Entry != m_Groups.end();) {
    if (Now - Entry->second.m_ReceivedAt < ForgetAfter) {
      ++Entry;
      continue;
    }
    m_Path.table().remove(Entry->first);
    m_Path.outliers().forget(Entry->first);
    Entry = m_Groups.erase(Entry);
  }
}

} // namespace fulmarwinch
