#ifndef FULMARWINCH_PROXY_HTTP_FIELDS_H
#define FULMARWINCH_PROXY_HTTP_FIELDS_H

#include "drivers/http/http_message.h"

#include <string_view>

namespace fulmarwinch {

/// Returns the fields of \p Headers that a proxy forwards: all except the
/// hop-by-hop fields (RFC 9110, section 7.6.1), Content-Length and Expect.
HttpHeaders endToEndHeaders(const HttpHeaders &Headers);

/// Returns the HTTP reason phrase of a status that the proxy generates, or
/// "Error" for any other status.
std::string_view reasonPhrase(int Status);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_HTTP_FIELDS_H
