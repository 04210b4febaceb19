#ifndef FULMARWINCH_NODE_ERROR_RESPONSE_H
#define FULMARWINCH_NODE_ERROR_RESPONSE_H

#include "core/time.h"
#include "drivers/http/http_message.h"
#include "servers/retry/outcome.h"

#include "absl/status/status.h"

#include <string>

namespace fulmarwinch {

/// An error as the client sees it.
struct ErrorResponse {
  absl::Status m_Status;
  Outcome m_Outcome = Outcome::NotRun;
  /// 0 if repeating the request cannot help.
  Duration m_RetryAfter{0};
  std::string m_RequestId;
};

/// Returns \p Reason with a remedy that does not claim that the request was not
/// run, for a request of which an earlier attempt may have run.
absl::Status mayHaveRun(const absl::Status &Reason);

/// Returns the JSON object with type, message, outcome, retry_after_ms,
/// remedy and request_id.
std::string errorJson(const ErrorResponse &Error);

/// Returns the whole HTTP response, with Retry-After where it applies.
HttpResponse errorHttpResponse(const ErrorResponse &Error);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_ERROR_RESPONSE_H
