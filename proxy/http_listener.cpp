#include "proxy/http_listener.h"

#include <vector>

namespace fulmarwinch {

namespace {

constexpr int Backlog = 512;
/// Pause after a failed accept, which means that descriptors have run out.
constexpr auto AcceptRetry = std::chrono::milliseconds(20);

} // namespace

HttpListener::HttpListener(asio::io_context &Loop, const Endpoint &Address,
                           ConnectionHooks Hooks)
    : m_Acceptor(Loop), m_RetryTimer(Loop), m_Hooks(std::move(Hooks)) {
  const asio::ip::tcp::endpoint Local(asio::ip::make_address(Address.m_Ip),
                                      Address.m_Port);
  m_Acceptor.open(Local.protocol());
  m_Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  m_Acceptor.bind(Local);
  m_Acceptor.listen(Backlog);
  m_Hooks.m_OnClosed = [this](const ClientConnection *Connection) {
    m_Connections.erase(Connection);
  };
  accept();
}

void HttpListener::accept() {
  m_Acceptor.async_accept(
      [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (Error) {
          m_RetryTimer.expires_after(AcceptRetry);
          m_RetryTimer.async_wait([this](const asio::error_code &Cancelled) {
            if (!Cancelled)
              accept();
          });
          return;
        }
        const auto Connection =
            std::make_shared<ClientConnection>(std::move(Socket), m_Hooks);
        m_Connections[Connection.get()] = Connection;
        Connection->start();
        accept();
      });
}

void HttpListener::stopAccepting() {
  asio::error_code Ignored; // closing twice is no fault
  m_Acceptor.close(Ignored);
}

void HttpListener::closeIdle() {
  std::vector<std::shared_ptr<ClientConnection>> Open;
  for (const auto &[Key, Weak] : m_Connections)
    if (auto Connection = Weak.lock())
      Open.push_back(std::move(Connection));
  for (const auto &Connection : Open)
    Connection->closeIfIdle();
}

} // namespace fulmarwinch
