#ifndef FULMARWINCH_PROXY_HTTP_FIELDS_H
#define FULMARWINCH_PROXY_HTTP_FIELDS_H

#include "drivers/http/http_message.h"

#include <string_view>

namespace fulmarwinch {

/// Returns the fields of \p Headers that are passed on: all but those that
/// concern one connection, RFC 9110, section 7.6.1.
HttpHeaders endToEnd(const HttpHeaders &Headers);

/// Returns the reason phrase of a status that the proxy sends itself.
std::string_view reasonPhrase(int Status);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_HTTP_FIELDS_H
