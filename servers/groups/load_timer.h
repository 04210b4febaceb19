#ifndef FULMARWINCH_SERVERS_GROUPS_LOAD_TIMER_H
#define FULMARWINCH_SERVERS_GROUPS_LOAD_TIMER_H

#include "servers/groups/engine_messages.h"
#include "servers/groups/group_settings.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace fulmarwinch {

/// Detects engines that exceed the load timeout, a multiple of the load time
/// that the throughput of the weight store allows.
class LoadTimer {
public:
  /// Updates the load times from the last engine reports. The load time of an
  /// engine restarts from zero when the engine was unreachable, was restarted
  /// or loads another group or generation.
  void update(const EngineReports &Reports, const GroupSettings &Settings,
              MonotonicTime Now);
  /// Returns the VMs whose engine has exceeded the load timeout.
  const std::set<std::string> &overdueVms() const { return m_OverdueVms; }

private:
  /// A load that is in progress.
  struct LoadInProgress {
    std::string m_StartId;
    std::string m_Group;
    std::uint64_t m_Generation = 0;
    MonotonicTime m_Since{};
    /// Maximum number of VMs that have been loading at the same time since this
    /// load started; they share the throughput of the weight store.
    std::size_t m_MaxConcurrentLoads = 0;
  };

  std::map<std::string, LoadInProgress> m_Loads;
  std::set<std::string> m_OverdueVms;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_LOAD_TIMER_H
