#ifndef FULMARWINCH_NODE_AUTHENTICATOR_H
#define FULMARWINCH_NODE_AUTHENTICATOR_H

#include "drivers/http/http_message.h"
#include "servers/configuration/configuration_view.h"

#include "absl/status/statusor.h"

#include <string>

namespace fulmarwinch {

/// Returns the organisation that the API key in the Authorization header
/// belongs to, or an Unauthenticated error. The configuration contains only
/// hashes of keys, and all of them are compared in constant time.
absl::StatusOr<Organisation>
authenticateOrganisation(const HttpHeaders &Headers,
                         const ConfigurationView &View);

/// Returns the operator that the key in the Authorization header belongs to, or
/// an Unauthenticated error. While the configuration contains no operator, the
/// key with the hash \p BootstrapKeySha256 authenticates an administrator.
absl::StatusOr<Operator>
authenticateOperator(const HttpHeaders &Headers, const ConfigurationView &View,
                     const std::string &BootstrapKeySha256);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_AUTHENTICATOR_H
