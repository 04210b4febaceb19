#include "drivers/standin/token_text.h"
#include "tests/node/gateway_world.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

/// Requests that go through the gateway to the stand-ins.
class RelaysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelaysTest);
  CPPUNIT_TEST(streamIsResumedAfterAKill);
  CPPUNIT_TEST(wholeResponseSurvivesAKill);
  CPPUNIT_TEST(refusedRequestDidNotRun);
  CPPUNIT_TEST(lostAttemptIsNeverCalledNotRun);
  CPPUNIT_TEST(oversizedResponseIsRefused);
  CPPUNIT_TEST(goneClientGivesItsPlaceBack);
  CPPUNIT_TEST(faultyRequestsAreAnswered);
  CPPUNIT_TEST(requestRateIsLimited);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { start(); }
  void tearDown() override { m_World.reset(); }

  /// Guards against tokens that are lost, repeated or mixed when the group
  /// that streams them dies.
  void streamIsResumedAfterAKill() {
    const RunningCall Call(m_World->m_Caller, m_World->completion(300, true));
    waitFor("some tokens arrive",
            [&] { return readStream(Call.body()).m_Indexes.size() > 5; });
    kill(m_World->waitForBusyEngine());
    const StreamedText Text = readStream(Call.wait().m_Body);
    CPPUNIT_ASSERT(Text.m_IsEnded && !Text.m_HasError);
    CPPUNIT_ASSERT_EQUAL(expectedText(GatewayWorld::Prompt, 0, 300),
                         Text.m_Text);
    for (std::size_t Index = 0; Index < 300; ++Index)
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{Index}, Text.m_Indexes[Index]);
    CPPUNIT_ASSERT_EQUAL(1, m_World->counter("g1", "accepted"));
    CPPUNIT_ASSERT_EQUAL(1, m_World->counter("g2", "accepted"));
  }

  /// Guards against a request without a stream that dies with its group.
  void wholeResponseSurvivesAKill() {
    const RunningCall Call(m_World->m_Caller, m_World->completion(300, false));
    kill(m_World->waitForBusyEngine());
    const HttpClient::Response Response = Call.wait();
    CPPUNIT_ASSERT_EQUAL(200, Response.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(
        expectedText(GatewayWorld::Prompt, 0, 300),
        Json::parse(Response.m_Body)["choices"][0]["text"].get<std::string>());
  }

  /// Guards against an engine that runs a request which is answered "not run".
  void refusedRequestDidNotRun() {
    for (const char *Vm : {"g1", "g2"})
      m_World->offerGroup(Vm, 2);
    const HttpClient::Response Response =
        RunningCall(m_World->m_Caller, m_World->completion(3, true)).wait();
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), outcomeOf(Response));
    for (const char *Vm : {"g1", "g2"})
      CPPUNIT_ASSERT_EQUAL(0, m_World->counter(Vm, "accepted"));
  }

  /// Guards against "not run" for a request of which one attempt ran and the
  /// last one was refused.
  void lostAttemptIsNeverCalledNotRun() {
    const RunningCall Call(m_World->m_Caller,
                           m_World->completion(500000, false));
    const std::string Busy = m_World->waitForBusyEngine();
    waitFor("the request runs", [&] {
      return !m_World->m_Engines.status(Busy)["engines"][Busy]["executions"]
                  .empty();
    });
    m_World->offerGroup(Busy == "g1" ? "g2" : "g1", 2);
    kill(Busy);
    const HttpClient::Response Response = Call.wait();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Response));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, Response.m_Body.find("not run"));
  }

  /// Guards against a response that fills the memory of the node.
  void oversizedResponseIsRefused() {
    const std::string Text(9U << 20U, 'x');
    HttpServer Engine;
    HttpServerOptions Options;
    Options.m_Port = m_World->m_EnginePorts.at("g1");
    kill("g1");
    CPPUNIT_ASSERT(Engine
                       .start(Options,
                              [&Text](const HttpExchangePtr &Exchange) {
                                Exchange->respond(jsonResponse(200, Text));
                              })
                       .ok());
    m_World->m_Path.table().remove("g2");
    const HttpClient::Response Response =
        RunningCall(m_World->m_Caller, m_World->completion(3, false)).wait();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Response));
  }

  /// Guards against engine work and a place in the routing table that stay
  /// taken by a client that is gone, whether it streams or not.
  void goneClientGivesItsPlaceBack() {
    for (const bool IsStream : {true, false}) {
      start();
      RunningCall Call(m_World->m_Caller,
                       m_World->completion(500000, IsStream));
      const std::string Busy = m_World->waitForBusyEngine();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_World->inFlight());
      Call.cancel();
      waitFor("the place is given back", [&] {
        return m_World->inFlight() == 0 && m_World->m_Gateway.inProgress() == 0;
      });
      waitFor("the engine stops",
              [&] { return m_World->counter(Busy, "cancelled") == 1; });
    }
  }

  /// Guards against faulty requests that crash the node or stay unanswered.
  void faultyRequestsAreAnswered() {
    const HttpCall Valid = m_World->completion(1, false);
    HttpCall Large = Valid;
    Large.m_Body = std::string(5000, ' ');
    CPPUNIT_ASSERT_EQUAL(413, statusOf(Large));
    HttpCall Malformed = Valid;
    Malformed.m_Body = "{\"model\":";
    CPPUNIT_ASSERT_EQUAL(400, statusOf(Malformed));
    for (const char *Text : {"0", "-1", "x", "9223372036854775807", "1e3"}) {
      HttpCall Late = Valid;
      Late.m_Headers.push_back({"X-Deadline-Ms", Text});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, 400, statusOf(Late));
    }
    HttpCall Odd = Valid;
    Odd.m_Headers.push_back({"X-Priority", "urgent"});
    CPPUNIT_ASSERT_EQUAL(400, statusOf(Odd));
    HttpCall Nameless = Valid;
    Nameless.m_Headers.clear();
    CPPUNIT_ASSERT_EQUAL(401, statusOf(Nameless));
    CPPUNIT_ASSERT_EQUAL(200, statusOf(Valid));
  }

  /// Guards against a limit of requests per second that has no effect.
  void requestRateIsLimited() {
    HttpCall Call;
    Call.m_Url = m_World->url("/v1/models");
    Call.m_Headers = {{"Authorization", "Bearer limited"}};
    CPPUNIT_ASSERT_EQUAL(200, statusOf(Call));
    const HttpClient::Response Second =
        RunningCall(m_World->m_Caller, Call).wait();
    CPPUNIT_ASSERT_EQUAL(429, Second.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), outcomeOf(Second));
  }

private:
  void start() {
    m_World.reset();
    m_World = std::make_unique<GatewayWorld>();
    m_World->loadGroup("g1");
    m_World->loadGroup("g2");
  }

  void kill(const std::string &Vm) {
    CPPUNIT_ASSERT(
        m_World->m_Engines.control({{"vm", Vm}, {"kill", true}}).ok());
  }

  int statusOf(const HttpCall &Call) {
    return RunningCall(m_World->m_Caller, Call).wait().m_Result.m_Status;
  }

  static std::string outcomeOf(const HttpClient::Response &Response) {
    return Json::parse(Response.m_Body)["error"]["outcome"].get<std::string>();
  }

  std::unique_ptr<GatewayWorld> m_World;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaysTest);

} // namespace fulmarwinch
