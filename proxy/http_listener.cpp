#include "proxy/http_listener.h"
#include "proxy/socket_options.h"

namespace fulmarwinch {

namespace {

constexpr int ListenBacklog = 512;
/// Delay before the next accept() after a failed one; the usual cause is that
/// the process has no free file descriptors.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

HttpListener::HttpListener(asio::io_context &Loop, const Endpoint &Address,
                           ConnectionHooks Hooks)
    : m_Acceptor(Loop), m_AcceptRetryTimer(Loop), m_Hooks(std::move(Hooks)) {
  const asio::ip::tcp::endpoint Local(asio::ip::make_address(Address.m_Ip),
                                      Address.m_Port);
  m_Acceptor.open(Local.protocol());
  m_Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  m_Acceptor.bind(Local);
  // Accepted connections inherit it.
  setReceiveBuffer(m_Acceptor.native_handle(),
                   ClientMemory::ClientReceiveBuffer);
  m_Acceptor.listen(ListenBacklog);
  m_Hooks.m_OnClosed = [this](const ClientConnection *Connection) {
    m_Connections.erase(Connection);
  };
  accept();
}

void HttpListener::accept() {
  // Further clients wait in the queue of the kernel.
  if (!m_Hooks.m_MayAccept()) {
    acceptLater();
    return;
  }
  m_Acceptor.async_accept(
      [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (Error) {
          acceptLater();
          return;
        }
        addConnection(std::move(Socket));
        accept();
      });
}

void HttpListener::acceptLater() {
  m_AcceptRetryTimer.expires_after(AcceptRetryDelay);
  m_AcceptRetryTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled && m_Acceptor.is_open())
      accept();
  });
}

void HttpListener::addConnection(asio::ip::tcp::socket Socket) {
  const auto Connection =
      std::make_shared<ClientConnection>(std::move(Socket), m_Hooks);
  m_Connections[Connection.get()] = Connection;
  Connection->start();
}

void HttpListener::stopAccepting() {
  if (!m_Acceptor.is_open())
    return;
  // The kernel has already established the connections in the queue, and
  // closing the socket would reset them with the requests they have sent.
  asio::error_code Error;
  m_Acceptor.non_blocking(true, Error);
  while (!Error) {
    asio::ip::tcp::socket Socket(m_Acceptor.get_executor());
    m_Acceptor.accept(Socket, Error);
    if (!Error)
      addConnection(std::move(Socket));
  }
  asio::error_code Ignored; // close() always releases the descriptor
  m_Acceptor.close(Ignored);
}

std::vector<std::shared_ptr<ClientConnection>>
HttpListener::openConnections() const {
  std::vector<std::shared_ptr<ClientConnection>> Result;
  for (const auto &[Key, Weak] : m_Connections)
    if (auto Connection = Weak.lock())
      Result.push_back(std::move(Connection));
  return Result;
}

void HttpListener::closeIdleConnections() {
  for (const auto &Connection : openConnections())
    Connection->closeIfIdle();
}

void HttpListener::rejectIncompleteRequests() {
  for (const auto &Connection : openConnections())
    Connection->rejectIncompleteRequest();
}

} // namespace fulmarwinch
