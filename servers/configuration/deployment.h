#ifndef FULMARWINCH_SERVERS_CONFIGURATION_DEPLOYMENT_H
#define FULMARWINCH_SERVERS_CONFIGURATION_DEPLOYMENT_H

#include "core/json.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Configuration entry of a model version that is served by groups, each of a
/// fixed number of VMs.
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
  /// Whether the engines refuse an order with an outdated fencing token.
  bool m_EngineChecksFencing = false;
  /// Cost per second of downtime of a group, used to choose its repair.
  double m_DowntimeWeight = 1.0;
  /// Cost per second of each usable VM that is idle while its group is down.
  double m_StrandedWeight = 1.0;
  /// Availability zones in which groups may be formed; empty means all.
  std::vector<std::string> m_Zones;
};

/// Parses an entry; error messages start with \p Path.
absl::StatusOr<Deployment> parseDeployment(const Json &Object,
                                           const std::string &Path);
Json toJson(const Deployment &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_DEPLOYMENT_H
