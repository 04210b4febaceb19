#ifndef FULMARWINCH_NODE_AUTHENTICATOR_H
#define FULMARWINCH_NODE_AUTHENTICATOR_H

#include "drivers/http/http_message.h"
#include "servers/configuration/configuration_view.h"

#include "absl/status/statusor.h"

#include <string>

namespace fulmarwinch {

/// Returns the organisation whose API key the header Authorization carries.
/// Keys are known by their hashes only, and every hash is compared in constant
/// time.
absl::StatusOr<Organisation>
authenticateOrganisation(const HttpHeaders &Headers,
                         const ConfigurationView &View);

/// Returns the operator whose key the header Authorization carries.
/// \p BootstrapKeySha256 stands for an administrator while the configuration
/// contains no operator.
absl::StatusOr<Operator>
authenticateOperator(const HttpHeaders &Headers, const ConfigurationView &View,
                     const std::string &BootstrapKeySha256);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_AUTHENTICATOR_H
