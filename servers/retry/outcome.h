#ifndef FULMARWINCH_SERVERS_RETRY_OUTCOME_H
#define FULMARWINCH_SERVERS_RETRY_OUTCOME_H

#include "core/enum_names.h"

#include <array>
#include <cstdint>

namespace fulmarwinch {

/// What is known about one attempt to run a request on a backend server.
enum class Outcome {
  /// The backend server certainly did not run the request.
  NotRun,
  /// The backend server ran the request and its complete response arrived.
  Ran,
  /// The backend server may have run the request, wholly or in part.
  Unknown,
};

inline constexpr std::array<EnumName<Outcome>, 3> OutcomeNames{{
    {Outcome::NotRun, "not_run"},
    {Outcome::Ran, "ran"},
    {Outcome::Unknown, "unknown"},
}};

/// Facts about one attempt that the HTTP client observed.
struct AttemptFacts {
  /// Bytes of the request, headers included, that were handed to the socket.
  std::uint64_t m_BytesSent = 0;
  /// Status code of the response; 0 if none arrived.
  int m_HttpStatus = 0;
  /// The backend server stated in its response that it did not start the
  /// request (`outcome` is `not_run`, or an engine's generation refusal).
  bool m_MarkedNotRun = false;
  /// The response arrived in full.
  bool m_ResponseComplete = false;
};

/// What the gateway does after an attempt that did not complete.
enum class RetryAction {
  /// Hand the outcome to the client.
  Answer,
  /// Send the request to another group from its start.
  RetryElsewhere,
  /// Send the request to another group, from the next token index.
  ResumeElsewhere,
};

inline constexpr std::array<EnumName<RetryAction>, 3> RetryActionNames{{
    {RetryAction::Answer, "answer"},
    {RetryAction::RetryElsewhere, "retry_elsewhere"},
    {RetryAction::ResumeElsewhere, "resume_elsewhere"},
}};

/// State of the request that limits what may be repeated.
struct RetryState {
  bool m_Idempotent = true;
  /// Tokens that already went to the client.
  std::uint64_t m_TokensDelivered = 0;
  /// A status line or a first byte already went to the client.
  bool m_ResponseStarted = false;
  /// The request can be continued at a token index.
  bool m_Resumable = false;
};

/// Classifies one attempt. Only a fact that excludes a run leads to NotRun;
/// a server error without such a statement is Unknown.
Outcome classifyAttempt(const AttemptFacts &Facts);

/// Returns what may be done after an attempt that ended with \p Result. The
/// caller takes a token from the RetryBudget for each action but Answer.
RetryAction chooseRetry(Outcome Result, const RetryState &State);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_OUTCOME_H
