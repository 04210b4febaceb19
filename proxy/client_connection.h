#ifndef FULMARWINCH_PROXY_CLIENT_CONNECTION_H
#define FULMARWINCH_PROXY_CLIENT_CONNECTION_H

#include "core/time.h"
#include "proxy/client_memory.h"
#include "proxy/http_stream_parser.h"
#include "proxy/request_body.h"
#include "servers/dispatch/connection_shedding.h"
#include "servers/routes/traffic_configuration.h"

#include "asio/ip/tcp.hpp"

#include <functional>
#include <memory>
#include <string>

namespace fulmarwinch {

class ClientConnection;

/// What tells the client that a response has ended.
enum class ResponseFraming {
  /// The length or the last chunk.
  Delimited,
  /// Only the close of the connection. The connection is reset if the response
  /// is not complete, also if the process ends meanwhile.
  ConnectionClose,
};

/// Part of a request for which memory is needed.
enum class RequestPart { Head, Body };

/// A completely received HTTP request.
struct ClientRequest {
  HttpMessageHead m_Head;
  /// Shared by all who may still have to send it. Empty, but never null, if the
  /// request has no body.
  std::shared_ptr<RequestBody> m_Body = std::make_shared<RequestBody>();
  MonotonicTime m_ReceivedAt{};
};

/// Functions that the owner of a listener provides for its connections.
struct ConnectionHooks {
  /// Called with each request. The connection parses no further request until
  /// the response is complete.
  std::function<void(std::shared_ptr<ClientConnection>, ClientRequest)>
      m_OnRequest;
  /// Returns the limits on requests and idle time that apply now.
  std::function<ClientLimits()> m_GetLimits;
  /// Returns true if connections must be closed after their current response.
  std::function<bool()> m_IsDraining;
  /// Returns false while no further connection may be accepted.
  std::function<bool()> m_MayAccept = [] { return true; };
  /// Time in which a client sends its first request after it connected. Until
  /// then a new connection does not count as idle.
  Duration m_FirstRequestTime = std::chrono::seconds(1);
  /// Called once when the connection is closed.
  std::function<void(const ClientConnection *)> m_OnClosed;
  /// Memory that the connections hold; without a limit by default.
  std::shared_ptr<ClientMemory> m_Memory = std::make_shared<ClientMemory>();
  /// Memory for the bodies of all connections; unlimited if null.
  std::shared_ptr<MemoryBudget> m_BodyBudget;
  /// Called when a request is rejected because there is no memory for a part of
  /// it. Returns header fields of the response.
  std::function<HttpHeaders(RequestPart)> m_OnRefused = [](RequestPart) {
    return HttpHeaders();
  };
};

/// Server side of a client's HTTP/1.1 connection: reads requests and writes
/// responses, one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(asio::ip::tcp::socket Socket, ConnectionHooks Hooks);
  ~ClientConnection();
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;

  /// Starts to read requests.
  void start();

  /// Sets the function that is called if the client closes the connection
  /// before the response is complete.
  void setOnDisconnected(std::function<void()> OnDisconnected);

  /// Sends a complete response whose length states its end, unless it ends
  /// with its head: nothing of a body is sent in a response to HEAD or with the
  /// status 204 or 304, also by the functions below.
  void respond(int Status, std::string_view Reason, const HttpHeaders &Headers,
               std::string Body);
  /// Sends a complete response whose memory is reserved.
  void forward(int Status, std::string_view Reason, const HttpHeaders &Headers,
               ReservedBytes Body, ResponseFraming Framing);
  /// Starts a response of unknown length. A Delimited one is sent in chunks.
  void beginStream(int Status, std::string_view Reason,
                   const HttpHeaders &Headers, ResponseFraming Framing);
  void sendChunk(std::string_view Bytes);
  void endStream();
  /// Sends what was passed to sendChunk() and ends the connection so that the
  /// client can tell that the response is incomplete: without the last chunk,
  /// or with a reset.
  void abort();

  /// Closes the connection if no request or response is in progress.
  void closeIfIdle();
  /// Rejects a request of which only a part has arrived, as not executed, and
  /// closes the connection.
  void rejectIncompleteRequest();
  bool isClosed() const;
  /// Returns the IP address of the client; empty if it has left.
  std::string remoteAddress() const;

  /// Number of bytes that were passed on and not yet sent.
  std::size_t waitingOutput() const;
  /// Calls \p OnAccepted once when no more output waits for the client than
  /// ClientMemory allows.
  void onOutputTaken(std::function<void()> OnAccepted);
  /// Returns what the choice of connections to close needs to know, and notes
  /// whether the client reads.
  ConnectionState sampleState(MonotonicTime Now);
  /// Closes a connection that was chosen by that state. A response in progress
  /// is not complete for the client.
  void shed();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_CLIENT_CONNECTION_H
