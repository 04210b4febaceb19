#ifndef FULMARWINCH_SERVERS_ROUTING_ROUTE_REQUEST_H
#define FULMARWINCH_SERVERS_ROUTING_ROUTE_REQUEST_H

#include "servers/routing/outlier_tracker.h"

#include <optional>
#include <set>
#include <string>

namespace fulmarwinch {

/// Properties of a request that routing uses.
struct RouteRequest {
  std::string m_Deployment;
  std::size_t m_PromptTokens = 0;
  std::size_t m_OutputTokens = 0;
  /// Adapter that the request names; empty for none.
  std::string m_Adapter;
  /// Model version that the request names; empty for any.
  std::string m_Version;
  /// Class by which groups are ejected as outliers; see requestClass().
  RequestClass m_Class = 0;
  /// Hash of the prompt prefix; unset if the prompt is too short to be cached.
  std::optional<std::uint64_t> m_PrefixHash;
  /// Deadline for the complete response.
  std::optional<MonotonicTime> m_Deadline;
  /// Groups that routing must not choose, because earlier attempts used them.
  std::set<std::string> m_ExcludedGroups;
};

/// Returns the class of a request: a hash of the adapter, the version and the
/// prompt length rounded down to a power of two.
RequestClass requestClass(const RouteRequest &Request);

/// Returns the hash of the first \p PrefixBytes of \p Prompt, or nothing if
/// the prompt is shorter. Routing uses it to find groups that have the prefix
/// cached.
std::optional<std::uint64_t> prefixHash(std::string_view Prompt,
                                        std::size_t PrefixBytes);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ROUTE_REQUEST_H
