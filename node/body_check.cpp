#include "node/body_check.h"
#include "servers/retry/response_flaw.h"

namespace fulmarwinch {

bool isBodyWhole(const HttpCallResult &Result, const HttpHeaders &Headers,
                 std::string_view Body) {
  const ResponseEnd End = Result.m_EndedByClose ? ResponseEnd::ConnectionClosed
                                                : ResponseEnd::Delimited;
  const std::string Type = findHeader(Headers, "Content-Type").value_or("");
  return Result.m_Complete &&
         findBodyFlaw(Result.m_Status, Type, Body, End) == ResponseFlaw::None;
}

} // namespace fulmarwinch
