#ifndef FULMARWINCH_SERVERS_CONFIGURATION_SERVICE_H
#define FULMARWINCH_SERVERS_CONFIGURATION_SERVICE_H

#include "core/json.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// A route whose requests must not be run twice.
struct NonIdempotentRoute {
  std::string m_Method;
  std::string m_PathPrefix;
};

/// A plain service behind the gateway.
struct Service {
  std::string m_Name;
  /// Addresses as "IP:port".
  std::vector<std::string> m_Backends;
  std::vector<NonIdempotentRoute> m_NonIdempotentRoutes;
  std::int64_t m_TimeoutMs = 30000;
};

absl::StatusOr<Service> parseService(const Json &Object,
                                     const std::string &Path);
Json toJson(const Service &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_SERVICE_H
