#ifndef FULMARWINCH_SERVERS_GROUPS_DOMAIN_VIEW_H
#define FULMARWINCH_SERVERS_GROUPS_DOMAIN_VIEW_H

#include "servers/groups/deployment_spec.h"
#include "servers/groups/engine_messages.h"
#include "servers/groups/group_settings.h"
#include "servers/groups/member_health.h"
#include "servers/groups/repair_policy.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// A group of any domain that loads or waits for its turn.
struct LoadCandidate {
  std::string m_Group;
  bool m_Loading = false;
  int m_Priority = 0;
  double m_DowntimeWeight = 0;
  std::size_t m_Vms = 0;
};

/// Everything that the transitions of one domain depend on at one moment.
struct DomainView {
  const GroupSettings &m_Settings;
  const DeploymentSpecs &m_Specs;
  const RepairPolicy &m_Policy;
  const MemberHealth &m_Health;
  const EngineReports &m_Reports;
  /// Listed VMs of this domain.
  std::map<std::string, ListedVm> m_Listed;
  /// VMs whose engine accepted an unload order of this holder in its current
  /// start and has reported empty after that.
  std::set<std::string> m_FencedEmpty;
  /// VMs whose engine loads for too long.
  std::set<std::string> m_OverdueLoads;
  /// Placement change of this domain, by deployment.
  std::map<std::string, int> m_Placement;
  std::vector<LoadCandidate> m_Loads;
  MonotonicTime m_Now{};
  /// Generation that the next write of the assignment gets.
  std::uint64_t m_NextGeneration = 1;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_DOMAIN_VIEW_H
