#ifndef FULMARWINCH_PROXY_CLIENT_CONNECTION_H
#define FULMARWINCH_PROXY_CLIENT_CONNECTION_H

#include "core/time.h"
#include "proxy/http_stream_parser.h"
#include "servers/routes/traffic_configuration.h"

#include "asio/ip/tcp.hpp"

#include <functional>
#include <memory>
#include <string>

namespace fulmarwinch {

class ClientConnection;

/// A request that was read whole.
struct ClientRequest {
  HttpHead m_Head;
  std::string m_Body;
  MonotonicTime m_ReceivedAt{};
};

/// What a listener needs from the program behind it.
struct ConnectionHooks {
  /// Called with each request. The connection reads no further request until
  /// the response was ended.
  std::function<void(std::shared_ptr<ClientConnection>, ClientRequest)>
      m_OnRequest;
  /// Returns the limits in force.
  std::function<ClientLimits()> m_Limits;
  /// True if connections are closed after their current response.
  std::function<bool()> m_IsDraining;
  /// Called once when the connection has gone.
  std::function<void(const ClientConnection *)> m_OnClosed;
};

/// Server side of one HTTP/1.1 connection of a client.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(asio::ip::tcp::socket Socket, ConnectionHooks Hooks);
  ~ClientConnection();
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;

  void start();

  /// Called if the client leaves before the response has ended.
  void setOnGone(std::function<void()> OnGone);

  /// Sends a whole response. Content-Length is added.
  void respond(int Status, std::string_view Reason, const HttpHeaders &Headers,
               std::string_view Body);
  /// Starts a response of unknown length.
  void beginStream(int Status, std::string_view Reason,
                   const HttpHeaders &Headers);
  void sendChunk(std::string_view Bytes);
  void endStream();
  /// Closes the connection, so that an unfinished response is not taken for a
  /// whole one.
  void abort();

  /// Closes the connection if no request was begun on it.
  void closeIfIdle();
  bool isClosed() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_CLIENT_CONNECTION_H
