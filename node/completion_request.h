#ifndef FULMARWINCH_NODE_COMPLETION_REQUEST_H
#define FULMARWINCH_NODE_COMPLETION_REQUEST_H

#include "servers/configuration/configuration_view.h"
#include "servers/routing/route_request.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace fulmarwinch {

/// Fields that the gateway parses from the body of a completion request.
struct CompletionRequest {
  RouteRequest m_Route;
  bool m_IsStream = false;
  /// Hash of the entire body, which identifies repetitions of the request.
  std::uint64_t m_ContentHash = 0;
  /// Estimated prompt and output tokens, counted against the rate limit.
  double m_CostTokens = 1;
};

/// Parses an OpenAI-compatible body and validates it against the deployment
/// that its field "model" names, in the form "deployment" or
/// "deployment:adapter". Returns InvalidArgument or NotFound errors.
absl::StatusOr<CompletionRequest>
parseCompletion(const std::string &Body, const ConfigurationView &View);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_COMPLETION_REQUEST_H
