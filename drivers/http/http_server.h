#ifndef FULMARWINCH_DRIVERS_HTTP_HTTP_SERVER_H
#define FULMARWINCH_DRIVERS_HTTP_HTTP_SERVER_H

#include "core/time.h"
#include "drivers/http/http_message.h"

#include "absl/status/status.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace fulmarwinch {

/// One request and the way to answer it. All functions may be called from any
/// thread. An exchange is answered either by respond() or by startStream(),
/// write() and finish(); one that is destroyed unanswered is answered by 500.
/// RESTinio offers no way to cut a chunked response, so a stream that fails
/// has to say so in its content.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;

  /// Sends the whole response.
  virtual void respond(HttpResponse Response) = 0;

  /// Sends the status line and the header of a chunked response.
  virtual void startStream(int Status, const HttpHeaders &Headers) = 0;

  /// Sends one chunk. Returns false once the client is known to be gone.
  virtual bool write(std::string Chunk) = 0;

  /// Ends a chunked response.
  virtual void finish() = 0;

  /// Returns true once the connection of the client has ended or sending to it
  /// has failed.
  virtual bool isClientGone() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/// Limits and addresses of one HTTP server.
struct HttpServerOptions {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0;
  std::size_t m_Threads = 2;
  /// Largest accepted body in bytes.
  std::size_t m_MaxBodyBytes = 8U << 20U;
  /// Time a client may take to send a whole request. This also closes idle
  /// connections and bounds clients that send slowly on purpose.
  Duration m_ReadTimeout = std::chrono::seconds(10);
  /// Longest time between two writes of a response.
  Duration m_HandlerTimeout = std::chrono::minutes(10);
};

/// HTTP/1.1 server on its own threads.
class HttpServer {
public:
  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds the address and starts to serve. Returns an error that names the
  /// address if it cannot be bound.
  absl::Status start(const HttpServerOptions &Options, HttpHandler Handler);

  /// Closes all connections and joins the threads. Exchanges must not outlive
  /// the server, so \p Release is called between the end of the threads and
  /// the end of the connections; it drops the exchanges that were kept.
  void stop(const std::function<void()> &Release = nullptr);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_HTTP_HTTP_SERVER_H
