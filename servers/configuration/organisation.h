#ifndef FULMARWINCH_SERVERS_CONFIGURATION_ORGANISATION_H
#define FULMARWINCH_SERVERS_CONFIGURATION_ORGANISATION_H

#include "core/json.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Configuration entry of an organisation with its API keys and rate limits.
struct Organisation {
  std::string m_Name;
  /// SHA-256 of each API key, 64 lower-case hexadecimal digits.
  std::vector<std::string> m_ApiKeySha256;
  /// Share in fair queueing, relative to the weights of other organisations.
  double m_Weight = 1.0;
  /// Rate limits for requests and tokens; 0 means no limit.
  double m_RequestsPerSecond = 0;
  double m_TokensPerSecond = 0;
  std::int64_t m_Priority = 0;
};

/// Parses an entry; error messages start with \p Path.
absl::StatusOr<Organisation> parseOrganisation(const Json &Object,
                                               const std::string &Path);
Json toJson(const Organisation &Value);

/// Returns whether \p Text has the form of a SHA-256 digest: 64 lower-case
/// hexadecimal digits.
bool isSha256Text(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_ORGANISATION_H
