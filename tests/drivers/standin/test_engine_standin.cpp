#include "drivers/standin/engine_standin_host.h"
#include "drivers/standin/token_text.h"
#include "tests/support/free_port.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <future>
#include <thread>

namespace fulmarwinch {

/// Tests the behaviour of the engine stand-in on which other tests and the demo
/// rely.
class EngineStandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineStandinTest);
  CPPUNIT_TEST(refusesOrderWithOutdatedFence);
  CPPUNIT_TEST(ignoresFenceIfCheckIsDisabled);
  CPPUNIT_TEST(refusesOtherGenerationWithoutExecution);
  CPPUNIT_TEST(refusesRequestsWhileDraining);
  CPPUNIT_TEST(coldEngineCrashesAboveItsCapacity);
  CPPUNIT_TEST(warmEngineServesFullLoad);
  CPPUNIT_TEST(resumesResponseAtOffset);
  CPPUNIT_TEST(streamsTokensWithIndexes);
  CPPUNIT_TEST(incompleteGroupExecutesNothing);
  CPPUNIT_TEST(requestWithCrashMarkCrashesEngine);
  CPPUNIT_TEST(stalledEngineAnswersAfterStall);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    const Json Defaults = {{"token_ms", 1},        {"load_ms", 0},
                           {"cold_capacity", 2},   {"warm_after", 2},
                           {"restart_ms", 0},      {"member_check_ms", 5},
                           {"crash_mark", "CRASH"}};
    const Json Engines = {{{"vm", "a1"}, {"port", m_HeadPort}},
                          {{"vm", "a2"}, {"port", m_MemberPort}}};
    CPPUNIT_ASSERT(
        m_Host.start({{"defaults", Defaults}, {"engines", Engines}}).ok());
  }

  void tearDown() override { m_Host.stop(); }

  /// Guards against an engine that executes an order of an earlier lease
  /// holder, whose fencing token is outdated.
  void refusesOrderWithOutdatedFence() {
    loadGroup(5);
    const HttpClient::Response Refused =
        post(m_HeadPort, "/v1/orders", {{"fence", 4}, {"order", "unload"}});
    CPPUNIT_ASSERT_EQUAL(409, Refused.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(5, Json::parse(Refused.m_Body)["fence"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("ready"),
                         headState()["state"].get<std::string>());
  }

  /// Guards against a stand-in that cannot be switched to ignore fencing
  /// tokens: other tests then could pass only because every engine checks them.
  void ignoresFenceIfCheckIsDisabled() {
    loadGroup(5);
    CPPUNIT_ASSERT(m_Host.control({{"checks_fence", false}}).ok());
    post(m_HeadPort, "/v1/orders", {{"fence", 4}, {"order", "unload"}});
    CPPUNIT_ASSERT_EQUAL(std::string("empty"),
                         headState()["state"].get<std::string>());
  }

  /// Guards against a group that executes a request addressed to another group
  /// or generation.
  void refusesOtherGenerationWithoutExecution() {
    loadGroup(1);
    for (const char *RequestedGeneration : {"2", "g:2", "h:1"})
      CPPUNIT_ASSERT(isRefusedAsNotRun(
          complete("p", 1, {{"X-Group-Generation", RequestedGeneration}}),
          409));
    for (const char *RequestedGeneration : {"1", "g:1"})
      CPPUNIT_ASSERT_EQUAL(
          200, complete("p", 1, {{"X-Group-Generation", RequestedGeneration}})
                   .m_Result.m_Status);
  }

  /// Guards against an engine that admits new requests while it drains.
  void refusesRequestsWhileDraining() {
    loadGroup(1);
    post(m_HeadPort, "/v1/orders",
         {{"fence", 1}, {"order", "role"}, {"role", "draining"}});
    CPPUNIT_ASSERT(isRefusedAsNotRun(complete("p", 1), 503));
    CPPUNIT_ASSERT(counters("a1")["executions"].empty());
  }

  /// Guards against a stand-in that survives any load while cold, so that tests
  /// of the admission to cold engines would always pass.
  void coldEngineCrashesAboveItsCapacity() {
    loadGroup(1);
    const std::string StartId = headState()["start_id"];
    std::vector<std::future<int>> ResponseStatuses;
    for (int Index = 0; Index < 3; ++Index)
      ResponseStatuses.push_back(startCompletion("p", 1000000));
    for (std::future<int> &Status : ResponseStatuses)
      CPPUNIT_ASSERT_EQUAL(500, Status.get());
    CPPUNIT_ASSERT_EQUAL(1, counters("a1")["falls"].get<int>());
    CPPUNIT_ASSERT_EQUAL(3, counters("a1")["cut"].get<int>());
    CPPUNIT_ASSERT(headState()["start_id"] != StartId);
  }

  /// Guards against an engine that stays cold, or crashes under load once warm.
  void warmEngineServesFullLoad() {
    loadGroup(1);
    for (int Index = 0; Index < 2; ++Index)
      CPPUNIT_ASSERT_EQUAL(200, complete("p", 1).m_Result.m_Status);
    CPPUNIT_ASSERT(!headState()["cold"].get<bool>());
    std::vector<std::future<int>> ResponseStatuses;
    for (int Index = 0; Index < 8; ++Index)
      ResponseStatuses.push_back(startCompletion("p", 20));
    for (std::future<int> &Status : ResponseStatuses)
      CPPUNIT_ASSERT_EQUAL(200, Status.get());
    CPPUNIT_ASSERT(m_Host.control({{"go_cold", true}}).ok());
    CPPUNIT_ASSERT(headState()["cold"].get<bool>());
  }

  /// Guards against tokens that are repeated or missing in a response resumed
  /// at an offset.
  void resumesResponseAtOffset() {
    loadGroup(1);
    const HttpClient::Response Response =
        complete("the prompt", 5, {{"X-Resume-Offset", "2"}});
    CPPUNIT_ASSERT_EQUAL(
        expectedText("the prompt", 2, 5),
        Json::parse(Response.m_Body)["choices"][0]["text"].get<std::string>());
  }

  /// Guards against a stream without token indexes, which a gateway could not
  /// continue on another engine.
  void streamsTokensWithIndexes() {
    loadGroup(1);
    const HttpClient::Response Response =
        post(m_HeadPort, "/v1/chat/completions",
             {{"messages", {{{"role", "user"}, {"content", "hello"}}}},
              {"max_tokens", 2},
              {"stream", true}},
             {{"X-Request-Id", "r1"}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("text/event-stream"),
        findHeader(Response.m_Headers, "Content-Type").value_or(""));
    std::size_t Position = 0;
    for (int Index = 0; Index < 2; ++Index)
      for (const std::string &ExpectedPart :
           {tokenText("hello\n", Index),
            fmt::format("\"fulmarwinch_index\":{},\"id\":\"r1\"", Index)}) {
        Position = Response.m_Body.find(ExpectedPart, Position);
        CPPUNIT_ASSERT(Position != std::string::npos);
      }
    CPPUNIT_ASSERT(Response.m_Body.find("data: [DONE]\n\n", Position) !=
                   std::string::npos);
  }

  /// Guards against a group that executes requests while one of its members is
  /// down.
  void incompleteGroupExecutesNothing() {
    loadGroup(1);
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a2"}, {"kill", true}}).ok());
    waitForReadyMembers(1);
    std::future<int> Status = startCompletion("p", 1);
    waitForCounter("accepted", 1);
    // While these calls run, the engine makes many batch steps, in any of which
    // it could wrongly execute the request.
    for (int Index = 0; Index < 200; ++Index)
      headState();
    CPPUNIT_ASSERT(counters("a1")["executions"].empty());
    CPPUNIT_ASSERT_EQUAL(0, counters("a1")["answered"].get<int>());
    CPPUNIT_ASSERT_EQUAL(
        1, counters("a1")["accepted_while_incomplete"].get<int>());
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a2"}, {"start", true}}).ok());
    orderLoad(m_MemberPort, 1, 1);
    CPPUNIT_ASSERT_EQUAL(200, Status.get());
  }

  /// Guards against a marked request that does not crash the engine, so that
  /// tests of isolating such requests would always pass, and against a crash
  /// that the client sees as a complete response.
  void requestWithCrashMarkCrashesEngine() {
    loadGroup(1);
    const std::string StartId = headState()["start_id"];
    const HttpClient::Response Response = complete("a CRASH mark", 1);
    CPPUNIT_ASSERT(!Response.m_Result.m_Complete);
    CPPUNIT_ASSERT(!Response.m_Result.m_NothingSent);
    while (!counters("a1")["up"].get<bool>())
      std::this_thread::yield();
    CPPUNIT_ASSERT(headState()["start_id"] != StartId);
    CPPUNIT_ASSERT_EQUAL(std::string("empty"),
                         headState()["state"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, counters("a1")["crashes"].get<int>());
  }

  /// Guards against requests that are lost or executed while the engine is
  /// stalled.
  void stalledEngineAnswersAfterStall() {
    loadGroup(1);
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a1"}, {"stall", true}}).ok());
    std::future<int> Status = startCompletion("p", 1);
    waitForCounter("held", 1);
    CPPUNIT_ASSERT_EQUAL(0, counters("a1")["accepted"].get<int>());
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a1"}, {"stall", false}}).ok());
    CPPUNIT_ASSERT_EQUAL(200, Status.get());
  }

private:
  static std::string addressOf(std::uint16_t Port) {
    return fmt::format("127.0.0.1:{}", Port);
  }

  static HttpCall makePost(std::uint16_t Port, const std::string &Path,
                           const Json &Body, HttpHeaders Headers = {}) {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Url = fmt::format("http://{}{}", addressOf(Port), Path);
    Call.m_Body = Body.dump();
    Call.m_Headers = std::move(Headers);
    Call.m_UseNewConnection = true;
    return Call;
  }

  HttpClient::Response post(std::uint16_t Port, const std::string &Path,
                            const Json &Body, HttpHeaders Headers = {}) {
    return m_Client.fetch(makePost(Port, Path, Body, std::move(Headers)));
  }

  static Json completionBody(const std::string &Prompt, int Tokens) {
    return {{"prompt", Prompt}, {"max_tokens", Tokens}};
  }

  HttpClient::Response complete(const std::string &Prompt, int Tokens,
                                HttpHeaders Headers = {}) {
    return post(m_HeadPort, "/v1/completions", completionBody(Prompt, Tokens),
                std::move(Headers));
  }

  std::future<int> startCompletion(const std::string &Prompt, int Tokens) {
    const auto StatusPromise = std::make_shared<std::promise<int>>();
    HttpCall Call =
        makePost(m_HeadPort, "/v1/completions", completionBody(Prompt, Tokens));
    Call.m_OnDone = [StatusPromise](const HttpCallResult &Result) {
      StatusPromise->set_value(Result.m_Status);
    };
    m_Client.start(std::move(Call));
    return StatusPromise->get_future();
  }

  static bool isRefusedAsNotRun(const HttpClient::Response &Response,
                                int Status) {
    return Response.m_Result.m_Status == Status &&
           findHeader(Response.m_Headers, "X-Outcome") == "not_run";
  }

  void orderLoad(std::uint16_t Port, int Rank, int Fence) {
    const HttpClient::Response Response =
        post(Port, "/v1/orders",
             {{"fence", Fence},
              {"order", "load"},
              {"group", "g"},
              {"generation", 1},
              {"model", "m"},
              {"version", "1"},
              {"members", {addressOf(m_HeadPort), addressOf(m_MemberPort)}},
              {"rank", Rank}});
    CPPUNIT_ASSERT_EQUAL(200, Response.m_Result.m_Status);
  }

  void loadGroup(int Fence) {
    orderLoad(m_HeadPort, 0, Fence);
    orderLoad(m_MemberPort, 1, Fence);
    waitForReadyMembers(2);
  }

  Json counters(const std::string &Vm) {
    return m_Host.status(Vm)["engines"][Vm];
  }

  Json headState() {
    HttpCall Call;
    Call.m_Url = fmt::format("http://{}/v1/state", addressOf(m_HeadPort));
    return Json::parse(m_Client.fetch(Call).m_Body);
  }

  void waitForCounter(const char *Name, int Count) {
    while (counters("a1")[Name] != Count)
      std::this_thread::yield();
  }

  /// Waits until the head reports \p Count ready members. There is no timeout
  /// here; the time limit of the test ends a wait that never succeeds.
  void waitForReadyMembers(int Count) {
    while (headState()["members_seen"] != Count)
      std::this_thread::yield();
  }

  const std::uint16_t m_HeadPort = findFreePort();
  const std::uint16_t m_MemberPort = findFreePort();
  EngineStandinHost m_Host;
  HttpClient m_Client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineStandinTest);

} // namespace fulmarwinch
