#ifndef FULMARWINCH_SERVERS_GROUPS_DEPLOYMENT_SPEC_H
#define FULMARWINCH_SERVERS_GROUPS_DEPLOYMENT_SPEC_H

#include <cstdint>
#include <map>
#include <string>

namespace fulmarwinch {

/// What an operator wants of one deployment, as far as groups need it.
struct DeploymentSpec {
  std::string m_Name;
  std::string m_Model;
  std::string m_Version;
  std::size_t m_VmsPerGroup = 1;
  std::size_t m_Replicas = 0;
  /// Higher values go first and may preempt lower ones.
  int m_Priority = 0;
  /// Cost of one second in which one group does not serve.
  double m_DowntimeWeight = 1.0;
  /// Cost of one second in which one VM idles in an incomplete group.
  double m_StrandedWeight = 0.1;
  /// True if the engines refuse orders with an old fencing token.
  bool m_EngineChecksFencing = true;
};

using DeploymentSpecs = std::map<std::string, DeploymentSpec>;

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_DEPLOYMENT_SPEC_H
