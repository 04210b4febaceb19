#include "node/error_response.h"

#include "core/error.h"
#include "core/json.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

std::int64_t toMilliseconds(Duration Interval) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Interval)
      .count();
}

/// Splits an error message into the problem and the remedy, which makeError()
/// joins by "; ".
std::pair<std::string, std::string> splitRemedy(const std::string &Message) {
  const std::size_t Separator = Message.rfind("; ");
  if (Separator == std::string::npos)
    return {Message, ""};
  return {Message.substr(0, Separator), Message.substr(Separator + 2)};
}

} // namespace

absl::Status withMayHaveRunRemedy(const absl::Status &Reason) {
  return makeError(errorKind(Reason),
                   splitRemedy(std::string(Reason.message())).first,
                   "an earlier attempt may have run, check before sending the "
                   "request again");
}

std::string errorJson(const ErrorResponse &Error) {
  const auto [Problem, Remedy] =
      splitRemedy(std::string(Error.m_Status.message()));
  const Json Body = {
      {"error",
       {{"type", nameOf(ErrorKindNames, errorKind(Error.m_Status))},
        {"message", Problem},
        {"outcome", nameOf(OutcomeNames, Error.m_Outcome)},
        {"retry_after_ms", toMilliseconds(Error.m_RetryAfter)},
        {"remedy", Remedy},
        {"request_id", Error.m_RequestId}}}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse errorHttpResponse(const ErrorResponse &Error) {
  const int Status = httpStatus(errorKind(Error.m_Status));
  const bool IsFalsePromise =
      Error.m_Outcome != Outcome::NotRun && promisesNotRun(Status);
  HttpResponse Response = jsonResponse(
      IsFalsePromise ? httpStatus(ErrorKind::OutcomeUnknown) : Status,
      errorJson(Error));
  Response.m_Headers.push_back({"X-Request-Id", Error.m_RequestId});
  if (Error.m_RetryAfter.count() > 0) {
    const std::int64_t RoundedUpSeconds =
        (toMilliseconds(Error.m_RetryAfter) + 999) / 1000;
    Response.m_Headers.push_back(
        {"Retry-After", fmt::format("{}", RoundedUpSeconds)});
  }
  return Response;
}

} // namespace fulmarwinch
