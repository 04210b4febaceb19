#ifndef FULMARWINCH_SERVERS_GROUPS_LOAD_TIMER_H
#define FULMARWINCH_SERVERS_GROUPS_LOAD_TIMER_H

#include "servers/groups/engine_messages.h"
#include "servers/groups/group_settings.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace fulmarwinch {

/// Finds engines that load for much longer than the weight store needs.
class LoadTimer {
public:
  /// Takes the present reports. The time of an engine starts again when it
  /// was not reachable or loads something else.
  void observe(const EngineReports &Reports, const GroupSettings &Settings,
               MonotonicTime Now);
  /// VMs whose engine has exceeded the load time limit.
  const std::set<std::string> &overdue() const { return m_Overdue; }

private:
  struct Load {
    std::string m_StartId;
    std::string m_Group;
    std::uint64_t m_Generation = 0;
    MonotonicTime m_Since{};
    /// Most VMs that loaded at the same time; they share the weight store.
    std::size_t m_MostVms = 0;
  };

  std::map<std::string, Load> m_Loads;
  std::set<std::string> m_Overdue;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_LOAD_TIMER_H
