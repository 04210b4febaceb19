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

/// How an HTTP call ended.
struct HttpCallResult {
  /// True if a whole response arrived, whatever its status.
  bool m_Complete = false;
  /// True if not one byte of the request can have left this process.
  bool m_NothingSent = false;
  /// True if the call was ended by cancel().
  bool m_Cancelled = false;
  /// Status of the response, 0 if none arrived.
  int m_Status = 0;
  /// Text of the transport error, empty if there was none.
  std::string m_Error;
};

/// One outgoing call. The callbacks run on a thread of the client, one at a
/// time for each call, and must not block.
struct HttpCall {
  std::string m_Method = "GET";
  std::string m_Url;
  HttpHeaders m_Headers;
  std::string m_Body;
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  /// Longest time for the whole call, 0 for none.
  Duration m_TotalTimeout{0};
  /// Uses a connection of its own, for requests that must not fail because a
  /// kept connection turned out to be closed.
  bool m_FreshConnection = false;
  /// Called once, before the first byte of the body.
  std::function<void(int Status, const HttpHeaders &)> m_OnHeaders;
  /// Called for each part of the body.
  std::function<void(std::string_view)> m_OnData;
  /// Called once, last.
  std::function<void(const HttpCallResult &)> m_OnDone;
};

using HttpCallId = std::uint64_t;

/// HTTP client over libcurl's multi interface; each thread owns its own
/// connections.
class HttpClient {
public:
  explicit HttpClient(std::size_t Threads = 2);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts \p Call and returns at once.
  HttpCallId start(HttpCall Call);

  /// Ends the call if it is still running; m_OnDone is called with
  /// m_Cancelled set.
  void cancel(HttpCallId Id);

  /// Ends all calls, as by cancel(), and joins the threads. Callbacks have
  /// ended when it returns; later calls are dropped without a callback.
  void stop();

  /// Result of fetch().
  struct Response {
    HttpCallResult m_Result;
    HttpHeaders m_Headers;
    std::string m_Body;
  };

  /// Runs \p Call and waits for its end. Not to be called from a callback.
  Response fetch(HttpCall Call);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_HTTP_HTTP_CLIENT_H
