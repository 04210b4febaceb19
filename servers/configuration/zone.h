#ifndef FULMARWINCH_SERVERS_CONFIGURATION_ZONE_H
#define FULMARWINCH_SERVERS_CONFIGURATION_ZONE_H

#include "core/json.h"

#include "absl/status/statusor.h"

#include <string>

namespace fulmarwinch {

/// Configuration entry of an availability zone. A zone without an entry counts
/// as in service.
struct Zone {
  std::string m_Name;
  bool m_InService = true;
};

/// Parses an entry; error messages start with \p Path.
absl::StatusOr<Zone> parseZone(const Json &Object, const std::string &Path);
Json toJson(const Zone &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_ZONE_H
