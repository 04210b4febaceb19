#include "servers/retry/outcome.h"

namespace fulmarwinch {

Outcome classifyAttempt(const AttemptFacts &Facts) {
  if (Facts.m_BytesSent == 0)
    return Outcome::NotRun;
  if (Facts.m_MarkedNotRun)
    return Outcome::NotRun;
  const bool Success = Facts.m_HttpStatus >= 200 && Facts.m_HttpStatus < 300;
  const bool ClientError =
      Facts.m_HttpStatus >= 400 && Facts.m_HttpStatus < 500;
  // A complete 4xx answer is the backend server's own answer to this request.
  // It is reported as run because a plain service may act before it answers.
  if ((Success || ClientError) && Facts.m_ResponseComplete)
    return Outcome::Ran;
  return Outcome::Unknown;
}

RetryAction chooseRetry(Outcome Result, const RetryState &State) {
  if (Result == Outcome::Ran)
    return RetryAction::Answer;
  if (Result == Outcome::Unknown && !State.m_Idempotent)
    return RetryAction::Answer;
  if (!State.m_ResponseStarted && State.m_TokensDelivered == 0)
    return RetryAction::RetryElsewhere;
  // Part of the response is with the client, so a run from the start would
  // repeat it; only an engine that continues at an index can complete it.
  return State.m_Resumable ? RetryAction::ResumeElsewhere : RetryAction::Answer;
}

} // namespace fulmarwinch
