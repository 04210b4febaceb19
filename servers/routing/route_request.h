#ifndef FULMARWINCH_SERVERS_ROUTING_ROUTE_REQUEST_H
#define FULMARWINCH_SERVERS_ROUTING_ROUTE_REQUEST_H

#include "servers/routing/outlier_tracker.h"

#include <optional>
#include <set>
#include <string>

namespace fulmarwinch {

/// What routing needs to know about a request.
struct RouteRequest {
  std::string m_Deployment;
  std::size_t m_PromptTokens = 0;
  std::size_t m_OutputTokens = 0;
  /// Empty where the request does not name one.
  std::string m_Adapter;
  std::string m_Version;
  RequestClass m_Class = 0;
  /// Hash of the prompt's prefix; none for a prompt too short to cache.
  std::optional<std::uint64_t> m_PrefixHash;
  /// Time at which the complete response has to be there.
  std::optional<MonotonicTime> m_Deadline;
  /// Groups of earlier attempts.
  std::set<std::string> m_Excluded;
};

/// Returns the class of a request: adapter, version and the power of two of
/// the prompt's length.
RequestClass requestClass(const RouteRequest &Request);

/// Returns the hash of the first \p PrefixBytes of \p Prompt, or nothing if
/// the prompt is shorter.
std::optional<std::uint64_t> prefixHash(std::string_view Prompt,
                                        std::size_t PrefixBytes);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ROUTE_REQUEST_H
