#ifndef FULMARWINCH_SERVERS_GROUPS_DEPLOYMENT_SPEC_H
#define FULMARWINCH_SERVERS_GROUPS_DEPLOYMENT_SPEC_H

#include <cstdint>
#include <map>
#include <string>

namespace fulmarwinch {

/// Configured target state of one deployment, with only the fields that group
/// control uses.
struct DeploymentSpec {
  std::string m_Name;
  std::string m_Model;
  std::string m_Version;
  std::size_t m_VmsPerGroup = 1;
  /// Target number of groups.
  std::size_t m_Replicas = 0;
  /// Deployments with a higher priority are placed, repaired and loaded first
  /// and may preempt the groups of lower ones.
  int m_Priority = 0;
  /// Repair cost per second in which one group does not serve.
  double m_DowntimeWeight = 1.0;
  /// Repair cost per second in which one VM is idle in an incomplete group.
  double m_StrandedWeight = 0.1;
  /// True if the engines refuse orders whose fencing token is lower than one
  /// that they have already seen.
  bool m_EngineChecksFencing = true;
};

/// Target states by deployment name.
using DeploymentSpecs = std::map<std::string, DeploymentSpec>;

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_DEPLOYMENT_SPEC_H
