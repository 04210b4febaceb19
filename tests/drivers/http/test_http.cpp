#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "tests/support/free_port.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <future>
#include <string>

namespace fulmarwinch {

namespace {

void answer(const HttpExchangePtr &Exchange) {
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

} // namespace

/// The HTTP server and client on loopback.
class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(sendsLargeBodyBothWays);
  CPPUNIT_TEST(streamsChunksInOrder);
  CPPUNIT_TEST(unansweredExchangeIsAnError);
  CPPUNIT_TEST(refusedConnectionSentNothing);
  CPPUNIT_TEST(cancelEndsARunningCall);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    HttpServerOptions Options;
    Options.m_Port = m_Port;
    CPPUNIT_ASSERT(m_Server.start(Options, answer).ok());
  }

  void tearDown() override { m_Server.stop(); }

  /// Guards against a body that is cut or held back for "100 Continue".
  void sendsLargeBodyBothWays() {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Url = urlOf("/echo");
    Call.m_Body = std::string(3U << 20U, 'x');
    const HttpClient::Response Response = m_Client.fetch(Call);
    CPPUNIT_ASSERT(Response.m_Result.m_Complete);
    CPPUNIT_ASSERT(Response.m_Body == Call.m_Body);
    CPPUNIT_ASSERT(findHeader(Response.m_Headers, "x-method") == "POST");
  }

  /// Guards against chunks that are lost or reordered between threads.
  void streamsChunksInOrder() {
    HttpCall Call;
    Call.m_Url = urlOf("/stream");
    std::string Expected;
    for (int Index = 0; Index < 100; ++Index)
      Expected += fmt::format("{},", Index);
    CPPUNIT_ASSERT_EQUAL(Expected, m_Client.fetch(Call).m_Body);
  }

  /// Guards against a client that waits for ever because a handler dropped
  /// its exchange.
  void unansweredExchangeIsAnError() {
    HttpCall Call;
    Call.m_Url = urlOf("/dropped");
    CPPUNIT_ASSERT_EQUAL(500, m_Client.fetch(Call).m_Result.m_Status);
  }

  /// Guards against a false "not run": only a call of which no byte was sent
  /// may be reported so.
  void refusedConnectionSentNothing() {
    HttpCall Call;
    Call.m_Url = "http://127.0.0.1:1/";
    CPPUNIT_ASSERT(m_Client.fetch(Call).m_Result.m_NothingSent);
    Call.m_Url = urlOf("/echo");
    CPPUNIT_ASSERT(!m_Client.fetch(Call).m_Result.m_NothingSent);
  }

  /// Guards against a cancellation that is lost when it directly follows the
  /// start of the call.
  void cancelEndsARunningCall() {
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

private:
  std::string urlOf(const std::string &Path) const {
    return fmt::format("http://127.0.0.1:{}{}", m_Port, Path);
  }

  const std::uint16_t m_Port = freePort();
  HttpServer m_Server;
  HttpClient m_Client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace fulmarwinch
