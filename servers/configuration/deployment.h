#ifndef FULMARWINCH_SERVERS_CONFIGURATION_DEPLOYMENT_H
#define FULMARWINCH_SERVERS_CONFIGURATION_DEPLOYMENT_H

#include "core/json.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// A model version served by replica groups of a fixed number of VMs.
struct Deployment {
  std::string m_Name;
  std::string m_Model;
  std::string m_Version;
  std::vector<std::string> m_Adapters;
  std::int64_t m_ContextLength = 0;
  std::int64_t m_VmsPerGroup = 1;
  std::int64_t m_Replicas = 0;
  /// Higher values are served first and repaired first.
  std::int64_t m_Priority = 0;
  /// Whether the engines refuse an order that carries an old fencing token.
  bool m_EngineChecksFencing = false;
  double m_DowntimeWeight = 1.0;
  double m_StrandedWeight = 1.0;
  /// Availability zones in which groups may be formed; empty means all.
  std::vector<std::string> m_Zones;
};

absl::StatusOr<Deployment> parseDeployment(const Json &Object,
                                           const std::string &Path);
Json toJson(const Deployment &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_DEPLOYMENT_H
