#include "proxy/backend_call.h"
#include "core/text.h"

#include "asio.hpp"

#include <netinet/tcp.h>

namespace fulmarwinch {

namespace {

/// Head of a response; larger ones are not the servers' own.
constexpr std::size_t MaxResponseHeadBytes = std::size_t{64} * 1024;
constexpr std::size_t ReadBufferBytes = std::size_t{16} * 1024;

} // namespace

struct BackendCall::Impl : HttpSink {
  Impl(asio::io_context &Loop, Endpoint Peer, std::string Request)
      : m_Socket(Loop), m_Timer(Loop), m_Peer(std::move(Peer)),
        m_Request(std::move(Request)),
        m_Parser(HttpStreamParser::Direction::Responses, MaxResponseHeadBytes,
                 *this) {}

  void onHead(HttpHead Head) override {
    if (m_Handlers.m_OnHead)
      m_Handlers.m_OnHead(std::move(Head));
  }
  void onBody(std::string_view Bytes) override {
    if (!m_Ended && m_Handlers.m_OnBody)
      m_Handlers.m_OnBody(Bytes);
  }
  void onMessageEnd() override {}

  void armTimer(const std::shared_ptr<BackendCall> &Owner,
                MonotonicTime Until) {
    m_Timer.expires_after(std::max(Duration::zero(), Until - monotonicNow()));
    m_Timer.async_wait([this, Owner](const asio::error_code &Error) {
      if (!Error)
        end(m_Connected ? CallEnd::TimedOut : CallEnd::NotConnected);
    });
  }

  void connect(const std::shared_ptr<BackendCall> &Owner,
               Duration ConnectTimeout) {
    asio::error_code Error;
    const asio::ip::address Address =
        asio::ip::make_address(m_Peer.m_Ip, Error);
    if (Error) {
      end(CallEnd::NotConnected);
      return;
    }
    armTimer(Owner, std::min(m_Until, monotonicNow() + ConnectTimeout));
    m_Socket.async_connect(
        asio::ip::tcp::endpoint(Address, m_Peer.m_Port),
        [this, Owner](const asio::error_code &Failure) {
          if (m_Ended)
            return;
          if (Failure) {
            end(CallEnd::NotConnected);
            return;
          }
          m_Connected = true;
          armTimer(Owner, m_Until);
          asio::error_code Ignored; // a socket without the option still works
          m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
          write(Owner);
          read(Owner);
        });
  }

  void write(const std::shared_ptr<BackendCall> &Owner) {
    m_Sent = true;
    // A server may answer and close before it has read the whole body, so a
    // failed write decides nothing; the read does.
    asio::async_write(m_Socket, asio::buffer(m_Request),
                      [Owner](const asio::error_code &, std::size_t) {});
  }

  void read(const std::shared_ptr<BackendCall> &Owner) {
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this, Owner](const asio::error_code &Error, std::size_t Size) {
          if (!m_Ended)
            onRead(Owner, Error, Size);
        });
  }

  void onRead(const std::shared_ptr<BackendCall> &Owner,
              const asio::error_code &Error, std::size_t Size) {
    if (Error) {
      if (Error != asio::error::eof) {
        end(CallEnd::Reset);
        return;
      }
      m_Parser.finish();
      end(m_Parser.isComplete() ? CallEnd::Complete : CallEnd::Truncated);
      return;
    }
    m_Parser.feed({m_Buffer.data(), Size});
    if (m_Ended)
      return;
    if (m_Parser.hasFailed())
      end(CallEnd::Garbled);
    else if (m_Parser.isComplete())
      end(CallEnd::Complete);
    else
      read(Owner);
  }

  void close() {
    m_Ended = true;
    m_Timer.cancel();
    asio::error_code Ignored; // closing an unconnected socket is no fault
    m_Socket.close(Ignored);
  }

  void end(CallEnd How) {
    if (m_Ended)
      return;
    close();
    const std::function<void(CallEnd)> Done = std::move(m_Handlers.m_OnEnd);
    m_Handlers = CallHandlers();
    if (Done)
      Done(How);
  }

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  Endpoint m_Peer;
  std::string m_Request;
  HttpStreamParser m_Parser;
  CallHandlers m_Handlers;
  MonotonicTime m_Until{};
  std::array<char, ReadBufferBytes> m_Buffer{};
  bool m_Connected = false;
  bool m_Sent = false;
  bool m_Ended = false;
};

BackendCall::BackendCall(asio::io_context &Loop, Endpoint Peer,
                         std::string Request, bool NoBody)
    : m_Impl(
          std::make_unique<Impl>(Loop, std::move(Peer), std::move(Request))) {
  if (NoBody)
    m_Impl->m_Parser.expectNoBody();
}

BackendCall::~BackendCall() = default;

void BackendCall::start(CallHandlers Handlers, Duration ConnectTimeout,
                        Duration Timeout) {
  m_Impl->m_Handlers = std::move(Handlers);
  m_Impl->m_Until = monotonicNow() + Timeout;
  m_Impl->connect(shared_from_this(), ConnectTimeout);
}

void BackendCall::cancel() {
  if (m_Impl->m_Ended)
    return;
  m_Impl->close();
  // The caller may be one of the handlers.
  asio::post(m_Impl->m_Socket.get_executor(), [Self = shared_from_this()] {
    Self->m_Impl->m_Handlers = CallHandlers();
  });
}

bool BackendCall::hasSent() const { return m_Impl->m_Sent; }

std::shared_ptr<BackendCall>
startSmallCall(asio::io_context &Loop, const Endpoint &Peer,
               std::string Request, Duration Timeout,
               std::function<void(SmallResponse)> Done) {
  auto Call = std::make_shared<BackendCall>(Loop, Peer, std::move(Request));
  auto Result = std::make_shared<SmallResponse>();
  CallHandlers Handlers;
  Handlers.m_OnHead = [Result](HttpHead Head) {
    Result->m_Status = Head.m_Status;
    Result->m_Headers = std::move(Head.m_Headers);
  };
  Handlers.m_OnBody = [Result](std::string_view Bytes) {
    Result->m_Body.append(Bytes);
  };
  const std::weak_ptr<BackendCall> Weak = Call;
  Handlers.m_OnEnd = [Result, Weak, Done = std::move(Done)](CallEnd How) {
    Result->m_End = How;
    if (const auto Ended = Weak.lock())
      Result->m_Sent = Ended->hasSent();
    Done(std::move(*Result));
  };
  Call->start(std::move(Handlers), Timeout, Timeout);
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
