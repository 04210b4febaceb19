#include "servers/retry/outcome.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr std::array<int, 4> NotRunStatuses{408, 421, 429, 503};
constexpr int FirstServerError = 500;

} // namespace

bool promisesNotRun(int Status) {
  return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), Status) !=
         NotRunStatuses.end();
}

ResponseVerdict judgeResponse(int Status, bool ReportedNotRun) {
  if (ReportedNotRun)
    return ResponseVerdict::NotRun;
  if (promisesNotRun(Status))
    return ResponseVerdict::UnprovenRefusal;
  return Status >= FirstServerError ? ResponseVerdict::ServerError
                                    : ResponseVerdict::Answer;
}

Outcome classifyAttempt(const AttemptFacts &Facts) {
  if (Facts.m_BytesSent == 0)
    return Outcome::NotRun;
  if (Facts.m_ReportedNotRun)
    return Outcome::NotRun;
  const bool Success = Facts.m_HttpStatus >= 200 && Facts.m_HttpStatus < 300;
  // A status that promises that the request was not run proves neither that nor
  // the opposite.
  const bool ClientError = Facts.m_HttpStatus >= 400 &&
                           Facts.m_HttpStatus < 500 &&
                           !promisesNotRun(Facts.m_HttpStatus);
  // A complete 4xx response was produced by the backend server for this
  // request. It counts as Ran because a service without an engine may execute
  // the request before it responds with an error.
  if ((Success || ClientError) && Facts.m_ResponseComplete)
    return Outcome::Ran;
  return Outcome::Unknown;
}

RetryAction chooseRetry(Outcome Result, const RetryState &State) {
  if (Result == Outcome::Ran)
    return RetryAction::ReturnOutcome;
  if (Result == Outcome::Unknown && !State.m_Idempotent)
    return RetryAction::ReturnOutcome;
  if (!State.m_ResponseStarted && State.m_DeliveredTokens == 0)
    return RetryAction::RetryElsewhere;
  // The client already has part of the response, and a retry from the start
  // would send that part again. Only an engine that can continue at a token
  // index can complete the response.
  return State.m_Resumable ? RetryAction::ResumeElsewhere
                           : RetryAction::ReturnOutcome;
}

} // namespace fulmarwinch
