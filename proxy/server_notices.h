#ifndef FULMARWINCH_PROXY_SERVER_NOTICES_H
#define FULMARWINCH_PROXY_SERVER_NOTICES_H

#include "drivers/http/http_message.h"
#include "proxy/request_relay.h"
#include "servers/retry/outcome.h"

#include <optional>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Returns the longest valid pause of the Retry-After fields in \p Headers.
std::optional<Duration> requestedPause(const HttpHeaders &Headers);

/// Returns the lowest valid rate limit of the fields named \p FieldName in \p
/// Headers.
std::optional<double> namedRateLimit(const HttpHeaders &Headers,
                                     const std::string &FieldName);

/// Head of a response of a backend server.
struct ServerResponseHead {
  int m_Status = 0;
  const HttpHeaders &m_Headers;
  /// Client request that the response belongs to; empty for probes and orders.
  std::string_view m_RequestId;
  /// Time at which the request was sent; not known for probes and orders.
  std::optional<MonotonicTime> m_RequestSentAt;
};

/// True if the response \p Head states that the backend server did not run the
/// request. Status 421 states it without a further field: each request names
/// the server that it is addressed to, and another one does not run it.
bool reportsNotRun(const HttpMessageHead &Head, const HeaderNames &Names);

/// Judges the complete response \p Head of a backend server.
ResponseVerdict judgeResponse(const HttpMessageHead &Head,
                              const HeaderNames &Names);

/// Records what the head of a response of \p Server says about the server: that
/// it leaves, that it wants no requests for some time, or how many requests a
/// second it takes.
void recordServerNotices(RequestRelayContext &Context,
                         const ChosenServer &Server,
                         const ServerResponseHead &Response);

/// Records that \p Server proved with the response \p Head that it did not run
/// the request \p RequestId.
void recordRefusal(RequestRelayContext &Context, const ChosenServer &Server,
                   const HttpMessageHead &Head, std::string_view RequestId);

/// Cause of an attempt that failed with ResponseVerdict::UnprovenRefusal.
inline constexpr std::string_view UnprovenRefusalCause = "unproven_refusal";

/// Counts a response with ResponseVerdict::UnprovenRefusal.
void recordUnprovenRefusal(RequestRelayContext &Context, int Status);

/// Records that the connection to \p Server was lost while a request with \p
/// Contents ran there. Returns false if the server leaves, whose end is no
/// crash.
bool recordLostConnection(RequestRelayContext &Context,
                          const ChosenServer &Server,
                          const std::vector<ContentHash> &Contents);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_SERVER_NOTICES_H
