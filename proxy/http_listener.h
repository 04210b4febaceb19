#ifndef FULMARWINCH_PROXY_HTTP_LISTENER_H
#define FULMARWINCH_PROXY_HTTP_LISTENER_H

#include "proxy/client_connection.h"
#include "servers/fleet/backend_server.h"

#include "asio/io_context.hpp"
#include "asio/ip/tcp.hpp"
#include "asio/steady_timer.hpp"

#include <map>
#include <memory>
#include <vector>

namespace fulmarwinch {

/// Accepts HTTP connections at one address and tracks the open ones.
class HttpListener {
public:
  HttpListener(asio::io_context &Loop, const Endpoint &Address,
               ConnectionHooks Hooks);

  /// Closes the listening socket; open connections continue.
  void stopAccepting();
  /// Closes the connections that have no request in progress.
  void closeIdleConnections();
  /// Rejects the requests that have begun to arrive and are not complete.
  void rejectIncompleteRequests();
  /// True if no connection is open.
  bool hasNoConnections() const { return m_Connections.empty(); }
  std::size_t connectionCount() const { return m_Connections.size(); }
  std::vector<std::shared_ptr<ClientConnection>> openConnections() const;

private:
  void accept();
  void acceptLater();
  void addConnection(asio::ip::tcp::socket Socket);

  asio::ip::tcp::acceptor m_Acceptor;
  asio::steady_timer m_AcceptRetryTimer;
  ConnectionHooks m_Hooks;
  std::map<const ClientConnection *, std::weak_ptr<ClientConnection>>
      m_Connections;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_HTTP_LISTENER_H
