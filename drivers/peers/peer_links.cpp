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

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using HandleSet = std::map<Handle, MonotonicTime, std::owner_less<Handle>>;

std::int64_t millisecondsOf(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

bool isAddress(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  asio::error_code Code;
  asio::ip::make_address(Host, Code);
  return !Code;
}

} // namespace

/// Everything but the atomic members belongs to the thread of the context.
struct PeerLinks::Impl {
  struct Link {
    Client::connection_ptr m_Connection;
    bool m_IsOpen = false;
    std::deque<std::string> m_Waiting;
    std::size_t m_WaitingBytes = 0;
    Duration m_Pause{0};
    MonotonicTime m_RetryAt;
    MonotonicTime m_LastUse;
  };

  Impl(PeerLinkOptions Options, MessageHandler OnMessage)
      : m_Options(std::move(Options)), m_OnMessage(std::move(OnMessage)),
        m_Sweep(m_Context), m_Random(std::random_device{}()) {}

  absl::Status start();
  void stop();
  void send(const std::string &Address, std::string Bytes);
  void connect(const std::string &Address, Link &Target);
  void onOpen(const std::string &Address, const Client::connection_ptr &From);
  void onClosed(const std::string &Address, const Client::connection_ptr &From);
  void flush(Link &Target);
  void sweep();
  void sweepLinks(MonotonicTime Now);
  void scheduleSweep();
  void closeAll();
  void prepareServer();
  void prepareClient();
  template <typename MessagePtr> void receive(const MessagePtr &Message);

  const PeerLinkOptions m_Options;
  const MessageHandler m_OnMessage;
  asio::io_context m_Context;
  Server m_Server;
  Client m_Client;
  asio::steady_timer m_Sweep;
  std::mt19937 m_Random;
  std::map<std::string, Link> m_Links;
  HandleSet m_Accepted;
  std::thread m_Thread;
  bool m_IsStopping = false;
  std::atomic<std::uint16_t> m_Port{0};
  std::atomic<std::size_t> m_OpenLinks{0};
  std::atomic<std::uint64_t> m_Dropped{0};
};

void PeerLinks::Impl::prepareServer() {
  m_Server.clear_access_channels(websocketpp::log::alevel::all);
  m_Server.clear_error_channels(websocketpp::log::elevel::all);
  m_Server.init_asio(&m_Context);
  m_Server.set_reuse_addr(true);
  m_Server.set_max_message_size(m_Options.m_MaxMessageBytes);
  m_Server.set_open_handshake_timeout(millisecondsOf(m_Options.m_LinkTimeout));
  m_Server.set_close_handshake_timeout(millisecondsOf(m_Options.m_LinkTimeout));
  m_Server.set_open_handler(
      [this](const Handle &From) { m_Accepted[From] = monotonicNow(); });
  m_Server.set_close_handler(
      [this](const Handle &From) { m_Accepted.erase(From); });
  m_Server.set_message_handler(
      [this](const Handle &From, const Server::message_ptr &Message) {
        m_Accepted[From] = monotonicNow();
        receive(Message);
      });
}

void PeerLinks::Impl::prepareClient() {
  m_Client.clear_access_channels(websocketpp::log::alevel::all);
  m_Client.clear_error_channels(websocketpp::log::elevel::all);
  m_Client.init_asio(&m_Context);
  m_Client.set_max_message_size(m_Options.m_MaxMessageBytes);
  m_Client.set_open_handshake_timeout(millisecondsOf(m_Options.m_LinkTimeout));
  m_Client.set_close_handshake_timeout(millisecondsOf(m_Options.m_LinkTimeout));
}

absl::Status PeerLinks::Impl::start() {
  try {
    prepareServer();
    prepareClient();
    m_Server.listen(asio::ip::tcp::endpoint(
        asio::ip::make_address(m_Options.m_Address), m_Options.m_Port));
    m_Server.start_accept();
    asio::error_code Code;
    m_Port = m_Server.get_local_endpoint(Code).port();
  } catch (const std::exception &Error) {
    return makeError(ErrorKind::Internal,
                     fmt::format("can not listen on {}:{} for peers: {}",
                                 m_Options.m_Address, m_Options.m_Port,
                                 Error.what()),
                     "set an own IP address and a free port for the peers");
  }
  scheduleSweep();
  m_Thread = std::thread([this] {
    while (true) {
      try {
        m_Context.run();
        return;
      } catch (const std::exception &Error) {
        logLine(LogLevel::Error, "peers",
                fmt::format("handler failed: {}", Error.what()));
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
  m_Sweep.cancel();
  websocketpp::lib::error_code Code;
  m_Server.stop_listening(Code);
  const HandleSet Accepted = m_Accepted;
  for (const auto &Entry : Accepted)
    m_Server.close(Entry.first, websocketpp::close::status::going_away, "",
                   Code);
  for (auto &[Address, Each] : m_Links)
    if (Each.m_Connection)
      Each.m_Connection->close(websocketpp::close::status::going_away, "",
                               Code);
  m_Links.clear();
  m_OpenLinks = 0;
}

void PeerLinks::Impl::send(const std::string &Address, std::string Bytes) {
  if (m_IsStopping || !isAddress(Address) ||
      Bytes.size() > m_Options.m_MaxMessageBytes) {
    ++m_Dropped;
    return;
  }
  Link &Target = m_Links[Address];
  Target.m_LastUse = monotonicNow();
  const std::size_t Buffered =
      Target.m_IsOpen ? Target.m_Connection->get_buffered_amount() : 0;
  if (Target.m_WaitingBytes + Buffered + Bytes.size() >
      m_Options.m_MaxQueuedBytes) {
    ++m_Dropped;
    return;
  }
  Target.m_WaitingBytes += Bytes.size();
  Target.m_Waiting.push_back(std::move(Bytes));
  if (Target.m_IsOpen)
    flush(Target);
  else if (!Target.m_Connection && Target.m_LastUse >= Target.m_RetryAt)
    connect(Address, Target);
}

void PeerLinks::Impl::connect(const std::string &Address, Link &Target) {
  websocketpp::lib::error_code Code;
  const Client::connection_ptr Connection =
      m_Client.get_connection("ws://" + Address, Code);
  if (Code) {
    m_Dropped += Target.m_Waiting.size();
    m_Links.erase(Address);
    return;
  }
  // The handlers hold no strong reference to the connection, which owns them.
  const std::weak_ptr<Client::connection_type> Weak = Connection;
  Connection->set_open_handler(
      [=](const Handle &) { onOpen(Address, Weak.lock()); });
  Connection->set_fail_handler(
      [=](const Handle &) { onClosed(Address, Weak.lock()); });
  Connection->set_close_handler(
      [=](const Handle &) { onClosed(Address, Weak.lock()); });
  Connection->set_message_handler(
      [this](const Handle &, const Client::message_ptr &Message) {
        receive(Message);
      });
  Target.m_Connection = Connection;
  m_Client.connect(Connection);
}

void PeerLinks::Impl::onOpen(const std::string &Address,
                             const Client::connection_ptr &From) {
  const auto Entry = m_Links.find(Address);
  if (Entry == m_Links.end() || Entry->second.m_Connection != From) {
    websocketpp::lib::error_code Code;
    if (From)
      From->close(websocketpp::close::status::going_away, "", Code);
    return;
  }
  Entry->second.m_IsOpen = true;
  Entry->second.m_Pause = Duration(0);
  ++m_OpenLinks;
  flush(Entry->second);
}

void PeerLinks::Impl::onClosed(const std::string &Address,
                               const Client::connection_ptr &From) {
  const auto Entry = m_Links.find(Address);
  if (Entry == m_Links.end() || Entry->second.m_Connection != From)
    return;
  Link &Closed = Entry->second;
  if (std::exchange(Closed.m_IsOpen, false))
    --m_OpenLinks;
  Closed.m_Connection.reset();
  Closed.m_Pause = std::clamp(Closed.m_Pause * 2, m_Options.m_ReconnectPause,
                              m_Options.m_MaxReconnectPause);
  // Jitter keeps the peers of a restarted node from connecting all at once.
  std::uniform_int_distribution<std::int64_t> Jitter(Closed.m_Pause.count() / 2,
                                                     Closed.m_Pause.count());
  Closed.m_RetryAt = monotonicNow() + Duration(Jitter(m_Random));
}

void PeerLinks::Impl::flush(Link &Target) {
  while (!Target.m_Waiting.empty()) {
    if (Target.m_Connection->send(Target.m_Waiting.front(),
                                  websocketpp::frame::opcode::binary))
      ++m_Dropped;
    Target.m_WaitingBytes -= Target.m_Waiting.front().size();
    Target.m_Waiting.pop_front();
  }
}

void PeerLinks::Impl::scheduleSweep() {
  m_Sweep.expires_after(std::chrono::milliseconds(50));
  m_Sweep.async_wait([this](const asio::error_code &Code) {
    if (!Code && !m_IsStopping)
      sweep();
  });
}

void PeerLinks::Impl::sweep() {
  const MonotonicTime Now = monotonicNow();
  sweepLinks(Now);
  std::vector<Handle> Idle;
  for (const auto &[From, LastUse] : m_Accepted)
    // The connecting side closes first, so that its sends are not cut off.
    if (Now - LastUse > 2 * m_Options.m_LinkTimeout)
      Idle.push_back(From);
  for (const Handle &From : Idle) {
    websocketpp::lib::error_code Code;
    m_Server.close(From, websocketpp::close::status::normal, "", Code);
    m_Accepted.erase(From);
  }
  scheduleSweep();
}

void PeerLinks::Impl::sweepLinks(MonotonicTime Now) {
  for (auto Entry = m_Links.begin(); Entry != m_Links.end();) {
    Link &Each = Entry->second;
    if (Now - Each.m_LastUse > m_Options.m_LinkTimeout) {
      m_Dropped += Each.m_Waiting.size();
      websocketpp::lib::error_code Code;
      if (Each.m_IsOpen)
        --m_OpenLinks;
      if (Each.m_Connection)
        Each.m_Connection->close(websocketpp::close::status::normal, "", Code);
      Entry = m_Links.erase(Entry);
      continue;
    }
    const std::string Address = Entry->first;
    ++Entry;
    if (!Each.m_Connection && !Each.m_Waiting.empty() && Now >= Each.m_RetryAt)
      connect(Address, Each);
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
  asio::post(m_Impl->m_Context, [Impl = m_Impl.get(), To = std::move(Address),
                                 Text = std::move(Bytes)]() mutable {
    Impl->send(To, std::move(Text));
  });
}

std::uint16_t PeerLinks::port() const { return m_Impl->m_Port; }

std::size_t PeerLinks::openLinks() const { return m_Impl->m_OpenLinks; }

std::uint64_t PeerLinks::droppedMessages() const { return m_Impl->m_Dropped; }

} // namespace fulmarwinch
