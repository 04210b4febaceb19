#ifndef FULMARWINCH_PROXY_SERVER_NOTICES_H
#define FULMARWINCH_PROXY_SERVER_NOTICES_H

#include "drivers/http/http_message.h"
#include "proxy/request_relay.h"

#include <optional>
#include <string_view>

namespace fulmarwinch {

/// Returns the longest valid pause of the Retry-After fields in \p Headers.
std::optional<Duration> requestedPause(const HttpHeaders &Headers);

/// Records what the head of a response of \p Server says about the server: that
/// it leaves, or that it wants no requests for some time. \p RequestId is the
/// client request that the response belongs to; empty for probes and orders.
void recordServerNotices(RequestRelayContext &Context,
                         const ChosenServer &Server, int Status,
                         const HttpHeaders &Headers,
                         std::string_view RequestId);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_SERVER_NOTICES_H
