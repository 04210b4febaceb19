#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "tests/support/free_port.h"

#include "asio.hpp"
#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <atomic>
#include <future>
#include <string>
#include <thread>

namespace fulmarwinch {

namespace {

void handleRequest(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Path == "/echo") {
    Exchange->respond({200, {{"X-Method", Request.m_Method}}, Request.m_Body});
    return;
  }
  if (Request.m_Path == "/stream") {
    Exchange->startStream(200, {{"Content-Type", "text/event-stream"}});
    for (int Index = 0; Index < 100; ++Index)
      Exchange->write(fmt::format("{},", Index));
    Exchange->finish();
  }
}

/// Server that answers the first request on a connection and closes the
/// connection without a response when it receives the second one. Counts all
/// requests.
class ClosingServer {
public:
  ClosingServer() : m_AcceptThread([this] { run(); }) {}

  ~ClosingServer() {
    // Opens a connection so that the thread returns from accept() and ends.
    m_IsStopping = true;
    asio::ip::tcp::socket WakeSocket(m_Context);
    asio::error_code Ignored;
    WakeSocket.connect(m_Acceptor.local_endpoint(), Ignored);
    WakeSocket.close(Ignored);
    m_AcceptThread.join();
  }

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  unsigned requestCount() const { return m_RequestCount; }

private:
  void run() {
    while (!m_IsStopping) {
      asio::ip::tcp::socket Socket(m_Context);
      m_Acceptor.accept(Socket);
      if (readRequestHeader(Socket)) {
        asio::write(Socket,
                    asio::buffer(std::string(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
        readRequestHeader(Socket);
      }
    }
  }

  bool readRequestHeader(asio::ip::tcp::socket &Socket) {
    std::string Data;
    asio::error_code Error;
    asio::read_until(Socket, asio::dynamic_buffer(Data), "\r\n\r\n", Error);
    if (Error)
      return false;
    ++m_RequestCount;
    return true;
  }

  asio::io_context m_Context;
  asio::ip::tcp::acceptor m_Acceptor{
      m_Context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::atomic<bool> m_IsStopping{false};
  std::atomic<unsigned> m_RequestCount{0};
  std::thread m_AcceptThread;
};

} // namespace

/// Tests the HTTP server and client over the loopback interface.
class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(echoesLargeBodyUnchanged);
  CPPUNIT_TEST(deliversStreamChunksInOrder);
  CPPUNIT_TEST(sends500IfHandlerDestroysExchange);
  CPPUNIT_TEST(reportsNothingSentIfConnectionIsRefused);
  CPPUNIT_TEST(cancelImmediatelyAfterStartEndsCall);
  CPPUNIT_TEST(neverResendsPostOnClosedConnection);
  CPPUNIT_TEST(nothingFollowsTheHeadOfAResponseToHead);
  CPPUNIT_TEST(tellsAnEndByCloseFromADelimitedOne);
  CPPUNIT_TEST(pausedCallReceivesTheWholeBody);
  CPPUNIT_TEST(streamOfAClientThatDoesNotReadIsNotWritable);
  CPPUNIT_TEST(requestWithoutMemoryIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    HttpServerOptions Options;
    Options.m_Port = m_Port;
    CPPUNIT_ASSERT(m_Server.start(Options, handleRequest).ok());
  }

  void tearDown() override { m_Server.stop(); }

  /// Guards against a large body that is truncated, or not sent because the
  /// client waits for "100 Continue".
  void echoesLargeBodyUnchanged() {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Url = urlOf("/echo");
    Call.m_Body = std::string(3U << 20U, 'x');
    const HttpClient::Response Response = m_Client.fetch(Call);
    CPPUNIT_ASSERT(Response.m_Result.m_Complete);
    CPPUNIT_ASSERT(Response.m_Body == Call.m_Body);
    CPPUNIT_ASSERT(findHeader(Response.m_Headers, "x-method") == "POST");
  }

  /// Guards against chunks that are lost or reordered when threads pass them
  /// on.
  void deliversStreamChunksInOrder() {
    HttpCall Call;
    Call.m_Url = urlOf("/stream");
    std::string Expected;
    for (int Index = 0; Index < 100; ++Index)
      Expected += fmt::format("{},", Index);
    CPPUNIT_ASSERT_EQUAL(Expected, m_Client.fetch(Call).m_Body);
  }

  /// Guards against a client that never receives a response because the
  /// handler destroyed the exchange without answering it.
  void sends500IfHandlerDestroysExchange() {
    HttpCall Call;
    Call.m_Url = urlOf("/dropped");
    CPPUNIT_ASSERT_EQUAL(500, m_Client.fetch(Call).m_Result.m_Status);
  }

  /// Guards against a call that is reported as not sent although the server
  /// may have received it: a caller would repeat it. Only a call of which no
  /// byte was sent may be reported so.
  void reportsNothingSentIfConnectionIsRefused() {
    HttpCall Call;
    Call.m_Url = "http://127.0.0.1:1/";
    CPPUNIT_ASSERT(m_Client.fetch(Call).m_Result.m_NothingSent);
    Call.m_Url = urlOf("/echo");
    CPPUNIT_ASSERT(!m_Client.fetch(Call).m_Result.m_NothingSent);
  }

  /// Guards against a cancellation that is lost because the call was started
  /// immediately before and the worker has not begun it.
  void cancelImmediatelyAfterStartEndsCall() {
    std::promise<HttpCallResult> Done;
    HttpCall Call;
    Call.m_Url = urlOf("/dropped");
    Call.m_OnDone = [&Done](const HttpCallResult &Result) {
      Done.set_value(Result);
    };
    m_Client.cancel(m_Client.start(Call));
    const HttpCallResult Result = Done.get_future().get();
    CPPUNIT_ASSERT(Result.m_Cancelled || Result.m_Complete);
  }

  /// Guards against a body behind the head of a response to HEAD, which runs
  /// into the next response of the connection.
  void nothingFollowsTheHeadOfAResponseToHead() {
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::address_v4::loopback(), m_Port});
    for (const std::string Path : {"/echo", "/unknown"}) {
      asio::write(Socket,
                  asio::buffer("HEAD " + Path +
                               " HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 4\r\n\r\nbody"
                               "GET /echo HTTP/1.1\r\nHost: h\r\n\r\n"));
      std::string Received;
      const std::size_t FirstHead =
          asio::read_until(Socket, asio::dynamic_buffer(Received), "\r\n\r\n");
      const std::string First = Received.substr(0, FirstHead);
      Received.erase(0, FirstHead);
      const std::size_t SecondHead =
          asio::read_until(Socket, asio::dynamic_buffer(Received), "\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Received, Received.find("HTTP/1.1 200 ") == 0);
      CPPUNIT_ASSERT_EQUAL(SecondHead, Received.size());
      // The length that the body of a response to GET would have.
      CPPUNIT_ASSERT_MESSAGE(First, Path != "/echo" ||
                                        First.find("Content-Length: 4\r\n") !=
                                            std::string::npos);
    }
  }

  /// Guards against a POST that libcurl resends when the server closes a reused
  /// connection without a response: a request that crashes a backend server
  /// would crash it a second time.
  void neverResendsPostOnClosedConnection() {
    ClosingServer Server;
    HttpClient Client(1);
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Url = fmt::format("http://127.0.0.1:{}/", Server.port());
    CPPUNIT_ASSERT(Client.fetch(Call).m_Result.m_Complete);
    const HttpCallResult SecondResult = Client.fetch(Call).m_Result;
    CPPUNIT_ASSERT(!SecondResult.m_Complete);
    CPPUNIT_ASSERT(!SecondResult.m_NothingSent);
    CPPUNIT_ASSERT_EQUAL(2U, Server.requestCount());
  }

  /// Guards against bytes that are lost or repeated where a call was paused.
  void pausedCallReceivesTheWholeBody() {
    std::string Body;
    for (int Index = 0; Index < 100000; ++Index)
      Body += fmt::format("{},", Index);
    std::promise<void> Done;
    std::string Received;
    int Asked = 0;
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Url = urlOf("/echo");
    Call.m_Body = Body;
    Call.m_MayRead = [&Asked] { return ++Asked % 3 != 1; };
    Call.m_OnData = [&Received](std::string_view Data) { Received += Data; };
    Call.m_OnDone = [&Done](const HttpCallResult &) { Done.set_value(); };
    m_Client.start(std::move(Call));
    Done.get_future().wait();
    CPPUNIT_ASSERT(Asked > 3);
    CPPUNIT_ASSERT(Received == Body);
  }

  /// Guards against a server that queues a stream without a limit while its
  /// client does not read.
  void streamOfAClientThatDoesNotReadIsNotWritable() {
    constexpr std::size_t Limit = std::size_t{8} << 20U;
    HttpServerOptions Options;
    Options.m_Port = findFreePort();
    Options.m_Memory->setLimits(Limit, Limit / 2);
    HttpServer Server;
    std::promise<std::size_t> Written;
    CPPUNIT_ASSERT(Server
                       .start(Options,
                              [&Written](const HttpExchangePtr &Exchange) {
                                Written.set_value(
                                    writeWhilePossible(*Exchange));
                              })
                       .ok());
    asio::io_context Context;
    asio::ip::tcp::socket Client(Context);
    Client.open(asio::ip::tcp::v4());
    Client.set_option(asio::socket_base::receive_buffer_size(4096));
    Client.connect({asio::ip::address_v4::loopback(), Options.m_Port});
    asio::write(Client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    // The kernel holds what it has been given to send.
    CPPUNIT_ASSERT(Written.get_future().get() < 2 * Limit);
    CPPUNIT_ASSERT(Options.m_Memory->budget()->used() < Limit / 8);
    Server.stop();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Options.m_Memory->budget()->used());
  }

  /// Guards against a request that is accepted although its memory cannot be
  /// held, and against a refusal without Retry-After.
  void requestWithoutMemoryIsRefused() {
    HttpServerOptions Options;
    Options.m_Port = findFreePort();
    Options.m_Memory->setLimits(std::size_t{1} << 20U, std::size_t{1} << 19U);
    MemoryReservation Others(Options.m_Memory->budget());
    Others.set((std::size_t{1} << 20U) - ClientMemory::RequestBytes);
    HttpServer Server;
    CPPUNIT_ASSERT(Server.start(Options, handleRequest).ok());
    HttpCall Call;
    Call.m_Url = fmt::format("http://127.0.0.1:{}/echo", Options.m_Port);
    const HttpClient::Response Refused = m_Client.fetch(Call);
    CPPUNIT_ASSERT_EQUAL(503, Refused.m_Result.m_Status);
    CPPUNIT_ASSERT(findHeader(Refused.m_Headers, "Retry-After").has_value());
    Others.set(0);
    CPPUNIT_ASSERT_EQUAL(200, m_Client.fetch(Call).m_Result.m_Status);
  }

private:
  /// Writes a stream until its client has taken too little for a while; returns
  /// the number of bytes.
  static std::size_t writeWhilePossible(HttpExchange &Exchange) {
    constexpr int MaxAttempts = 100;
    const std::string Chunk(16384, 'x');
    std::size_t Written = 0;
    Exchange.startStream(200, {});
    for (int Attempts = 0; Attempts < MaxAttempts; ++Attempts) {
      if (Exchange.isWritable() && Exchange.write(Chunk)) {
        Written += Chunk.size();
        Attempts = 0;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return Written;
  }

  std::string urlOf(const std::string &Path) const {
    return fmt::format("http://127.0.0.1:{}{}", m_Port, Path);
  }

  const std::uint16_t m_Port = findFreePort();
  HttpServer m_Server;
  HttpClient m_Client;

  /// Guards against the end of a connection that counts as the end of a
  /// response that its server has stated.
  void tellsAnEndByCloseFromADelimitedOne() {
    const auto Call = [](const std::string &Response) {
      asio::io_context Context;
      asio::ip::tcp::acceptor Acceptor(Context,
                                       {asio::ip::address_v4::loopback(), 0});
      std::thread Server([&] {
        asio::ip::tcp::socket Socket = Acceptor.accept();
        std::string Request;
        asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n");
        asio::write(Socket, asio::buffer(Response));
      });
      HttpClient Client;
      std::promise<HttpCallResult> Done;
      HttpCall Get;
      Get.m_Url =
          fmt::format("http://127.0.0.1:{}/", Acceptor.local_endpoint().port());
      Get.m_OnDone = [&](const HttpCallResult &Result) {
        Done.set_value(Result);
      };
      Client.start(std::move(Get));
      const HttpCallResult Result = Done.get_future().get();
      Server.join();
      return Result;
    };
    const std::string Status = "HTTP/1.1 200 OK\r\n";
    for (const char *Rest :
         {"Content-Length: 1\r\n\r\na",
          "transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"}) {
      const HttpCallResult Result = Call(Status + Rest);
      CPPUNIT_ASSERT(Result.m_Complete && !Result.m_EndedByClose);
    }
    for (const char *Rest : {"\r\na", "Connection: close\r\n\r\n"}) {
      const HttpCallResult Result = Call(Status + Rest);
      CPPUNIT_ASSERT(Result.m_Complete && Result.m_EndedByClose);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace fulmarwinch
