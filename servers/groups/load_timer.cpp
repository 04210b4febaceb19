#include "servers/groups/load_timer.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

bool isLoading(const EngineReport &Report, const GroupSettings &Settings,
               MonotonicTime Now) {
  return Report.m_Reachable && Report.m_State == EngineState::Loading &&
         Now - Report.m_PolledAt <= Settings.m_MaxReportAge;
}

} // namespace

void LoadTimer::update(const EngineReports &Reports,
                       const GroupSettings &Settings, MonotonicTime Now) {
  const auto LoadingVms = static_cast<std::size_t>(
      std::count_if(Reports.begin(), Reports.end(), [&](const auto &Entry) {
        return isLoading(Entry.second, Settings, Now);
      }));
  m_OverdueVms.clear();
  for (auto Current = m_Loads.begin(); Current != m_Loads.end();) {
    const auto Report = Reports.find(Current->first);
    const bool IsStillLoading =
        Report != Reports.end() && isLoading(Report->second, Settings, Now);
    Current = IsStillLoading ? std::next(Current) : m_Loads.erase(Current);
  }
  for (const auto &[Name, Report] : Reports) {
    if (!isLoading(Report, Settings, Now))
      continue;
    LoadInProgress &Current = m_Loads[Name];
    if (Current.m_StartId != Report.m_StartId ||
        Current.m_Group != Report.m_Group ||
        Current.m_Generation != Report.m_Generation)
      Current = {Report.m_StartId, Report.m_Group, Report.m_Generation, Now, 0};
    Current.m_MaxConcurrentLoads =
        std::max(Current.m_MaxConcurrentLoads, LoadingVms);
    const Duration LoadTimeout =
        Settings.m_WeightStore.reloadTime(Current.m_MaxConcurrentLoads) *
        Settings.m_LoadTimeoutFactor;
    if (Now - Current.m_Since > LoadTimeout)
      m_OverdueVms.insert(Name);
  }
}

} // namespace fulmarwinch
