#include "proxy/upstream_call.h"

#include "asio.hpp"
#include "cppunit/extensions/HelperMacros.h"

#include <optional>
#include <thread>

namespace fulmarwinch {

using std::chrono::milliseconds;

/// One HTTP exchange: how its end is read, also in a process that stands still.
class UpstreamCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamCallTest);
  CPPUNIT_TEST(responseIsReadBeforeATimerThatIsHardlyLate);
  CPPUNIT_TEST(closeIsToldFromADelimitedEnd);
  CPPUNIT_TEST(resetThatTheWriteSeesEndsTheResponse);
  CPPUNIT_TEST(endBeforeTheResetIsTrue);
  CPPUNIT_TEST_SUITE_END();

  /// A call that has been started, and its accepted connection at the server.
  struct CallToServer {
    CallToServer(const std::string &Request, Duration Timeout)
        : m_Acceptor(m_Loop, {asio::ip::address_v4::loopback(), 0}),
          m_Server(m_Loop) {
      UpstreamCallHandlers Handlers;
      Handlers.m_OnEnd = [this](UpstreamOutcome Outcome) {
        m_Result = Outcome;
      };
      const Endpoint Peer{"127.0.0.1", m_Acceptor.local_endpoint().port()};
      m_Call = std::make_shared<UpstreamCall>(m_Loop, Peer, Request);
      m_Call->start(std::move(Handlers), milliseconds(200), Timeout);
      m_Server = m_Acceptor.accept();
    }

    asio::io_context m_Loop;
    asio::ip::tcp::acceptor m_Acceptor;
    asio::ip::tcp::socket m_Server;
    std::shared_ptr<UpstreamCall> m_Call;
    std::optional<UpstreamOutcome> m_Result;
  };

  /// The process stands still after it has waited for events, until just after
  /// the deadline, and the response arrives meanwhile. Guards against a timer
  /// that cuts a response which is there.
  void responseIsReadBeforeATimerThatIsHardlyLate() {
    CallToServer Call(formatRequest("GET", "/", Endpoint(), {}, ""),
                      milliseconds(300));
    asio::io_context &Loop = Call.m_Loop;
    asio::ip::tcp::socket &Server = Call.m_Server;
    Loop.run_for(milliseconds(50));

    // Both timers are due when the loop runs again, so the response arrives
    // after the loop has looked for events and before the call's timer.
    asio::steady_timer BeforeDeadline(Loop, milliseconds(100));
    BeforeDeadline.async_wait([&](const asio::error_code &) {
      asio::write(Server,
                  asio::buffer(std::string(
                      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")));
    });
    std::this_thread::sleep_for(milliseconds(280));
    Loop.run_for(milliseconds(300));
    CPPUNIT_ASSERT(Call.m_Result.has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string(nameOf(UpstreamOutcomeNames, UpstreamOutcome::Complete)),
        std::string(nameOf(UpstreamOutcomeNames, *Call.m_Result)));
  }

  /// Returns the outcome of a call whose peer sends \p Response and closes.
  static std::string outcomeOf(const std::string &Response) {
    const std::string Request = formatRequest("GET", "/", Endpoint(), {}, "");
    CallToServer Call(Request, milliseconds(5000));
    asio::ip::tcp::socket &Server = Call.m_Server;
    Call.m_Loop.run_for(milliseconds(20));
    // A socket with unread bytes would be reset by its close.
    std::string Received(Request.size(), '\0');
    asio::read(Server, asio::buffer(Received));
    asio::write(Server, asio::buffer(Response));
    Server.close();
    while (!Call.m_Result)
      Call.m_Loop.run_one();
    return std::string(nameOf(UpstreamOutcomeNames, *Call.m_Result));
  }

  /// Guards against the end of a connection that counts as the end that a
  /// server has stated.
  void closeIsToldFromADelimitedEnd() {
    const std::string Status = "HTTP/1.1 200 OK\r\n";
    for (const char *Rest :
         {"Content-Length: 2\r\n\r\nab", "Content-Length: 0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"})
      CPPUNIT_ASSERT_EQUAL(std::string("complete"), outcomeOf(Status + Rest));
    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                         outcomeOf("HTTP/1.1 204 Any\r\n\r\n"));
    for (const char *Rest : {"\r\n", "\r\nab", "Connection: close\r\n\r\nab"})
      CPPUNIT_ASSERT_EQUAL(std::string("closed"), outcomeOf(Status + Rest));
    for (const char *Rest : {"", "X-Any", "Content-Length: 2\r\n\r\na",
                             "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"})
      CPPUNIT_ASSERT_EQUAL(std::string("truncated"), outcomeOf(Status + Rest));
  }

  /// How a server ends the connection of an upload that it has not read.
  enum class UploadEnd { Reset, ResetAfterPause, Close, ShutdownThenReset };

  /// Returns the outcome of a call with a long body, to which the server sends
  /// \p Response before it has read the body.
  static std::string outcomeOfUpload(const std::string &Response,
                                     UploadEnd End) {
    constexpr std::size_t BodyBytes = std::size_t{16} << 20U;
    CallToServer Call(
        formatRequest("POST", "/", Endpoint(), {}, std::string(BodyBytes, 'x')),
        milliseconds(5000));
    asio::ip::tcp::socket &Server = Call.m_Server;
    // Until the buffers of the connection are full.
    Call.m_Loop.run_for(milliseconds(50));
    asio::write(Server, asio::buffer(Response));
    if (End == UploadEnd::ResetAfterPause)
      Call.m_Loop.run_for(milliseconds(30));
    if (End == UploadEnd::ShutdownThenReset) {
      Server.shutdown(asio::ip::tcp::socket::shutdown_send);
      // The end arrives while the process stands still, so the call reads it
      // only after the reset.
      std::this_thread::sleep_for(milliseconds(20));
    }
    if (End != UploadEnd::Close)
      Server.set_option(asio::socket_base::linger(true, 0));
    Server.close();
    while (!Call.m_Result)
      Call.m_Loop.run_one();
    return std::string(nameOf(UpstreamOutcomeNames, *Call.m_Result));
  }

  /// The first call that sees the reset of a connection is a write. Guards
  /// against a part of a response that counts as the whole one since the reads
  /// after it return an end of file.
  void resetThatTheWriteSeesEndsTheResponse() {
    const std::string Status = "HTTP/1.1 200 OK\r\n";
    for (const UploadEnd End :
         {UploadEnd::Reset, UploadEnd::ResetAfterPause, UploadEnd::Close}) {
      CPPUNIT_ASSERT_EQUAL(std::string("reset"),
                           outcomeOfUpload(Status + "\r\nab", End));
      // A response that states its end is whole all the same.
      CPPUNIT_ASSERT_EQUAL(
          std::string("complete"),
          outcomeOfUpload(Status + "Content-Length: 2\r\n\r\nab", End));
    }
  }

  /// Guards against discarding a whole response because the server closes the
  /// connection without reading the rest of the upload.
  void endBeforeTheResetIsTrue() {
    CPPUNIT_ASSERT_EQUAL(std::string("closed"),
                         outcomeOfUpload("HTTP/1.1 200 OK\r\n\r\nab",
                                         UploadEnd::ShutdownThenReset));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamCallTest);

} // namespace fulmarwinch
