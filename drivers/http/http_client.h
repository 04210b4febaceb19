#ifndef FULMARWINCH_DRIVERS_HTTP_HTTP_CLIENT_H
#define FULMARWINCH_DRIVERS_HTTP_HTTP_CLIENT_H

#include "core/time.h"
#include "drivers/http/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Outcome of an HTTP call.
struct HttpCallResult {
  /// True if a complete response was received, whatever its status.
  bool m_Complete = false;
  /// True if only the end of the connection ended the response, which an
  /// interruption causes as well. The receiver checks that the body is whole.
  bool m_EndedByClose = false;
  /// True if the call failed before any byte of the request was sent, so that
  /// the server cannot have processed it.
  bool m_NothingSent = false;
  /// True if the call was ended by cancel().
  bool m_Cancelled = false;
  /// Status code of the response, 0 if no status line was received.
  int m_Status = 0;
  /// libcurl's description of the transport error, empty if there was none.
  std::string m_Error;
};

/// An outgoing HTTP request with its callbacks. The callbacks of one call run
/// one at a time on a thread of the client and must not block.
struct HttpCall {
  std::string m_Method = "GET";
  std::string m_Url;
  HttpHeaders m_Headers;
  std::string m_Body;
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  /// Timeout of the whole call, from start() to the end of the response; 0
  /// disables it.
  Duration m_TotalTimeout{0};
  /// Opens a new connection for this call and closes it afterwards. For
  /// requests that must not fail because the server has closed an idle
  /// connection of the pool.
  bool m_UseNewConnection = false;
  /// Called at most once, before the first byte of the body.
  std::function<void(int Status, const HttpHeaders &)> m_OnHeaders;
  /// Called before each part of the body. While it returns false, the response
  /// is not read; it is called again some time later.
  std::function<bool()> m_MayRead;
  /// Called for each part of the body, in the order of arrival.
  std::function<void(std::string_view)> m_OnData;
  /// Called once, after all other callbacks of the call.
  std::function<void(const HttpCallResult &)> m_OnDone;
};

using HttpCallId = std::uint64_t;

/// Asynchronous HTTP/1.1 client that uses libcurl's multi interface. Each of
/// its threads has a connection pool of its own.
class HttpClient {
public:
  /// Each thread keeps up to \p MaxPooledConnections connections open between
  /// calls.
  explicit HttpClient(std::size_t Threads = 2,
                      std::size_t MaxPooledConnections = 256);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts \p Call and returns its identifier without waiting.
  HttpCallId start(HttpCall Call);

  /// Cancels the call if it is still running; its m_OnDone is called with
  /// m_Cancelled set. Has no effect on a call that has ended.
  void cancel(HttpCallId Id);

  /// Cancels all calls and joins the threads. No callback runs after stop()
  /// has returned; calls started later are discarded without a callback.
  void stop();

  /// Result of fetch().
  struct Response {
    HttpCallResult m_Result;
    HttpHeaders m_Headers;
    std::string m_Body;
  };

  /// Runs \p Call and blocks until it has ended; replaces its callbacks. Must
  /// not be called from a callback, whose thread would wait for itself.
  Response fetch(HttpCall Call);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_HTTP_HTTP_CLIENT_H
