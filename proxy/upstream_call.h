#ifndef FULMARWINCH_PROXY_UPSTREAM_CALL_H
#define FULMARWINCH_PROXY_UPSTREAM_CALL_H

#include "core/enum_names.h"
#include "core/time.h"
#include "proxy/http_stream_parser.h"
#include "servers/fleet/backend_server.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
} // namespace asio

namespace fulmarwinch {

/// How an HTTP exchange with a backend server or the platform ended.
enum class UpstreamOutcome {
  /// The whole response arrived, as its length, its chunks or its status tell.
  Complete,
  /// The peer closed the connection, which ends a response that is not
  /// delimited otherwise. Its head is whole; its body may be cut.
  EndedByClose,
  /// The connection could not be established, so no byte was sent.
  NotConnected,
  /// The peer closed the connection before the end of the response.
  Truncated,
  /// The connection failed, for example by a TCP reset.
  Reset,
  /// The peer sent bytes that are not a valid HTTP response.
  Malformed,
  /// The exchange took longer than its timeout.
  TimedOut,
  /// m_MaySend did not allow to send the request, so no byte was sent.
  NotSent,
};

inline constexpr std::array<EnumName<UpstreamOutcome>, 8> UpstreamOutcomeNames{{
    {UpstreamOutcome::Complete, "complete"},
    {UpstreamOutcome::EndedByClose, "closed"},
    {UpstreamOutcome::NotConnected, "not_connected"},
    {UpstreamOutcome::Truncated, "truncated"},
    {UpstreamOutcome::Reset, "reset"},
    {UpstreamOutcome::Malformed, "garbled"},
    {UpstreamOutcome::TimedOut, "timed_out"},
    {UpstreamOutcome::NotSent, "not_sent"},
}};

/// True if the head of the response arrived and its body has ended. After
/// EndedByClose the receiver must check that the body is whole.
inline bool hasResponse(UpstreamOutcome Outcome) {
  return Outcome == UpstreamOutcome::Complete ||
         Outcome == UpstreamOutcome::EndedByClose;
}

/// Callbacks of one HTTP exchange. None is called after cancel().
struct UpstreamCallHandlers {
  /// Called once the connection is established, before the first byte is sent.
  /// The process may have been paused since the call was started, so what
  /// allowed the call may have expired. Without a function, sending is allowed.
  std::function<bool()> m_MaySend;
  std::function<void(HttpMessageHead)> m_OnHead;
  /// Called with each part of the body.
  std::function<void(std::string_view)> m_OnBody;
  /// Called once, after all other callbacks.
  std::function<void(UpstreamOutcome)> m_OnEnd;
};

/// Sends one HTTP request over a new connection and receives the response.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
  /// \p Request contains the bytes of the request, without those of \p Body
  /// if there is one. The body is released once it has been sent. \p
  /// ExpectsNoBody must be true for methods whose response has no body, such as
  /// HEAD.
  UpstreamCall(asio::io_context &Loop, Endpoint Peer, std::string Request,
               std::shared_ptr<const std::string> Body = nullptr,
               bool ExpectsNoBody = false);
  ~UpstreamCall();
  UpstreamCall(const UpstreamCall &) = delete;
  UpstreamCall &operator=(const UpstreamCall &) = delete;

  /// Connects within \p ConnectTimeout, sends the request and receives the
  /// response, all within \p Timeout.
  void start(UpstreamCallHandlers Handlers, Duration ConnectTimeout,
             Duration Timeout);
  /// Closes the connection. No handler is called afterwards, not even m_OnEnd.
  void cancel();
  /// While the call is paused, nothing is read from the connection. The timeout
  /// of the call still applies.
  void setPaused(bool IsPaused);
  bool isPaused() const;
  /// Lets the kernel receive more of the response at a time. Its memory must be
  /// reserved.
  void enlargeReceiveBuffer();
  /// Ends the call as malformed once the handler that calls this has returned.
  void fail();
  /// True once the peer may have received a part of the request.
  bool mayHaveSent() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Response that was collected in memory, and how the exchange ended.
struct BufferedResponse {
  UpstreamOutcome m_Outcome = UpstreamOutcome::NotConnected;
  /// True if the peer may have received a part of the request.
  bool m_MayHaveBeenSent = false;
  int m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// Sends \p Request to \p Peer and collects the response in memory. \p Done is
/// called exactly once, unless the call is cancelled. \p MaySend is described
/// at UpstreamCallHandlers.
std::shared_ptr<UpstreamCall>
startBufferedCall(asio::io_context &Loop, const Endpoint &Peer,
                  std::string Request, Duration Timeout,
                  std::function<void(BufferedResponse)> Done,
                  std::function<bool()> MaySend = nullptr);

/// Returns the bytes of a request. Host, "Connection: close" and, unless it is
/// a GET without a body, Content-Length are added.
std::string formatRequest(std::string_view Method, std::string_view Target,
                          const Endpoint &Peer, const HttpHeaders &Headers,
                          std::string_view Body);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_UPSTREAM_CALL_H
