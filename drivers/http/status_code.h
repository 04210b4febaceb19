#ifndef FULMARWINCH_DRIVERS_HTTP_STATUS_CODE_H
#define FULMARWINCH_DRIVERS_HTTP_STATUS_CODE_H

namespace fulmarwinch {

/// True if \p Status is the status of a response: 200 to 599, or 100 to 199 for
/// an interim one, which only precedes it (RFC 9110, section 15). Parsers
/// accept more, for example 000 or 999.
constexpr bool isResponseStatus(int Status) {
  constexpr int FirstStatus = 100;
  constexpr int LastStatus = 599;
  return Status >= FirstStatus && Status <= LastStatus;
}

/// True if a response with the final status \p Status may have a body. A
/// response to HEAD has none whatever its status is.
constexpr bool mayHaveBody(int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Status != NoContent && Status != NotModified;
}

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_HTTP_STATUS_CODE_H
