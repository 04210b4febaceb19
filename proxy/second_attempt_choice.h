#ifndef FULMARWINCH_PROXY_SECOND_ATTEMPT_CHOICE_H
#define FULMARWINCH_PROXY_SECOND_ATTEMPT_CHOICE_H

#include "proxy/request_relay.h"

#include <optional>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Request that waits for its first server.
struct LateRequest {
  std::string_view m_Id;
  std::string_view m_Organisation;
  unsigned m_Priority = 0;
  /// Server that the request waits for.
  std::string_view m_Server;
  WaitingAttempt m_Attempt;
  ServerQuery m_Query;
  /// No second attempt has been considered for the current attempt before.
  bool m_IsNewlyLate = false;
};

/// Returns the server to which the request is sent as well, which is then
/// charged to the operator's share and to \p Budget, or nothing if there must
/// be no second attempt. Writes the decision to the log and the metrics, but a
/// refusal only once for each attempt.
std::optional<ChosenServer> chooseSecondServer(RequestRelayContext &Context,
                                               WindowedRetryBudget &Budget,
                                               LateRequest Request);

/// True if the groups of the model that \p Query asks for are overloaded, or
/// are close to it.
bool isOverloaded(const RequestRelayContext &Context, const ServerQuery &Query);

/// True if a crash of a server is recorded for one of \p Contents.
bool isSuspected(const RequestRelayContext &Context,
                 const std::vector<ContentHash> &Contents, MonotonicTime Now);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_SECOND_ATTEMPT_CHOICE_H
