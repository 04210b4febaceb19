#include "drivers/peers/peer_links.h"
#include "core/error.h"
#include "core/log.h"

#include "asio.hpp"
#include "fmt/format.h"
#include "websocketpp/client.hpp"
#include "websocketpp/config/asio_no_tls.hpp"
#include "websocketpp/config/asio_no_tls_client.hpp"
#include "websocketpp/server.hpp"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <random>
#include <thread>
#include <utility>

namespace fulmarwinch {

namespace {

using WebSocketServer = websocketpp::server<websocketpp::config::asio>;
using WebSocketClient = websocketpp::client<websocketpp::config::asio_client>;
using ConnectionHandle = websocketpp::connection_hdl;
using LastActivityMap = std::map<ConnectionHandle, MonotonicTime,
                                 std::owner_less<ConnectionHandle>>;

std::int64_t toMilliseconds(Duration Interval) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Interval)
      .count();
}

bool hasIpAddressHost(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  asio::error_code ErrorCode;
  asio::ip::make_address(Host, ErrorCode);
  return !ErrorCode;
}

} // namespace

/// All members except the atomic ones are accessed only on the thread that runs
/// m_Context.
struct PeerLinks::Impl {
  struct OutgoingLink {
    WebSocketClient::connection_ptr m_Connection;
    bool m_IsOpen = false;
    std::deque<std::string> m_QueuedMessages;
    std::size_t m_QueuedBytes = 0;
    Duration m_ReconnectDelay{0};
    MonotonicTime m_ReconnectAt;
    MonotonicTime m_LastSendAt;
  };

  Impl(PeerLinkOptions Options, MessageHandler OnMessage)
      : m_Options(std::move(Options)), m_OnMessage(std::move(OnMessage)),
        m_MaintenanceTimer(m_Context), m_Random(std::random_device{}()) {}

  absl::Status start();
  void stop();
  void send(const std::string &Address, std::string Bytes);
  void connect(const std::string &Address, OutgoingLink &TargetLink);
  void onOpen(const std::string &Address,
              const WebSocketClient::connection_ptr &PeerConnection);
  void onClosed(const std::string &Address,
                const WebSocketClient::connection_ptr &PeerConnection);
  void sendQueued(OutgoingLink &TargetLink);
  void runMaintenance();
  void maintainOutgoingLinks(MonotonicTime Now);
  void scheduleMaintenance();
  void closeAll();
  void configureServer();
  void configureClient();
  template <typename MessagePtr> void receive(const MessagePtr &Message);

  const PeerLinkOptions m_Options;
  const MessageHandler m_OnMessage;
  asio::io_context m_Context;
  WebSocketServer m_Server;
  WebSocketClient m_Client;
  asio::steady_timer m_MaintenanceTimer;
  std::mt19937 m_Random;
  std::map<std::string, OutgoingLink> m_OutgoingLinks;
  LastActivityMap m_AcceptedConnections;
  std::thread m_Thread;
  bool m_IsStopping = false;
  std::atomic<std::uint16_t> m_Port{0};
  std::atomic<std::size_t> m_OpenLinks{0};
  std::atomic<std::uint64_t> m_DroppedMessages{0};
};

void PeerLinks::Impl::configureServer() {
  m_Server.clear_access_channels(websocketpp::log::alevel::all);
  m_Server.clear_error_channels(websocketpp::log::elevel::all);
  m_Server.init_asio(&m_Context);
  m_Server.set_reuse_addr(true);
  m_Server.set_max_message_size(m_Options.m_MaxMessageBytes);
  m_Server.set_open_handshake_timeout(toMilliseconds(m_Options.m_LinkTimeout));
  m_Server.set_close_handshake_timeout(toMilliseconds(m_Options.m_LinkTimeout));
  m_Server.set_open_handler([this](const ConnectionHandle &PeerConnection) {
    m_AcceptedConnections[PeerConnection] = monotonicNow();
  });
  m_Server.set_close_handler([this](const ConnectionHandle &PeerConnection) {
    m_AcceptedConnections.erase(PeerConnection);
  });
  m_Server.set_message_handler(
      [this](const ConnectionHandle &PeerConnection,
             const WebSocketServer::message_ptr &Message) {
        m_AcceptedConnections[PeerConnection] = monotonicNow();
        receive(Message);
      });
}

void PeerLinks::Impl::configureClient() {
  m_Client.clear_access_channels(websocketpp::log::alevel::all);
  m_Client.clear_error_channels(websocketpp::log::elevel::all);
  m_Client.init_asio(&m_Context);
  m_Client.set_max_message_size(m_Options.m_MaxMessageBytes);
  m_Client.set_open_handshake_timeout(toMilliseconds(m_Options.m_LinkTimeout));
  m_Client.set_close_handshake_timeout(toMilliseconds(m_Options.m_LinkTimeout));
}

absl::Status PeerLinks::Impl::start() {
  try {
    configureServer();
    configureClient();
    m_Server.listen(asio::ip::tcp::endpoint(
        asio::ip::make_address(m_Options.m_Address), m_Options.m_Port));
    m_Server.start_accept();
    asio::error_code ErrorCode;
    m_Port = m_Server.get_local_endpoint(ErrorCode).port();
  } catch (const std::exception &Error) {
    return makeError(
        ErrorKind::Internal,
        fmt::format("cannot listen on {}:{} for peer links: {}",
                    m_Options.m_Address, m_Options.m_Port, Error.what()),
        "set an IP address of this VM and a free port for the peers");
  }
  scheduleMaintenance();
  m_Thread = std::thread([this] {
    while (true) {
      try {
        m_Context.run();
        return;
      } catch (const std::exception &Error) {
        logLine(LogLevel::Error, "peers",
                fmt::format("unexpected exception in a peer link handler: {}",
                            Error.what()));
      }
    }
  });
  return absl::OkStatus();
}

void PeerLinks::Impl::stop() {
  if (!m_Thread.joinable())
    return;
  asio::post(m_Context, [this] { closeAll(); });
  m_Thread.join();
}

void PeerLinks::Impl::closeAll() {
  m_IsStopping = true;
  m_MaintenanceTimer.cancel();
  websocketpp::lib::error_code ErrorCode;
  m_Server.stop_listening(ErrorCode);
  const LastActivityMap AcceptedCopy = m_AcceptedConnections;
  for (const auto &Entry : AcceptedCopy)
    m_Server.close(Entry.first, websocketpp::close::status::going_away, "",
                   ErrorCode);
  for (auto &[Address, CurrentLink] : m_OutgoingLinks)
    if (CurrentLink.m_Connection)
      CurrentLink.m_Connection->close(websocketpp::close::status::going_away,
                                      "", ErrorCode);
  m_OutgoingLinks.clear();
  m_OpenLinks = 0;
}

void PeerLinks::Impl::send(const std::string &Address, std::string Bytes) {
  if (m_IsStopping || !hasIpAddressHost(Address) ||
      Bytes.size() > m_Options.m_MaxMessageBytes) {
    ++m_DroppedMessages;
    return;
  }
  OutgoingLink &TargetLink = m_OutgoingLinks[Address];
  TargetLink.m_LastSendAt = monotonicNow();
  const std::size_t Buffered =
      TargetLink.m_IsOpen ? TargetLink.m_Connection->get_buffered_amount() : 0;
  if (TargetLink.m_QueuedBytes + Buffered + Bytes.size() >
      m_Options.m_MaxQueuedBytes) {
    ++m_DroppedMessages;
    return;
  }
  TargetLink.m_QueuedBytes += Bytes.size();
  TargetLink.m_QueuedMessages.push_back(std::move(Bytes));
  if (TargetLink.m_IsOpen)
    sendQueued(TargetLink);
  else if (!TargetLink.m_Connection &&
           TargetLink.m_LastSendAt >= TargetLink.m_ReconnectAt)
    connect(Address, TargetLink);
}

void PeerLinks::Impl::connect(const std::string &Address,
                              OutgoingLink &TargetLink) {
  websocketpp::lib::error_code ErrorCode;
  const WebSocketClient::connection_ptr Connection =
      m_Client.get_connection("ws://" + Address, ErrorCode);
  if (ErrorCode) {
    m_DroppedMessages += TargetLink.m_QueuedMessages.size();
    m_OutgoingLinks.erase(Address);
    return;
  }
  // The connection owns its handlers, so they refer to it by a weak pointer; a
  // shared one would prevent it from ever being freed.
  const std::weak_ptr<WebSocketClient::connection_type> WeakConnection =
      Connection;
  Connection->set_open_handler([=](const ConnectionHandle &) {
    onOpen(Address, WeakConnection.lock());
  });
  Connection->set_fail_handler([=](const ConnectionHandle &) {
    onClosed(Address, WeakConnection.lock());
  });
  Connection->set_close_handler([=](const ConnectionHandle &) {
    onClosed(Address, WeakConnection.lock());
  });
  Connection->set_message_handler(
      [this](const ConnectionHandle &,
             const WebSocketClient::message_ptr &Message) {
        receive(Message);
      });
  TargetLink.m_Connection = Connection;
  m_Client.connect(Connection);
}

void PeerLinks::Impl::onOpen(
    const std::string &Address,
    const WebSocketClient::connection_ptr &PeerConnection) {
  const auto Entry = m_OutgoingLinks.find(Address);
  if (Entry == m_OutgoingLinks.end() ||
      Entry->second.m_Connection != PeerConnection) {
    websocketpp::lib::error_code ErrorCode;
    if (PeerConnection)
      PeerConnection->close(websocketpp::close::status::going_away, "",
                            ErrorCode);
    return;
  }
  Entry->second.m_IsOpen = true;
  Entry->second.m_ReconnectDelay = Duration(0);
  ++m_OpenLinks;
  sendQueued(Entry->second);
}

void PeerLinks::Impl::onClosed(
    const std::string &Address,
    const WebSocketClient::connection_ptr &PeerConnection) {
  const auto Entry = m_OutgoingLinks.find(Address);
  if (Entry == m_OutgoingLinks.end() ||
      Entry->second.m_Connection != PeerConnection)
    return;
  OutgoingLink &ClosedLink = Entry->second;
  if (std::exchange(ClosedLink.m_IsOpen, false))
    --m_OpenLinks;
  ClosedLink.m_Connection.reset();
  ClosedLink.m_ReconnectDelay =
      std::clamp(ClosedLink.m_ReconnectDelay * 2, m_Options.m_MinReconnectDelay,
                 m_Options.m_MaxReconnectDelay);
  // Jitter prevents the peers of a restarted node from reconnecting to it all
  // at once.
  std::uniform_int_distribution<std::int64_t> JitteredDelay(
      ClosedLink.m_ReconnectDelay.count() / 2,
      ClosedLink.m_ReconnectDelay.count());
  ClosedLink.m_ReconnectAt = monotonicNow() + Duration(JitteredDelay(m_Random));
}

void PeerLinks::Impl::sendQueued(OutgoingLink &TargetLink) {
  while (!TargetLink.m_QueuedMessages.empty()) {
    if (TargetLink.m_Connection->send(TargetLink.m_QueuedMessages.front(),
                                      websocketpp::frame::opcode::binary))
      ++m_DroppedMessages;
    TargetLink.m_QueuedBytes -= TargetLink.m_QueuedMessages.front().size();
    TargetLink.m_QueuedMessages.pop_front();
  }
}

void PeerLinks::Impl::scheduleMaintenance() {
  m_MaintenanceTimer.expires_after(std::chrono::milliseconds(50));
  m_MaintenanceTimer.async_wait([this](const asio::error_code &ErrorCode) {
    if (!ErrorCode && !m_IsStopping)
      runMaintenance();
  });
}

void PeerLinks::Impl::runMaintenance() {
  const MonotonicTime Now = monotonicNow();
  maintainOutgoingLinks(Now);
  std::vector<ConnectionHandle> IdleConnections;
  for (const auto &[PeerConnection, LastActivity] : m_AcceptedConnections)
    // The connecting side closes an idle link after the link timeout. The
    // accepting side waits twice as long, so that it does not close a link on
    // which the other side is about to send.
    if (Now - LastActivity > 2 * m_Options.m_LinkTimeout)
      IdleConnections.push_back(PeerConnection);
  for (const ConnectionHandle &PeerConnection : IdleConnections) {
    websocketpp::lib::error_code ErrorCode;
    m_Server.close(PeerConnection, websocketpp::close::status::normal, "",
                   ErrorCode);
    m_AcceptedConnections.erase(PeerConnection);
  }
  scheduleMaintenance();
}

void PeerLinks::Impl::maintainOutgoingLinks(MonotonicTime Now) {
  for (auto Entry = m_OutgoingLinks.begin(); Entry != m_OutgoingLinks.end();) {
    OutgoingLink &CurrentLink = Entry->second;
    if (Now - CurrentLink.m_LastSendAt > m_Options.m_LinkTimeout) {
      m_DroppedMessages += CurrentLink.m_QueuedMessages.size();
      websocketpp::lib::error_code ErrorCode;
      if (CurrentLink.m_IsOpen)
        --m_OpenLinks;
      if (CurrentLink.m_Connection)
        CurrentLink.m_Connection->close(websocketpp::close::status::normal, "",
                                        ErrorCode);
      Entry = m_OutgoingLinks.erase(Entry);
      continue;
    }
    const std::string Address = Entry->first;
    ++Entry;
    if (!CurrentLink.m_Connection && !CurrentLink.m_QueuedMessages.empty() &&
        Now >= CurrentLink.m_ReconnectAt)
      connect(Address, CurrentLink);
  }
}

template <typename MessagePtr>
void PeerLinks::Impl::receive(const MessagePtr &Message) {
  if (Message->get_opcode() == websocketpp::frame::opcode::binary)
    m_OnMessage(Message->get_payload());
}

PeerLinks::PeerLinks(PeerLinkOptions Options, MessageHandler OnMessage)
    : m_Impl(std::make_unique<Impl>(std::move(Options), std::move(OnMessage))) {
}

PeerLinks::~PeerLinks() { stop(); }

absl::Status PeerLinks::start() { return m_Impl->start(); }

void PeerLinks::stop() { m_Impl->stop(); }

void PeerLinks::send(std::string Address, std::string Bytes) {
  asio::post(m_Impl->m_Context,
             [Impl = m_Impl.get(), PeerAddress = std::move(Address),
              Message = std::move(Bytes)]() mutable {
               Impl->send(PeerAddress, std::move(Message));
             });
}

std::uint16_t PeerLinks::port() const { return m_Impl->m_Port; }

std::size_t PeerLinks::openLinkCount() const { return m_Impl->m_OpenLinks; }

std::uint64_t PeerLinks::droppedMessageCount() const {
  return m_Impl->m_DroppedMessages;
}

} // namespace fulmarwinch
