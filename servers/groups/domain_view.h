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

/// A group of any domain that is loading or queued for loading.
struct LoadCandidate {
  std::string m_Group;
  bool m_IsLoading = false;
  int m_Priority = 0;
  double m_DowntimeWeight = 0;
  std::size_t m_VmCount = 0;
};

/// Inputs of the state transitions of one fabric domain at one point in time.
struct DomainView {
  const GroupSettings &m_Settings;
  const DeploymentSpecs &m_Specs;
  const RepairPolicy &m_Policy;
  const MemberHealth &m_Health;
  const EngineReports &m_Reports;
  /// VMs of this domain in the platform's VM list, by name.
  std::map<std::string, ListedVm> m_ListedVms;
  /// VMs whose current engine process has accepted an unload order of this
  /// lease holder and reported empty after that.
  std::set<std::string> m_FencedEmptyVms;
  /// VMs whose engine has exceeded the load timeout.
  std::set<std::string> m_OverdueLoads;
  /// Number of groups to form (positive) or to remove (negative) in this
  /// domain, by deployment.
  std::map<std::string, int> m_PlacementChange;
  /// Groups of all domains that are loading or queued for loading.
  std::vector<LoadCandidate> m_LoadCandidates;
  MonotonicTime m_Now{};
  /// Generation of the next write of the assignment.
  std::uint64_t m_NextGeneration = 1;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_DOMAIN_VIEW_H
