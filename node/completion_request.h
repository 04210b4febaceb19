#ifndef FULMARWINCH_NODE_COMPLETION_REQUEST_H
#define FULMARWINCH_NODE_COMPLETION_REQUEST_H

#include "servers/configuration/configuration_view.h"
#include "servers/routing/route_request.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace fulmarwinch {

/// What the gateway reads from the body of a completion request.
struct CompletionRequest {
  RouteRequest m_Route;
  bool m_IsStream = false;
  /// Hash of the whole body.
  std::uint64_t m_ContentHash = 0;
  double m_CostTokens = 1;
};

/// Parses an OpenAI-compatible body and checks it against the deployment that
/// its "model" names, as "deployment" or "deployment:adapter".
absl::StatusOr<CompletionRequest>
parseCompletion(const std::string &Body, const ConfigurationView &View);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_COMPLETION_REQUEST_H
