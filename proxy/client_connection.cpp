#include "proxy/client_connection.h"
#include "core/text.h"
#include "drivers/http/status_code.h"
#include "proxy/http_fields.h"
#include "proxy/output_queue.h"
#include "proxy/socket_options.h"

namespace fulmarwinch {

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{8} * 1024;

} // namespace

struct ClientConnection::Impl : HttpMessageHandler {
  Impl(asio::ip::tcp::socket Socket, ConnectionHooks Hooks,
       ClientConnection &Owner)
      : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
        m_Hooks(std::move(Hooks)), m_Owner(Owner),
        m_Held(m_Hooks.m_Memory->budget()),
        m_Parser(HttpStreamParser::Direction::Requests,
                 m_Hooks.m_GetLimits().m_MaxHeaderBytes, *this) {
    updateHeld();
  }

  std::shared_ptr<ClientConnection> owner() {
    return m_Owner.shared_from_this();
  }

  void onHead(HttpMessageHead Head) override {
    m_Request.m_Head = std::move(Head);
    m_Request.m_Body->expect(m_Request.m_Head.m_Headers,
                             m_Limits.m_MaxBodyBytes);
    if (!m_Request.m_Body->m_IsRefused &&
        expectsContinue(m_Request.m_Head.m_Headers))
      send("HTTP/1.1 100 Continue\r\n\r\n");
  }

  void onBody(std::string_view Bytes) override {
    m_Request.m_Body->append(Bytes, m_Limits.m_MaxBodyBytes);
  }

  void onMessageEnd() override {}

  void awaitRequest() {
    m_IsRequestInProgress = false;
    m_IsHeadRequest = false;
    m_Request = ClientRequest();
    m_Request.m_Body = std::make_shared<RequestBody>(m_Hooks.m_BodyBudget);
    m_Parser.reset();
    restoreReceiveBuffer();
    m_IdleSince = monotonicNow();
    armTimer(m_Hooks.m_GetLimits().m_IdleTimeout);
    parse();
  }

  void armTimer(Duration Timeout) {
    m_Timer.expires_after(Timeout);
    m_Timer.async_wait([this, Self = owner()](const asio::error_code &Error) {
      if (Error || m_IsClosed || m_IsRequestInProgress)
        return;
      if (m_Parser.hasReceivedBytes())
        reject(408, "Request Timeout");
      else
        closeIdleConnection();
    });
  }

  /// Closes the connection unless a later configuration allows it to be idle
  /// for longer.
  void closeIdleConnection() {
    const Duration IdleTimeout = m_Hooks.m_GetLimits().m_IdleTimeout;
    // The client may still read the last response.
    const Duration Left = m_Output.size() > 0
                              ? IdleTimeout
                              : m_IdleSince + IdleTimeout - monotonicNow();
    if (Left > Duration::zero())
      armTimer(Left);
    else
      close();
  }

  void read() {
    if (m_IsReading || m_IsClosed ||
        m_ReceivedBytes.size() >= m_Hooks.m_Memory->maxPipelinedInput())
      return;
    m_IsReading = true;
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this, Self = owner()](const asio::error_code &Error,
                               std::size_t Size) {
          m_IsReading = false;
          if (m_IsClosed)
            return;
          if (Error) {
            handleDisconnect();
            return;
          }
          m_ReceivedBytes.append(m_Buffer.data(), Size);
          if (!m_HasBodyReceiveBuffer)
            m_EarlyBytes -= std::min(m_EarlyBytes, Size);
          parse();
          updateHeld();
          read();
        });
  }

  void parse() {
    if (m_IsRequestInProgress || m_CloseAfterWrite || m_IsClosed ||
        m_ReceivedBytes.empty() || m_Output.size() > 0)
      return;
    const bool HadBegun = m_Parser.hasReceivedBytes();
    if (!HadBegun) {
      // The configuration may have changed since the last response.
      m_Limits = m_Hooks.m_GetLimits();
      m_Parser.setMaxHeaderBytes(m_Limits.m_MaxHeaderBytes);
    }
    const bool HadHead = m_Parser.hasParsedHead();
    if (!HadHead && !reserveHead()) {
      reject(503, "Service Unavailable",
             m_Hooks.m_OnRefused(RequestPart::Head));
      return;
    }
    const std::size_t Consumed = m_Parser.parse(m_ReceivedBytes);
    m_ReceivedBytes.erase(0, Consumed);
    shrinkIfEmpty(m_ReceivedBytes);
    updateHeld();
    if (m_IsClosed)
      return;
    if (m_Parser.hasFailed()) {
      m_Parser.isHeadTooLarge() ? reject(431, "Request Header Fields Too Large")
                                : reject(400, "Bad Request");
      return;
    }
    if (m_Request.m_Body->m_IsTooLarge) {
      reject(413, "Content Too Large");
      return;
    }
    if (m_Request.m_Body->m_IsRefused) {
      m_Request = ClientRequest();
      reject(503, "Service Unavailable",
             m_Hooks.m_OnRefused(RequestPart::Body));
      return;
    }
    if (m_Parser.hasParsedHead())
      enlargeReceiveBuffer();
    if (m_Parser.isComplete()) {
      dispatch();
    } else if (!HadBegun && m_Parser.hasReceivedBytes()) {
      m_ReceivingSince = monotonicNow();
      armTimer(m_Limits.m_HeaderTimeout);
    }
  }

  /// Lets the kernel receive more of a large body at a time, if there is memory
  /// for what a client may send behind it.
  void enlargeReceiveBuffer() {
    constexpr std::size_t Unread =
        maxUnreadBytes(ClientMemory::BodyReceiveBuffer);
    const RequestBody &Body = *m_Request.m_Body;
    if (m_HasBodyReceiveBuffer || m_Parser.isComplete() ||
        Body.m_Bytes.capacity() < ClientMemory::BodyReceiveBuffer ||
        !m_Hooks.m_Memory->reserveInput(m_Held, heldBytes() + Unread))
      return;
    m_HasBodyReceiveBuffer = true;
    m_EarlyBytes = Unread;
    setReceiveBuffer(m_Socket.native_handle(), ClientMemory::BodyReceiveBuffer);
  }

  /// Ends what enlargeReceiveBuffer() began. What has arrived meanwhile stays
  /// in the kernel until it is read.
  void restoreReceiveBuffer() {
    if (!m_HasBodyReceiveBuffer)
      return;
    m_HasBodyReceiveBuffer = false;
    setReceiveBuffer(m_Socket.native_handle(),
                     ClientMemory::ClientReceiveBuffer);
    asio::error_code Ignored; // the connection may be closed
    m_EarlyBytes = m_Socket.available(Ignored);
  }

  /// Reserves memory for what the received bytes can add to the head.
  bool reserveHead() {
    const std::size_t Unparsed =
        std::min(m_ReceivedBytes.size(), m_Limits.m_MaxHeaderBytes);
    return m_Hooks.m_Memory->reserveInput(m_Held, heldBytes() +
                                                      maxHeadMemory(Unparsed));
  }

  void dispatch() {
    m_IsRequestInProgress = true;
    m_Timer.cancel();
    m_KeepAlive = m_Request.m_Head.m_KeepAlive;
    m_IsHeadRequest = m_Request.m_Head.m_Method == "HEAD";
    m_Request.m_ReceivedAt = monotonicNow();
    m_HasReceivedRequest = true;
    m_Hooks.m_OnRequest(owner(), std::move(m_Request));
  }

  /// Sends an error response to a request that has not been read completely,
  /// and closes the connection.
  void reject(int Status, std::string_view Reason,
              const HttpHeaders &Headers = {}) {
    m_KeepAlive = false;
    m_IsRequestInProgress = true;
    m_Timer.cancel();
    respond(Status, Reason, Headers, "");
  }

  /// Formats the head of a response and decides whether anything may follow it:
  /// the client would read further bytes as the next response.
  std::string formatHead(int Status, std::string_view Reason,
                         const HttpHeaders &Headers) {
    m_IsHeadOnly = m_IsHeadRequest || !mayHaveBody(Status);
    if (m_Hooks.m_IsDraining())
      m_KeepAlive = false;
    return formatResponseHead(Status, Reason, Headers, m_KeepAlive);
  }

  /// Must be called before the head of each response is formatted.
  void setFraming(ResponseFraming Framing) {
    m_Framing = Framing;
    if (Framing != ResponseFraming::ConnectionClose)
      return;
    m_KeepAlive = false;
    setResetOnClose(m_Socket, true);
  }

  void respond(int Status, std::string_view Reason, const HttpHeaders &Headers,
               std::string Body) {
    ReservedBytes Held{std::move(Body),
                       MemoryReservation(m_Hooks.m_Memory->budget())};
    Held.m_Reservation.set(Held.m_Bytes.capacity());
    forward(Status, Reason, Headers, std::move(Held),
            ResponseFraming::Delimited);
  }

  void forward(int Status, std::string_view Reason, const HttpHeaders &Headers,
               ReservedBytes Body, ResponseFraming Framing) {
    if (m_IsClosed)
      return;
    setFraming(Framing);
    std::string Text = formatHead(Status, Reason, Headers);
    if (!m_IsHeadOnly && Framing == ResponseFraming::Delimited)
      append(Text, "Content-Length: ", Body.m_Bytes.size(), "\r\n");
    m_Output.append(concat(Text, "\r\n"));
    if (!m_IsHeadOnly)
      m_Output.appendBody(std::move(Body));
    send("");
    finishResponse();
  }

  void finishResponse() {
    m_OnDisconnected = nullptr;
    if (!m_KeepAlive) {
      m_CloseAfterWrite = true;
      flush();
      return;
    }
    // The continuation is posted to the event loop, because the m_OnRequest
    // call that led here may not have returned yet.
    asio::post(m_Socket.get_executor(), [this, Self = owner()] {
      if (m_IsClosed)
        return;
      awaitRequest();
      read();
    });
  }

  /// Sends \p Bytes as a part of the body, unless the response has none.
  void sendBody(std::string_view Bytes) {
    if (!m_IsHeadOnly)
      send(Bytes);
  }

  void send(std::string_view Bytes) {
    if (m_IsClosed)
      return;
    m_Output.append(Bytes);
    flush();
    updateHeld();
  }

  std::size_t heldBytes() const {
    return ClientMemory::ConnectionBytes + m_Parser.headMemory() +
           m_Output.unreservedCapacity() + m_ReceivedBytes.capacity() +
           m_EarlyBytes;
  }

  void updateHeld() { m_Held.set(heldBytes()); }

  void flush() {
    if (m_IsWriting || m_IsClosed)
      return;
    if (m_Output.size() == 0) {
      if (m_CloseAfterWrite && m_IsAborted &&
          m_Framing == ResponseFraming::ConnectionClose)
        close();
      else if (m_CloseAfterWrite)
        closeGracefully();
      return;
    }
    m_IsWriting = true;
    write();
  }

  void write() {
    const std::string_view Bytes = m_Output.next();
    m_Socket.async_write_some(
        asio::buffer(Bytes.data(), Bytes.size()),
        [this, Self = owner()](const asio::error_code &Error,
                               std::size_t Size) {
          if (m_IsClosed)
            return;
          if (Error)
            handleDisconnect();
          else if (m_Output.onSent(Size))
            onWritten();
          else
            write();
          notifyOutputTaken();
        });
  }

  void notifyOutputTaken() {
    if (!m_OnOutputTaken ||
        m_Output.size() > m_Hooks.m_Memory->maxWaitingOutput())
      return;
    const std::function<void()> OnOutputTaken = std::move(m_OnOutputTaken);
    m_OnOutputTaken = nullptr;
    OnOutputTaken();
  }

  void onWritten() {
    m_IsWriting = false;
    flush();
    if (m_IsClosed)
      return;
    updateHeld();
    // A pipelined request may have waited for the last response to be sent.
    if (m_Output.size() == 0 && !m_IsRequestInProgress && !m_CloseAfterWrite &&
        !m_ReceivedBytes.empty()) {
      parse();
      read();
    }
  }

  bool isIdle(MonotonicTime Now) {
    if (m_IsRequestInProgress || m_Parser.hasReceivedBytes() ||
        m_Output.size() > 0 || m_IsWriting)
      return false;
    // A client connects in order to send a request, which may be on its way.
    if (!m_HasReceivedRequest && Now - m_OpenedAt < m_Hooks.m_FirstRequestTime)
      return false;
    asio::error_code Error;
    return m_Socket.available(Error) == 0;
  }

  void handleDisconnect() {
    const std::function<void()> OnDisconnected = std::move(m_OnDisconnected);
    m_OnDisconnected = nullptr;
    close();
    if (OnDisconnected)
      OnDisconnected();
  }

  /// Shuts down the sending side and waits, up to a time limit, for the client
  /// to close. Closing a socket with unread input would reset the connection,
  /// and the client could lose the response.
  void closeGracefully() {
    if (m_Framing == ResponseFraming::ConnectionClose)
      setResetOnClose(m_Socket, false);
    asio::error_code Ignored; // the peer may already have closed
    m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    constexpr auto MaxLingerTime = std::chrono::milliseconds(500);
    m_IsRequestInProgress = false;
    std::string().swap(m_ReceivedBytes);
    m_Timer.expires_after(MaxLingerTime);
    m_Timer.async_wait([this, Self = owner()](const asio::error_code &Error) {
      if (!Error)
        close();
    });
    discardInput();
  }

  void discardInput() {
    if (m_IsReading || m_IsClosed)
      return;
    m_IsReading = true;
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this, Self = owner()](const asio::error_code &Error, std::size_t) {
          m_IsReading = false;
          if (Error)
            close();
          else
            discardInput();
        });
  }

  void close() {
    if (m_IsClosed)
      return;
    m_IsClosed = true;
    m_OnOutputTaken = nullptr;
    m_Timer.cancel();
    asio::error_code Ignored; // close() always releases the descriptor
    m_Socket.close(Ignored);
    m_Hooks.m_OnClosed(&m_Owner);
  }

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  ConnectionHooks m_Hooks;
  ClientConnection &m_Owner;
  /// What this connection holds in ConnectionHooks::m_Memory.
  MemoryReservation m_Held;
  HttpStreamParser m_Parser;
  ClientLimits m_Limits;
  ClientRequest m_Request;
  std::function<void()> m_OnDisconnected;
  std::function<void()> m_OnOutputTaken;
  std::array<char, ReadBufferBytes> m_Buffer{};
  std::string m_ReceivedBytes;
  /// Unread bytes that the kernel may hold beyond the usual receive buffer.
  std::size_t m_EarlyBytes = 0;
  OutputQueue m_Output;
  MonotonicTime m_ReceivingSince{};
  const MonotonicTime m_OpenedAt = monotonicNow();
  /// End of the last response, or the beginning of the connection.
  MonotonicTime m_IdleSince = m_OpenedAt;
  bool m_HasReceivedRequest = false;
  bool m_IsRequestInProgress = false;
  bool m_HasBodyReceiveBuffer = false;
  bool m_IsReading = false;
  bool m_IsWriting = false;
  bool m_KeepAlive = true;
  bool m_IsHeadRequest = false;
  /// The current or last response ends with its head.
  bool m_IsHeadOnly = false;
  bool m_CloseAfterWrite = false;
  /// Framing of the current or last response.
  ResponseFraming m_Framing = ResponseFraming::Delimited;
  bool m_IsAborted = false;
  bool m_IsClosed = false;
};

ClientConnection::ClientConnection(asio::ip::tcp::socket Socket,
                                   ConnectionHooks Hooks)
    : m_Impl(
          std::make_unique<Impl>(std::move(Socket), std::move(Hooks), *this)) {}

ClientConnection::~ClientConnection() = default;

void ClientConnection::start() {
  asio::error_code Ignored; // TCP_NODELAY only reduces latency
  m_Impl->m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Impl->awaitRequest();
  m_Impl->read();
}

void ClientConnection::setOnDisconnected(std::function<void()> OnDisconnected) {
  m_Impl->m_OnDisconnected = std::move(OnDisconnected);
}

void ClientConnection::respond(int Status, std::string_view Reason,
                               const HttpHeaders &Headers, std::string Body) {
  m_Impl->respond(Status, Reason, Headers, std::move(Body));
}

void ClientConnection::forward(int Status, std::string_view Reason,
                               const HttpHeaders &Headers, ReservedBytes Body,
                               ResponseFraming Framing) {
  m_Impl->forward(Status, Reason, Headers, std::move(Body), Framing);
}

void ClientConnection::beginStream(int Status, std::string_view Reason,
                                   const HttpHeaders &Headers,
                                   ResponseFraming Framing) {
  m_Impl->setFraming(Framing);
  m_Impl->send(concat(m_Impl->formatHead(Status, Reason, Headers),
                      Framing == ResponseFraming::Delimited
                          ? "Transfer-Encoding: chunked\r\n\r\n"
                          : "\r\n"));
}

void ClientConnection::sendChunk(std::string_view Bytes) {
  if (Bytes.empty())
    return;
  if (m_Impl->m_Framing == ResponseFraming::Delimited)
    m_Impl->sendBody(concat(absl::Hex(Bytes.size()), "\r\n", Bytes, "\r\n"));
  else
    m_Impl->sendBody(Bytes);
}

void ClientConnection::endStream() {
  if (m_Impl->m_Framing == ResponseFraming::Delimited)
    m_Impl->sendBody("0\r\n\r\n");
  if (!isClosed())
    m_Impl->finishResponse();
}

void ClientConnection::abort() {
  m_Impl->m_OnDisconnected = nullptr;
  m_Impl->m_KeepAlive = false;
  m_Impl->m_IsAborted = true;
  m_Impl->m_CloseAfterWrite = true;
  m_Impl->flush();
}

void ClientConnection::closeIfIdle() {
  if (m_Impl->isIdle(monotonicNow()))
    m_Impl->close();
}

void ClientConnection::rejectIncompleteRequest() {
  Impl &Self = *m_Impl;
  if (!Self.m_IsClosed && !Self.m_IsRequestInProgress &&
      !Self.m_CloseAfterWrite && Self.m_Parser.hasReceivedBytes())
    Self.reject(503, "Service Unavailable", {{"Retry-After", "0"}});
}

bool ClientConnection::isClosed() const { return m_Impl->m_IsClosed; }

std::string ClientConnection::remoteAddress() const {
  asio::error_code Error;
  const asio::ip::tcp::endpoint Remote =
      m_Impl->m_Socket.remote_endpoint(Error);
  return Error ? std::string() : Remote.address().to_string();
}

std::size_t ClientConnection::waitingOutput() const {
  return m_Impl->m_Output.size();
}

void ClientConnection::onOutputTaken(std::function<void()> OnAccepted) {
  m_Impl->m_OnOutputTaken = std::move(OnAccepted);
}

ConnectionState ClientConnection::sampleState(MonotonicTime Now) {
  using Activity = ConnectionState::Activity;
  Impl &Self = *m_Impl;
  const std::size_t Held = Self.m_Held.bytes() + Self.m_Output.reservedBytes();
  if (Self.m_Output.size() > 0) {
    const MonotonicTime Since =
        Self.m_Output.stalledSince(Self.m_Socket.native_handle(), Now);
    return {Activity::Sending, Held, Since, Self.m_Output.timeToRead(Now)};
  }
  // After its last response, a connection is closed within half a second.
  if (Self.m_IsClosed || Self.m_CloseAfterWrite)
    return {};
  if (Self.isIdle(Now))
    return {Activity::Idle, Held, Self.m_IdleSince};
  if (!Self.m_IsRequestInProgress && Self.m_Parser.hasReceivedBytes())
    return {Activity::Receiving, Held, Self.m_ReceivingSince};
  return {};
}

void ClientConnection::shed() {
  // What is left of the response must not arrive later and look complete.
  if (m_Impl->m_Output.size() > 0)
    setResetOnClose(m_Impl->m_Socket, true);
  m_Impl->handleDisconnect();
}

} // namespace fulmarwinch
