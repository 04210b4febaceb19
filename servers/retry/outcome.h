#ifndef FULMARWINCH_SERVERS_RETRY_OUTCOME_H
#define FULMARWINCH_SERVERS_RETRY_OUTCOME_H

#include "core/enum_names.h"

#include <array>
#include <cstdint>

namespace fulmarwinch {

/// Result of one attempt to run a request on a backend server, as far as the
/// gateway can determine it.
enum class Outcome {
  /// The backend server certainly did not run the request.
  NotRun,
  /// The backend server ran the request and its complete response arrived.
  Ran,
  /// The backend server may have run the request, completely or in part.
  Unknown,
};

inline constexpr std::array<EnumName<Outcome>, 3> OutcomeNames{{
    {Outcome::NotRun, "not_run"},
    {Outcome::Ran, "ran"},
    {Outcome::Unknown, "unknown"},
}};

/// Facts about one attempt that the HTTP client observed.
struct AttemptFacts {
  /// Bytes of the request, including headers, that were written to the socket.
  /// Only whether this is 0 matters; the relays set 1 for any larger number.
  std::uint64_t m_BytesSent = 0;
  /// HTTP status code of the response; 0 if no response arrived.
  int m_HttpStatus = 0;
  /// The response states that the backend server did not start the request
  /// (`outcome` is `not_run`, or an engine refused the group generation).
  bool m_ReportedNotRun = false;
  /// The complete response arrived.
  bool m_ResponseComplete = false;
};

/// What the receiver of a complete response may do with it.
enum class ResponseVerdict {
  /// The backend server reported that it did not run the request, which may
  /// therefore be sent again.
  NotRun,
  /// The client would take the status as a promise that the request has not
  /// run, but the backend server did not report that. The response must not be
  /// forwarded.
  UnprovenRefusal,
  /// The backend server failed. The response may be forwarded if the request is
  /// not sent again.
  ServerError,
  /// The response may be forwarded.
  Answer,
};

/// What the gateway does after an attempt that did not complete.
enum class RetryAction {
  /// Send the outcome of the attempt to the client; no retry.
  ReturnOutcome,
  /// Run the request from its start on another group.
  RetryElsewhere,
  /// Continue the request on another group, from the next token index.
  ResumeElsewhere,
};

inline constexpr std::array<EnumName<RetryAction>, 3> RetryActionNames{{
    {RetryAction::ReturnOutcome, "answer"},
    {RetryAction::RetryElsewhere, "retry_elsewhere"},
    {RetryAction::ResumeElsewhere, "resume_elsewhere"},
}};

/// State of a request that decides whether it may be retried.
struct RetryState {
  /// Running the request more than once has the same effect as running it once.
  bool m_Idempotent = true;
  /// Number of tokens that were already sent to the client.
  std::uint64_t m_DeliveredTokens = 0;
  /// The status line or a byte of the response was already sent to the client.
  bool m_ResponseStarted = false;
  /// The engine can continue the response at a given token index.
  bool m_Resumable = false;
};

/// True if clients take \p Status as a promise that the request has not run and
/// will not run later: 408, 421, 429 and 503. Only a response for which that is
/// known may have such a status.
bool promisesNotRun(int Status);

/// Judges a complete response with the HTTP status code \p Status. \p
/// ReportedNotRun is true if the response states that the backend server did
/// not run the request.
ResponseVerdict judgeResponse(int Status, bool ReportedNotRun);

/// Classifies one attempt. The result is NotRun only if the facts prove that
/// the request was not run; a server error without such a statement is Unknown.
Outcome classifyAttempt(const AttemptFacts &Facts);

/// Returns the action that is allowed after an attempt that ended with
/// \p Result. For each action except ReturnOutcome, the caller has to obtain a
/// retry from the retry budget first.
RetryAction chooseRetry(Outcome Result, const RetryState &State);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_OUTCOME_H
