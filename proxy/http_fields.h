#ifndef FULMARWINCH_PROXY_HTTP_FIELDS_H
#define FULMARWINCH_PROXY_HTTP_FIELDS_H

#include "drivers/http/http_message.h"

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Returns the fields of \p Headers that a proxy forwards: all except the
/// hop-by-hop fields (RFC 9110, section 7.6.1), Content-Length and Expect.
HttpHeaders endToEndHeaders(const HttpHeaders &Headers);

/// Returns the HTTP reason phrase of a status that the proxy generates, or
/// "Error" for any other status.
std::string_view reasonPhrase(int Status);

/// True if the client waits for an interim response before it sends the body.
bool expectsContinue(const HttpHeaders &Headers);

/// Returns the start line and header fields of a response, without those that
/// delimit its body and without the empty line at the end.
std::string formatResponseHead(int Status, std::string_view Reason,
                               const HttpHeaders &Headers, bool KeepAlive);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_HTTP_FIELDS_H
