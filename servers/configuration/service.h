#ifndef FULMARWINCH_SERVERS_CONFIGURATION_SERVICE_H
#define FULMARWINCH_SERVERS_CONFIGURATION_SERVICE_H

#include "core/json.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Requests that must not be executed twice, selected by HTTP method and path
/// prefix.
struct NonIdempotentRoute {
  std::string m_Method;
  std::string m_PathPrefix;
};

/// Configuration entry of an HTTP service other than a model, to which the
/// gateway forwards requests.
struct Service {
  std::string m_Name;
  /// Addresses of the backend servers as "IP:port".
  std::vector<std::string> m_Backends;
  std::vector<NonIdempotentRoute> m_NonIdempotentRoutes;
  std::int64_t m_TimeoutMs = 30000;
};

/// Parses an entry; error messages start with \p Path.
absl::StatusOr<Service> parseService(const Json &Object,
                                     const std::string &Path);
Json toJson(const Service &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_SERVICE_H
