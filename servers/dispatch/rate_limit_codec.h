#ifndef FULMARWINCH_SERVERS_DISPATCH_RATE_LIMIT_CODEC_H
#define FULMARWINCH_SERVERS_DISPATCH_RATE_LIMIT_CODEC_H

#include "core/json.h"
#include "servers/dispatch/server_rate_limits.h"

namespace fulmarwinch {

/// Encodes \p Statements as the JSON value that nodes exchange.
Json toJson(const RateLimitStatements &Statements);
/// Decodes the value of toJson(). Malformed rows are skipped; a malformed value
/// gives no statements.
RateLimitStatements parseRateLimitStatements(const Json &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_RATE_LIMIT_CODEC_H
