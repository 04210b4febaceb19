#ifndef FULMARWINCH_PROXY_BACKEND_CALL_H
#define FULMARWINCH_PROXY_BACKEND_CALL_H

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
enum class CallEnd {
  /// The whole response arrived.
  Complete,
  /// No connection; no byte was sent.
  NotConnected,
  /// The peer closed the connection before the end of the response.
  Truncated,
  /// The connection failed.
  Reset,
  /// The peer sent bytes that are no HTTP response.
  Garbled,
  /// Time ran out.
  TimedOut,
};

inline constexpr std::array<EnumName<CallEnd>, 6> CallEndNames{{
    {CallEnd::Complete, "complete"},
    {CallEnd::NotConnected, "not_connected"},
    {CallEnd::Truncated, "truncated"},
    {CallEnd::Reset, "reset"},
    {CallEnd::Garbled, "garbled"},
    {CallEnd::TimedOut, "timed_out"},
}};

/// Functions that a BackendCall calls, never after it was cancelled.
struct CallHandlers {
  std::function<void(HttpHead)> m_OnHead;
  std::function<void(std::string_view)> m_OnBody;
  std::function<void(CallEnd)> m_OnEnd;
};

/// One request and its response on a connection of its own.
class BackendCall : public std::enable_shared_from_this<BackendCall> {
public:
  /// \p Request holds the bytes of the whole request. \p NoBody is set for
  /// methods whose response has no body.
  BackendCall(asio::io_context &Loop, Endpoint Peer, std::string Request,
              bool NoBody = false);
  ~BackendCall();
  BackendCall(const BackendCall &) = delete;
  BackendCall &operator=(const BackendCall &) = delete;

  /// \p ConnectTimeout bounds the connection set-up and \p Timeout the whole
  /// exchange.
  void start(CallHandlers Handlers, Duration ConnectTimeout, Duration Timeout);
  /// Closes the connection. No handler is called afterwards.
  void cancel();
  /// True once bytes of the request may have left this process.
  bool hasSent() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Whole response to a small call.
struct SmallResponse {
  CallEnd m_End = CallEnd::NotConnected;
  bool m_Sent = false;
  int m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// Starts a call whose response is collected. \p Done is called once.
std::shared_ptr<BackendCall>
startSmallCall(asio::io_context &Loop, const Endpoint &Peer,
               std::string Request, Duration Timeout,
               std::function<void(SmallResponse)> Done);

/// Returns the bytes of a request. Host and Content-Length are added.
std::string formatRequest(std::string_view Method, std::string_view Target,
                          const Endpoint &Peer, const HttpHeaders &Headers,
                          std::string_view Body);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_BACKEND_CALL_H
