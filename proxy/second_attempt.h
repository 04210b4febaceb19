#ifndef FULMARWINCH_PROXY_SECOND_ATTEMPT_H
#define FULMARWINCH_PROXY_SECOND_ATTEMPT_H

#include "core/enum_names.h"
#include "proxy/memory_budget.h"
#include "proxy/request_relay.h"
#include "proxy/upstream_call.h"
#include "servers/retry/event_splitter.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Request of a second attempt, which is sent while the first one still waits
/// for its server.
struct SecondAttemptRequest {
  /// Memory for its call.
  MemoryReservation m_Memory;
  std::string m_Id;
  ChosenServer m_Server;
  /// Head with its last empty line, and body.
  std::string m_Head;
  std::shared_ptr<const std::string> m_Body;
  /// The method is one whose responses have no body.
  bool m_ExpectsNoBody = false;
  /// A successful response is a stream of events.
  bool m_IsStreaming = false;
  /// State of the client's stream, to which no event has been added yet.
  EventSequenceFilter m_Sequence{std::nullopt};
  std::vector<ContentHash> m_Contents;
  /// Requested model, and the tokens that the server holds for the request.
  std::string m_Model;
  std::uint64_t m_Tokens = 0;
  MonotonicTime m_SentAt{};
  Duration m_ConnectTimeout{0};
  Duration m_Timeout{0};
  std::size_t m_MaxBodyBytes = 0;
};

/// How a second attempt ended that gave no response to pass on, or how it went
/// on.
enum class SecondAttemptResult {
  /// Its server responded first.
  Won,
  /// The first attempt failed while this one was running, so the request goes
  /// on with this one.
  Continued,
  /// The first attempt responded first, or the request ended.
  Cancelled,
  NotConnected,
  NotSent,
  /// Its server proved that it did not run the request.
  Refused,
  /// Its server may have run the request.
  Failed,
};

inline constexpr std::array<EnumName<SecondAttemptResult>, 7>
    SecondAttemptResultNames{{
        {SecondAttemptResult::Won, "won"},
        {SecondAttemptResult::Continued, "continued"},
        {SecondAttemptResult::Cancelled, "cancelled"},
        {SecondAttemptResult::NotConnected, "not_connected"},
        {SecondAttemptResult::NotSent, "not_sent"},
        {SecondAttemptResult::Refused, "refused"},
        {SecondAttemptResult::Failed, "failed"},
    }};

struct SecondAttemptHandlers {
  /// See UpstreamCallHandlers::m_MaySend.
  std::function<bool()> m_MaySend;
  /// Called when the server has returned the next event of the stream, or a
  /// whole response that is no stream. The receiver calls adopt().
  std::function<void()> m_OnWon;
  /// Called when the attempt has ended without a response to pass on.
  std::function<void(SecondAttemptResult)> m_OnEnded;
};

/// Sends a request to a second server and holds back what the server returns
/// until either the relay adopts it as its only attempt or cancels it. No
/// handler is called after one of these. A response that cannot be passed on
/// ends this attempt only.
class SecondAttempt : public std::enable_shared_from_this<SecondAttempt> {
public:
  SecondAttempt(RequestRelayContext &Context, SecondAttemptRequest Request);
  ~SecondAttempt();
  SecondAttempt(const SecondAttempt &) = delete;
  SecondAttempt &operator=(const SecondAttempt &) = delete;

  void start(SecondAttemptHandlers Handlers);
  /// Closes the connection and releases the server.
  void cancel();
  /// Passes what has been held back, and all that follows, to \p Receiver,
  /// which from now on also releases the server. Does not call m_MaySend of
  /// \p Receiver: that of the handlers stays in force.
  void adopt(UpstreamCallHandlers Receiver, SecondAttemptResult Result);

  const ChosenServer &server() const;
  MonotonicTime sentAt() const;
  const std::shared_ptr<UpstreamCall> &call() const;
  /// True once the server may have received a part of the request.
  bool mayHaveArrived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_SECOND_ATTEMPT_H
