#include "proxy/client_connection.h"
#include "core/text.h"

#include "asio.hpp"

namespace fulmarwinch {

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{8} * 1024;
/// Bytes of following requests that are kept while one is in progress.
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} * 1024;
/// A client that reads this far behind is cut off, to bound the memory.
constexpr std::size_t MaxOutgoingBytes = std::size_t{1024} * 1024;
constexpr int NoContent = 204;
constexpr int NotModified = 304;

} // namespace

struct ClientConnection::Impl : HttpSink {
  Impl(asio::ip::tcp::socket Socket, ConnectionHooks Hooks,
       ClientConnection &Owner)
      : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
        m_Hooks(std::move(Hooks)), m_Owner(Owner),
        m_Parser(HttpStreamParser::Direction::Requests,
                 m_Hooks.m_Limits().m_MaxHeaderBytes, *this) {}

  std::shared_ptr<ClientConnection> owner() {
    return m_Owner.shared_from_this();
  }

  void onHead(HttpHead Head) override {
    m_Request.m_Head = std::move(Head);
    const std::optional<std::string> Expectation =
        findHeader(m_Request.m_Head.m_Headers, "Expect");
    if (Expectation && equalsIgnoreCase(*Expectation, "100-continue"))
      send("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void onBody(std::string_view Bytes) override {
    if (m_Request.m_Body.size() + Bytes.size() > m_Limits.m_MaxBodyBytes) {
      m_BodyTooLarge = true;
      return;
    }
    m_Request.m_Body.append(Bytes);
  }

  void onMessageEnd() override {}

  void awaitRequest() {
    m_Busy = false;
    m_Request = ClientRequest();
    m_Parser.reset();
    m_Limits = m_Hooks.m_Limits();
    m_Parser.setMaxHeaderBytes(m_Limits.m_MaxHeaderBytes);
    armTimer(m_Limits.m_IdleTimeout);
    parse();
  }

  void armTimer(Duration Wait) {
    m_Timer.expires_after(Wait);
    m_Timer.async_wait([this, Self = owner()](const asio::error_code &Error) {
      if (Error || m_Closed || m_Busy)
        return;
      if (m_Parser.hasBegun()) {
        m_KeepAlive = false;
        refuse(408, "Request Timeout");
      } else {
        close();
      }
    });
  }

  void read() {
    if (m_Reading || m_Closed || m_Incoming.size() >= MaxPipelinedBytes)
      return;
    m_Reading = true;
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this, Self = owner()](const asio::error_code &Error,
                               std::size_t Size) {
          m_Reading = false;
          if (m_Closed)
            return;
          if (Error) {
            clientLeft();
            return;
          }
          m_Incoming.append(m_Buffer.data(), Size);
          parse();
          read();
        });
  }

  void parse() {
    if (m_Busy || m_Closed || m_Incoming.empty())
      return;
    const bool HadBegun = m_Parser.hasBegun();
    const std::size_t Used = m_Parser.feed(m_Incoming);
    m_Incoming.erase(0, Used);
    if (m_Closed)
      return;
    if (m_Parser.hasFailed()) {
      m_KeepAlive = false;
      m_Parser.headTooLarge() ? refuse(431, "Request Header Fields Too Large")
                              : refuse(400, "Bad Request");
      return;
    }
    if (m_BodyTooLarge) {
      m_KeepAlive = false;
      refuse(413, "Content Too Large");
      return;
    }
    if (m_Parser.isComplete()) {
      dispatch();
      return;
    }
    if (!HadBegun && m_Parser.hasBegun())
      armTimer(m_Limits.m_HeaderTimeout);
  }

  void dispatch() {
    m_Busy = true;
    m_Timer.cancel();
    m_KeepAlive = m_Request.m_Head.m_KeepAlive;
    m_NoBody = m_Request.m_Head.m_Method == "HEAD";
    m_Request.m_ReceivedAt = monotonicNow();
    m_Hooks.m_OnRequest(owner(), std::move(m_Request));
  }

  /// Answers a request that was not read.
  void refuse(int Status, std::string_view Reason) {
    m_Busy = true;
    m_Timer.cancel();
    respond(Status, Reason, {}, "");
  }

  std::string head(int Status, std::string_view Reason,
                   const HttpHeaders &Headers) {
    if (m_Hooks.m_IsDraining())
      m_KeepAlive = false;
    std::string Text = concat("HTTP/1.1 ", Status, " ", Reason, "\r\n");
    for (const HttpHeader &Field : Headers)
      append(Text, Field.m_Name, ": ", Field.m_Value, "\r\n");
    if (!m_KeepAlive)
      append(Text, "Connection: close\r\n");
    return Text;
  }

  void respond(int Status, std::string_view Reason, const HttpHeaders &Headers,
               std::string_view Body) {
    if (m_Closed)
      return;
    std::string Text = head(Status, Reason, Headers);
    if (Status != NoContent && Status != NotModified)
      append(Text, "Content-Length: ", Body.size(), "\r\n");
    append(Text, "\r\n", m_NoBody ? std::string_view() : Body);
    send(Text);
    finishResponse();
  }

  void finishResponse() {
    m_OnGone = nullptr;
    if (!m_KeepAlive) {
      m_CloseAfterWrite = true;
      flush();
      return;
    }
    // The handler of the request may still be on the stack.
    asio::post(m_Socket.get_executor(), [this, Self = owner()] {
      if (m_Closed)
        return;
      awaitRequest();
      read();
    });
  }

  void send(std::string_view Bytes) {
    if (m_Closed)
      return;
    m_Outgoing.append(Bytes);
    if (m_Outgoing.size() > MaxOutgoingBytes) {
      clientLeft();
      return;
    }
    flush();
  }

  void flush() {
    if (m_Writing || m_Closed)
      return;
    if (m_Outgoing.empty()) {
      if (m_CloseAfterWrite)
        closeGently();
      return;
    }
    m_Writing = true;
    m_BeingWritten.swap(m_Outgoing);
    m_Outgoing.clear();
    asio::async_write(
        m_Socket, asio::buffer(m_BeingWritten),
        [this, Self = owner()](const asio::error_code &Error, std::size_t) {
          m_Writing = false;
          if (m_Closed)
            return;
          if (Error)
            clientLeft();
          else
            flush();
        });
  }

  void clientLeft() {
    const std::function<void()> OnGone = std::move(m_OnGone);
    m_OnGone = nullptr;
    close();
    if (OnGone)
      OnGone();
  }

  /// Closing with unread bytes resets the connection, which may destroy the
  /// response on its way; so the client closes first, within a bound.
  void closeGently() {
    asio::error_code Ignored; // the peer may have gone already
    m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    constexpr auto LingerTime = std::chrono::milliseconds(500);
    m_Busy = false;
    m_Incoming.clear();
    m_Timer.expires_after(LingerTime);
    m_Timer.async_wait([this, Self = owner()](const asio::error_code &Error) {
      if (!Error)
        close();
    });
    drainInput();
  }

  void drainInput() {
    if (m_Reading || m_Closed)
      return;
    m_Reading = true;
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this, Self = owner()](const asio::error_code &Error, std::size_t) {
          m_Reading = false;
          if (Error)
            close();
          else
            drainInput();
        });
  }

  void close() {
    if (m_Closed)
      return;
    m_Closed = true;
    m_Timer.cancel();
    asio::error_code Ignored; // the descriptor is released either way
    m_Socket.close(Ignored);
    m_Hooks.m_OnClosed(&m_Owner);
  }

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  ConnectionHooks m_Hooks;
  ClientConnection &m_Owner;
  HttpStreamParser m_Parser;
  ClientLimits m_Limits;
  ClientRequest m_Request;
  std::function<void()> m_OnGone;
  std::array<char, ReadBufferBytes> m_Buffer{};
  std::string m_Incoming;
  std::string m_Outgoing;
  std::string m_BeingWritten;
  bool m_Busy = false;
  bool m_Reading = false;
  bool m_Writing = false;
  bool m_KeepAlive = true;
  bool m_NoBody = false;
  bool m_BodyTooLarge = false;
  bool m_CloseAfterWrite = false;
  bool m_Closed = false;
};

ClientConnection::ClientConnection(asio::ip::tcp::socket Socket,
                                   ConnectionHooks Hooks)
    : m_Impl(
          std::make_unique<Impl>(std::move(Socket), std::move(Hooks), *this)) {}

ClientConnection::~ClientConnection() = default;

void ClientConnection::start() {
  asio::error_code Ignored; // a socket without the option still works
  m_Impl->m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Impl->awaitRequest();
  m_Impl->read();
}

void ClientConnection::setOnGone(std::function<void()> OnGone) {
  m_Impl->m_OnGone = std::move(OnGone);
}

void ClientConnection::respond(int Status, std::string_view Reason,
                               const HttpHeaders &Headers,
                               std::string_view Body) {
  m_Impl->respond(Status, Reason, Headers, Body);
}

void ClientConnection::beginStream(int Status, std::string_view Reason,
                                   const HttpHeaders &Headers) {
  m_Impl->send(concat(m_Impl->head(Status, Reason, Headers),
                      "Transfer-Encoding: chunked\r\n\r\n"));
}

void ClientConnection::sendChunk(std::string_view Bytes) {
  if (!Bytes.empty())
    m_Impl->send(concat(absl::Hex(Bytes.size()), "\r\n", Bytes, "\r\n"));
}

void ClientConnection::endStream() {
  m_Impl->send("0\r\n\r\n");
  if (!isClosed())
    m_Impl->finishResponse();
}

void ClientConnection::abort() {
  m_Impl->m_OnGone = nullptr;
  m_Impl->close();
}

void ClientConnection::closeIfIdle() {
  if (!m_Impl->m_Busy && !m_Impl->m_Parser.hasBegun() &&
      m_Impl->m_Outgoing.empty() && !m_Impl->m_Writing)
    m_Impl->close();
}

bool ClientConnection::isClosed() const { return m_Impl->m_Closed; }

} // namespace fulmarwinch
