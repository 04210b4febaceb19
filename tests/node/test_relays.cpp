#include "drivers/standin/token_text.h"
#include "tests/node/gateway_fixture.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

/// Requests through the gateway to simulated engines.
class RelaysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelaysTest);
  CPPUNIT_TEST(streamResumesAfterEngineCrash);
  CPPUNIT_TEST(unstreamedRequestIsRetriedAfterEngineCrash);
  CPPUNIT_TEST(refusedRequestIsReportedAsNotRun);
  CPPUNIT_TEST(requestWithLostAttemptIsNotReportedAsNotRun);
  CPPUNIT_TEST(oversizedResponseIsRefused);
  CPPUNIT_TEST(disconnectedClientReleasesCapacity);
  CPPUNIT_TEST(invalidRequestsAreAnswered);
  CPPUNIT_TEST(requestRateIsLimited);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { startFixture(); }
  void tearDown() override { m_Fixture.reset(); }

  /// Guards against tokens that are lost, repeated or mixed up when the engine
  /// that streams them crashes.
  void streamResumesAfterEngineCrash() {
    const BackgroundCall Call(m_Fixture->m_TestClient,
                              m_Fixture->completion(300, true));
    waitFor("some tokens arrive", [&] {
      return parseStreamedCompletion(Call.body()).m_Indexes.size() > 5;
    });
    crashEngine(m_Fixture->waitForAcceptingEngine());
    const StreamedCompletion Text = parseStreamedCompletion(Call.wait().m_Body);
    CPPUNIT_ASSERT(Text.m_IsEnded && !Text.m_HasError);
    CPPUNIT_ASSERT_EQUAL(expectedText(GatewayFixture::Prompt, 0, 300),
                         Text.m_Text);
    for (std::size_t Index = 0; Index < 300; ++Index)
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{Index}, Text.m_Indexes[Index]);
    CPPUNIT_ASSERT_EQUAL(1, m_Fixture->counter("g1", "accepted"));
    CPPUNIT_ASSERT_EQUAL(1, m_Fixture->counter("g2", "accepted"));
  }

  /// Guards against a request without streaming that fails when its engine
  /// crashes.
  void unstreamedRequestIsRetriedAfterEngineCrash() {
    const BackgroundCall Call(m_Fixture->m_TestClient,
                              m_Fixture->completion(300, false));
    crashEngine(m_Fixture->waitForAcceptingEngine());
    const HttpClient::Response Response = Call.wait();
    CPPUNIT_ASSERT_EQUAL(200, Response.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(
        expectedText(GatewayFixture::Prompt, 0, 300),
        Json::parse(Response.m_Body)["choices"][0]["text"].get<std::string>());
  }

  /// Guards against an engine that runs a request although the client is told
  /// that it was not run.
  void refusedRequestIsReportedAsNotRun() {
    for (const char *Vm : {"g1", "g2"})
      m_Fixture->addToRoutingTable(Vm, 2);
    const HttpClient::Response Response =
        BackgroundCall(m_Fixture->m_TestClient, m_Fixture->completion(3, true))
            .wait();
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), outcomeOf(Response));
    for (const char *Vm : {"g1", "g2"})
      CPPUNIT_ASSERT_EQUAL(0, m_Fixture->counter(Vm, "accepted"));
  }

  /// Guards against the outcome "not run" for a request of which one attempt
  /// ran and the last one was refused.
  void requestWithLostAttemptIsNotReportedAsNotRun() {
    const BackgroundCall Call(m_Fixture->m_TestClient,
                              m_Fixture->completion(500000, false));
    const std::string AcceptingEngine = m_Fixture->waitForAcceptingEngine();
    waitFor("the request runs", [&] {
      return !m_Fixture->m_Engines
                  .status(
                      AcceptingEngine)["engines"][AcceptingEngine]["executions"]
                  .empty();
    });
    m_Fixture->addToRoutingTable(AcceptingEngine == "g1" ? "g2" : "g1", 2);
    crashEngine(AcceptingEngine);
    const HttpClient::Response Response = Call.wait();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Response));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, Response.m_Body.find("not run"));
  }

  /// Guards against a response so large that it exhausts the memory of the
  /// node.
  void oversizedResponseIsRefused() {
    const std::string Text(9U << 20U, 'x');
    HttpServer Engine;
    HttpServerOptions Options;
    Options.m_Port = m_Fixture->m_EnginePorts.at("g1");
    crashEngine("g1");
    CPPUNIT_ASSERT(Engine
                       .start(Options,
                              [&Text](const HttpExchangePtr &Exchange) {
                                Exchange->respond(jsonResponse(200, Text));
                              })
                       .ok());
    m_Fixture->m_DataPath.routingTable().removeGroup("g2");
    const HttpClient::Response Response =
        BackgroundCall(m_Fixture->m_TestClient, m_Fixture->completion(3, false))
            .wait();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Response));
  }

  /// Guards against engine work and in-flight counts that remain after a client
  /// has disconnected, with and without streaming.
  void disconnectedClientReleasesCapacity() {
    for (const bool IsStream : {true, false}) {
      startFixture();
      BackgroundCall Call(m_Fixture->m_TestClient,
                          m_Fixture->completion(500000, IsStream));
      const std::string AcceptingEngine = m_Fixture->waitForAcceptingEngine();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Fixture->inFlightCount());
      Call.cancel();
      waitFor("the capacity is released", [&] {
        return m_Fixture->inFlightCount() == 0 &&
               m_Fixture->m_Gateway.inProgressCount() == 0;
      });
      waitFor("the engine stops", [&] {
        return m_Fixture->counter(AcceptingEngine, "cancelled") == 1;
      });
    }
  }

  /// Guards against invalid requests that crash the node or are never answered.
  void invalidRequestsAreAnswered() {
    const HttpCall Valid = m_Fixture->completion(1, false);
    HttpCall Large = Valid;
    Large.m_Body = std::string(5000, ' ');
    CPPUNIT_ASSERT_EQUAL(413, statusOf(Large));
    HttpCall Malformed = Valid;
    Malformed.m_Body = "{\"model\":";
    CPPUNIT_ASSERT_EQUAL(400, statusOf(Malformed));
    for (const char *Text : {"0", "-1", "x", "9223372036854775807", "1e3"}) {
      HttpCall InvalidDeadline = Valid;
      InvalidDeadline.m_Headers.push_back({"X-Deadline-Ms", Text});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, 400, statusOf(InvalidDeadline));
    }
    HttpCall InvalidPriority = Valid;
    InvalidPriority.m_Headers.push_back({"X-Priority", "urgent"});
    CPPUNIT_ASSERT_EQUAL(400, statusOf(InvalidPriority));
    HttpCall Unauthenticated = Valid;
    Unauthenticated.m_Headers.clear();
    CPPUNIT_ASSERT_EQUAL(401, statusOf(Unauthenticated));
    CPPUNIT_ASSERT_EQUAL(200, statusOf(Valid));
  }

  /// Guards against a limit of requests per second that has no effect.
  void requestRateIsLimited() {
    HttpCall Call;
    Call.m_Url = m_Fixture->url("/v1/models");
    Call.m_Headers = {{"Authorization", "Bearer limited"}};
    CPPUNIT_ASSERT_EQUAL(200, statusOf(Call));
    const HttpClient::Response Second =
        BackgroundCall(m_Fixture->m_TestClient, Call).wait();
    CPPUNIT_ASSERT_EQUAL(429, Second.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), outcomeOf(Second));
  }

private:
  void startFixture() {
    m_Fixture.reset();
    m_Fixture = std::make_unique<GatewayFixture>();
    m_Fixture->loadGroup("g1");
    m_Fixture->loadGroup("g2");
  }

  void crashEngine(const std::string &Vm) {
    CPPUNIT_ASSERT(
        m_Fixture->m_Engines.control({{"vm", Vm}, {"kill", true}}).ok());
  }

  int statusOf(const HttpCall &Call) {
    return BackgroundCall(m_Fixture->m_TestClient, Call)
        .wait()
        .m_Result.m_Status;
  }

  static std::string outcomeOf(const HttpClient::Response &Response) {
    return Json::parse(Response.m_Body)["error"]["outcome"].get<std::string>();
  }

  std::unique_ptr<GatewayFixture> m_Fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaysTest);

} // namespace fulmarwinch
