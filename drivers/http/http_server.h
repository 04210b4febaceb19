#ifndef FULMARWINCH_DRIVERS_HTTP_HTTP_SERVER_H
#define FULMARWINCH_DRIVERS_HTTP_HTTP_SERVER_H

#include "core/time.h"
#include "drivers/http/http_message.h"
#include "proxy/client_memory.h"

#include "absl/status/status.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string_view>

namespace fulmarwinch {

/// A received request and the functions that answer it, which may be called
/// from any thread. The response is sent either by respond() or by
/// startStream(), write() and finish(). An exchange that is destroyed without a
/// response sends status 500. A stream that fails has to report the error in
/// its content.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;

  /// Sends the complete response, whose body has the memory \p Reservation;
  /// ignored if a response was started before.
  virtual void respond(HttpResponse Response,
                       MemoryReservation Reservation = MemoryReservation()) = 0;

  /// Sends the status line and the header fields of a chunked response; ignored
  /// if a response was started before.
  virtual void startStream(int Status, const HttpHeaders &Headers) = 0;

  /// Sends one chunk. Returns false without sending if the client is known to
  /// have disconnected or if no chunked response is open.
  virtual bool write(std::string Chunk) = 0;

  /// False while more waits for the client than ClientMemory allows. What is
  /// written nevertheless is sent as well.
  virtual bool isWritable() const = 0;

  /// Ends the chunked response; ignored if none is open.
  virtual void finish() = 0;

  /// Returns true once the client's connection has closed or a write to it has
  /// failed.
  virtual bool isClientGone() const = 0;

  /// Memory of the server's clients, in which responses are buffered.
  virtual const std::shared_ptr<ClientMemory> &memory() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/// Listening address and limits of an HTTP server.
struct HttpServerOptions {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0;
  std::size_t m_Threads = 2;
  /// Largest accepted request body in bytes.
  std::size_t m_MaxBodyBytes = 8U << 20U;
  /// Time within which a client has to send a complete request; otherwise its
  /// connection is closed. This also closes idle connections and limits attacks
  /// by clients that send slowly on purpose.
  Duration m_RequestReadTimeout = std::chrono::seconds(10);
  /// Memory of the clients and their requests; without a limit by default.
  std::shared_ptr<ClientMemory> m_Memory = std::make_shared<ClientMemory>();
  /// Number of copies that the handler makes of a request's body.
  std::size_t m_BodyCopies = 0;
  /// Limit of the descriptors for connections and for requests in progress,
  /// each of which may need one for a call.
  std::size_t m_MaxDescriptors = std::numeric_limits<std::size_t>::max();
  /// Returns the response to a request for which there is no memory or no
  /// descriptor, as the parameter tells.
  std::function<HttpResponse(std::string_view)> m_MakeRefusal =
      [](std::string_view) {
        HttpResponse Refusal;
        Refusal.m_Status = 503;
        Refusal.m_Headers = {{"Retry-After", "1"}};
        return Refusal;
      };
};

/// HTTP/1.1 server that runs its handler on threads of its own. One further
/// thread reads and writes the connections.
class HttpServer {
public:
  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on the address and starts the threads. Returns an error that names
  /// the address if listening on it fails.
  absl::Status start(const HttpServerOptions &Options, HttpHandler Handler);

  /// Closes all connections and joins the threads. Exchanges must not outlive
  /// the server: \p ReleaseExchanges has to destroy those that the caller still
  /// stores. It is called after the threads have ended and before the
  /// connections are destroyed.
  void stop(const std::function<void()> &ReleaseExchanges = nullptr);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_HTTP_HTTP_SERVER_H
