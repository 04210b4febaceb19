#include "proxy/upstream_call.h"
#include "core/text.h"
#include "proxy/client_memory.h"
#include "proxy/socket_options.h"

#include "asio.hpp"

#include <algorithm>
#include <netinet/tcp.h>

namespace fulmarwinch {

namespace {

/// Maximum size of the start line and header fields of a response. Backend
/// servers send smaller ones.
constexpr std::size_t MaxResponseHeadBytes = std::size_t{64} * 1024;
/// Maximum size of the body of a buffered call. A page of the store's objects
/// has about 1 MB.
constexpr std::size_t MaxBufferedBodyBytes = std::size_t{8} * 1024 * 1024;
/// Timeout for the connection of a buffered call. TCP repeats a lost request
/// for a connection after one second, and later after longer and longer pauses,
/// so a new call is sooner through after a partition.
constexpr Duration BufferedConnectTimeout = std::chrono::milliseconds(500);
/// Delay of a timer from which the process counts as having stood still.
constexpr Duration LongestTimerDelay = std::chrono::milliseconds(100);
/// Time in which a process that stood still reads what has arrived.
constexpr Duration ReadAfterPauseTime = std::chrono::milliseconds(40);

} // namespace

struct UpstreamCall::Impl : HttpMessageHandler {
  Impl(asio::io_context &Loop, Endpoint Peer, std::string Request,
       std::shared_ptr<const std::string> Body)
      : m_Socket(Loop), m_Timer(Loop), m_Peer(std::move(Peer)),
        m_Request(std::move(Request)), m_Body(std::move(Body)),
        m_Parser(HttpStreamParser::Direction::Responses, MaxResponseHeadBytes,
                 *this) {}

  void onHead(HttpMessageHead Head) override {
    if (m_Handlers.m_OnHead)
      m_Handlers.m_OnHead(std::move(Head));
  }
  void onBody(std::string_view Bytes) override {
    if (!m_HasEnded && m_Handlers.m_OnBody)
      m_Handlers.m_OnBody(Bytes);
  }
  void onMessageEnd() override {}

  void armTimer(const std::shared_ptr<UpstreamCall> &Owner,
                MonotonicTime Expiry) {
    m_Timer.expires_after(std::max(Duration::zero(), Expiry - monotonicNow()));
    m_Timer.async_wait([this, Owner, Expiry](const asio::error_code &Error) {
      if (Error)
        return;
      const MonotonicTime Now = monotonicNow();
      const bool StoodStill =
          Now - Expiry > LongestTimerDelay || hasUnreadBytes();
      if (StoodStill && !m_HasReadAfterPause) {
        // What has arrived meanwhile is read first, but only once: a process
        // that is always slow ends its calls as well.
        m_HasReadAfterPause = true;
        armTimer(Owner, Now + ReadAfterPauseTime);
        return;
      }
      end(m_IsConnected ? UpstreamOutcome::TimedOut
                        : UpstreamOutcome::NotConnected);
    });
  }

  /// The process may have stood still until just after the expiry of a timer,
  /// which is then hardly late.
  bool hasUnreadBytes() const {
    asio::error_code Error;
    return m_IsConnected && m_Socket.available(Error) > 0 && !Error;
  }

  void connect(const std::shared_ptr<UpstreamCall> &Owner,
               Duration ConnectTimeout) {
    asio::error_code Error;
    const asio::ip::address Address =
        asio::ip::make_address(m_Peer.m_Ip, Error);
    if (Error) {
      end(UpstreamOutcome::NotConnected);
      return;
    }
    armTimer(Owner, std::min(m_Deadline, monotonicNow() + ConnectTimeout));
    asio::error_code Ignored; // async_connect() reports it
    m_Socket.open(asio::ip::tcp::v4(), Ignored);
    setReceiveBuffer(m_Socket.native_handle(),
                     ClientMemory::ServerReceiveBuffer);
    m_Socket.async_connect(
        asio::ip::tcp::endpoint(Address, m_Peer.m_Port),
        [this, Owner](const asio::error_code &ConnectError) {
          if (m_HasEnded)
            return;
          if (ConnectError) {
            end(UpstreamOutcome::NotConnected);
            return;
          }
          if (m_Handlers.m_MaySend && !m_Handlers.m_MaySend()) {
            end(UpstreamOutcome::NotSent);
            return;
          }
          m_IsConnected = true;
          armTimer(Owner, m_Deadline);
          asio::error_code Ignored; // TCP_NODELAY only reduces latency
          m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
          write(Owner);
          read(Owner);
        });
  }

  void write(const std::shared_ptr<UpstreamCall> &Owner) {
    m_Sent = true;
    // A server may respond and close the connection before it has read the
    // whole body, so a write error does not end the call.
    const std::array<asio::const_buffer, 2> Parts{
        asio::buffer(m_Request),
        m_Body ? asio::buffer(*m_Body) : asio::const_buffer()};
    asio::async_write(
        m_Socket, Parts,
        [this, Owner](const asio::error_code &Error, std::size_t) {
          m_Body.reset();
          m_WriteError = Error;
        });
  }

  void read(const std::shared_ptr<UpstreamCall> &Owner) {
    m_IsReadDeferred = m_IsPaused;
    if (m_IsPaused)
      return;
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this, Owner](const asio::error_code &Error, std::size_t Size) {
          if (!m_HasEnded)
            onRead(Owner, Error, Size);
        });
  }

  void onRead(const std::shared_ptr<UpstreamCall> &Owner,
              const asio::error_code &Error, std::size_t Size) {
    if (Error) {
      if (Error != asio::error::eof || hasWriteSeenReset()) {
        end(UpstreamOutcome::Reset);
        return;
      }
      m_Parser.finish();
      // A response that is delimited otherwise has ended before.
      end(m_Parser.isComplete() ? UpstreamOutcome::EndedByClose
                                : UpstreamOutcome::Truncated);
      return;
    }
    m_Parser.parse({m_Buffer.data(), Size});
    if (m_HasEnded)
      return;
    if (m_Parser.hasFailed() || m_MustFail)
      end(UpstreamOutcome::Malformed);
    else if (m_Parser.isComplete())
      end(UpstreamOutcome::Complete);
    else
      read(Owner);
  }

  /// The kernel reports a reset to the first call on the socket only. If that
  /// is a write, reads return what had arrived and then an end of file as after
  /// an orderly close. A broken pipe says that the peer had closed its side
  /// before, so that its end of file is true.
  bool hasWriteSeenReset() const {
    return m_WriteError && m_WriteError != asio::error::broken_pipe &&
           m_WriteError != asio::error::operation_aborted;
  }

  void close() {
    m_HasEnded = true;
    m_Timer.cancel();
    asio::error_code Ignored; // the socket may be unconnected
    m_Socket.close(Ignored);
  }

  void end(UpstreamOutcome Outcome) {
    if (m_HasEnded)
      return;
    close();
    const std::function<void(UpstreamOutcome)> Done =
        std::move(m_Handlers.m_OnEnd);
    m_Handlers = UpstreamCallHandlers();
    if (Done)
      Done(Outcome);
  }

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  Endpoint m_Peer;
  std::string m_Request;
  std::shared_ptr<const std::string> m_Body;
  HttpStreamParser m_Parser;
  UpstreamCallHandlers m_Handlers;
  MonotonicTime m_Deadline{};
  std::array<char, ClientMemory::ServerReadBytes> m_Buffer{};
  /// Error of the write of the request; none while it is in progress.
  asio::error_code m_WriteError;
  bool m_IsConnected = false;
  bool m_HasReadAfterPause = false;
  bool m_Sent = false;
  bool m_HasEnded = false;
  bool m_MustFail = false;
  bool m_IsPaused = false;
  /// The next read begins when the call is no longer paused.
  bool m_IsReadDeferred = false;
};

UpstreamCall::UpstreamCall(asio::io_context &Loop, Endpoint Peer,
                           std::string Request,
                           std::shared_ptr<const std::string> Body,
                           bool ExpectsNoBody)
    : m_Impl(std::make_unique<Impl>(Loop, std::move(Peer), std::move(Request),
                                    std::move(Body))) {
  if (ExpectsNoBody)
    m_Impl->m_Parser.expectNoBody();
}

UpstreamCall::~UpstreamCall() = default;

void UpstreamCall::start(UpstreamCallHandlers Handlers, Duration ConnectTimeout,
                         Duration Timeout) {
  m_Impl->m_Handlers = std::move(Handlers);
  m_Impl->m_Deadline = monotonicNow() + Timeout;
  m_Impl->connect(shared_from_this(), ConnectTimeout);
}

void UpstreamCall::cancel() {
  if (m_Impl->m_HasEnded)
    return;
  m_Impl->close();
  // A handler may call cancel(), so the handlers must not be destroyed until it
  // has returned.
  asio::post(m_Impl->m_Socket.get_executor(), [Self = shared_from_this()] {
    Self->m_Impl->m_Handlers = UpstreamCallHandlers();
  });
}

void UpstreamCall::setPaused(bool IsPaused) {
  Impl &Self = *m_Impl;
  Self.m_IsPaused = IsPaused;
  if (Self.m_IsReadDeferred && !IsPaused && !Self.m_HasEnded)
    Self.read(shared_from_this());
}

void UpstreamCall::enlargeReceiveBuffer() {
  setReceiveBuffer(m_Impl->m_Socket.native_handle(),
                   ClientMemory::ReservedReceiveBuffer);
}

bool UpstreamCall::isPaused() const { return m_Impl->m_IsPaused; }

void UpstreamCall::fail() { m_Impl->m_MustFail = true; }

bool UpstreamCall::mayHaveSent() const { return m_Impl->m_Sent; }

std::shared_ptr<UpstreamCall>
startBufferedCall(asio::io_context &Loop, const Endpoint &Peer,
                  std::string Request, Duration Timeout,
                  std::function<void(BufferedResponse)> Done,
                  std::function<bool()> MaySend) {
  auto Call = std::make_shared<UpstreamCall>(Loop, Peer, std::move(Request));
  auto Result = std::make_shared<BufferedResponse>();
  UpstreamCallHandlers Handlers;
  Handlers.m_MaySend = std::move(MaySend);
  Handlers.m_OnHead = [Result](HttpMessageHead Head) {
    Result->m_Status = Head.m_Status;
    Result->m_Headers = std::move(Head.m_Headers);
  };
  const std::weak_ptr<UpstreamCall> Weak = Call;
  Handlers.m_OnBody = [Result, Weak](std::string_view Bytes) {
    if (Result->m_Body.size() + Bytes.size() <= MaxBufferedBodyBytes) {
      Result->m_Body.append(Bytes);
      return;
    }
    Result->m_Body = std::string();
    if (const auto Running = Weak.lock())
      Running->fail();
  };
  Handlers.m_OnEnd = [Result, Weak,
                      Done = std::move(Done)](UpstreamOutcome Outcome) {
    Result->m_Outcome = Outcome;
    if (const auto Ended = Weak.lock())
      Result->m_MayHaveBeenSent = Ended->mayHaveSent();
    Done(std::move(*Result));
  };
  Call->start(std::move(Handlers), std::min(Timeout, BufferedConnectTimeout),
              Timeout);
  return Call;
}

std::string formatRequest(std::string_view Method, std::string_view Target,
                          const Endpoint &Peer, const HttpHeaders &Headers,
                          std::string_view Body) {
  std::string Text =
      concat(Method, " ", Target, " HTTP/1.1\r\nHost: ", Peer.m_Ip, ":",
             Peer.m_Port, "\r\nConnection: close\r\n");
  for (const HttpHeader &Field : Headers)
    append(Text, Field.m_Name, ": ", Field.m_Value, "\r\n");
  if (!Body.empty() || Method != "GET")
    append(Text, "Content-Length: ", Body.size(), "\r\n");
  append(Text, "\r\n", Body);
  return Text;
}

} // namespace fulmarwinch
