#ifndef FULMARWINCH_NODE_ERROR_RESPONSE_H
#define FULMARWINCH_NODE_ERROR_RESPONSE_H

#include "core/time.h"
#include "drivers/http/http_message.h"
#include "servers/retry/outcome.h"

#include "absl/status/status.h"

#include <string>

namespace fulmarwinch {

/// Error that is returned to a client.
struct ErrorResponse {
  absl::Status m_Status;
  Outcome m_Outcome = Outcome::NotRun;
  /// Suggested delay before a retry; 0 if a retry cannot succeed.
  Duration m_RetryAfter{0};
  std::string m_RequestId;
};

/// Returns \p Reason with its remedy replaced by one that does not claim that
/// the request was not run. Used for a request of which an earlier attempt may
/// have run.
absl::Status withMayHaveRunRemedy(const absl::Status &Reason);

/// Returns \p Error as a JSON object with type, message, outcome,
/// retry_after_ms, remedy and request_id.
std::string errorJson(const ErrorResponse &Error);

/// Returns the HTTP response for \p Error, with a Retry-After header if
/// m_RetryAfter is not 0. Unless m_Outcome is NotRun, a status that promises
/// that the request was not run is replaced by 502; the error keeps its type.
HttpResponse errorHttpResponse(const ErrorResponse &Error);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_ERROR_RESPONSE_H
