#ifndef FULMARWINCH_NODE_BODY_CHECK_H
#define FULMARWINCH_NODE_BODY_CHECK_H

#include "drivers/http/http_client.h"

#include <string_view>

namespace fulmarwinch {

/// True if the response that is not a stream was received completely, as far as
/// its end and its body show.
bool isBodyWhole(const HttpCallResult &Result, const HttpHeaders &Headers,
                 std::string_view Body);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_BODY_CHECK_H
