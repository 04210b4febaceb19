#include "drivers/standin/engine_host.h"
#include "drivers/standin/token_text.h"
#include "tests/support/free_port.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <future>
#include <thread>

namespace fulmarwinch {

/// The engine stand-in's promises that other tests and the demo rely on.
class EngineStandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineStandinTest);
  CPPUNIT_TEST(refusesOldFence);
  CPPUNIT_TEST(ignoresFenceIfToldSo);
  CPPUNIT_TEST(refusesOtherGenerationAsNotRun);
  CPPUNIT_TEST(refusesAsNotRunWhileDraining);
  CPPUNIT_TEST(coldEngineFallsOver);
  CPPUNIT_TEST(warmEngineBearsItsLoad);
  CPPUNIT_TEST(answersFromResumeOffset);
  CPPUNIT_TEST(streamsNumberedTokens);
  CPPUNIT_TEST(incompleteGroupProducesNothing);
  CPPUNIT_TEST(markedRequestCrashesEngine);
  CPPUNIT_TEST(stalledEngineAnswersLater);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    const Json Defaults = {{"token_ms", 1},        {"load_ms", 0},
                           {"cold_capacity", 2},   {"warm_after", 2},
                           {"restart_ms", 0},      {"member_check_ms", 5},
                           {"crash_mark", "CRASH"}};
    const Json Engines = {{{"vm", "a1"}, {"port", m_Head}},
                          {{"vm", "a2"}, {"port", m_Member}}};
    CPPUNIT_ASSERT(
        m_Host.start({{"defaults", Defaults}, {"engines", Engines}}).ok());
  }

  void tearDown() override { m_Host.stop(); }

  /// Guards against an order of an earlier holder that is obeyed.
  void refusesOldFence() {
    loadGroup(5);
    const HttpClient::Response Old =
        post(m_Head, "/v1/orders", {{"fence", 4}, {"order", "unload"}});
    CPPUNIT_ASSERT_EQUAL(409, Old.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(5, Json::parse(Old.m_Body)["fence"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("ready"),
                         headState()["state"].get<std::string>());
  }

  /// Guards against tests that pass only because every engine checks fencing.
  void ignoresFenceIfToldSo() {
    loadGroup(5);
    CPPUNIT_ASSERT(m_Host.control({{"checks_fence", false}}).ok());
    post(m_Head, "/v1/orders", {{"fence", 4}, {"order", "unload"}});
    CPPUNIT_ASSERT_EQUAL(std::string("empty"),
                         headState()["state"].get<std::string>());
  }

  /// Guards against an answer by a group that is not the one that was meant.
  void refusesOtherGenerationAsNotRun() {
    loadGroup(1);
    for (const char *Wanted : {"2", "g:2", "h:1"})
      CPPUNIT_ASSERT(
          isNotRun(complete("p", 1, {{"X-Group-Generation", Wanted}}), 409));
    for (const char *Wanted : {"1", "g:1"})
      CPPUNIT_ASSERT_EQUAL(
          200,
          complete("p", 1, {{"X-Group-Generation", Wanted}}).m_Result.m_Status);
  }

  /// Guards against new work on a VM that is being drained.
  void refusesAsNotRunWhileDraining() {
    loadGroup(1);
    post(m_Head, "/v1/orders",
         {{"fence", 1}, {"order", "role"}, {"role", "draining"}});
    CPPUNIT_ASSERT(isNotRun(complete("p", 1), 503));
    CPPUNIT_ASSERT(counters("a1")["executions"].empty());
  }

  /// Guards against a cold engine that bears any load, so that admission is
  /// not tested by it.
  void coldEngineFallsOver() {
    loadGroup(1);
    const std::string StartId = headState()["start_id"];
    std::vector<std::future<int>> Statuses;
    for (int Index = 0; Index < 3; ++Index)
      Statuses.push_back(completeLater("p", 1000000));
    for (std::future<int> &Status : Statuses)
      CPPUNIT_ASSERT_EQUAL(500, Status.get());
    CPPUNIT_ASSERT_EQUAL(1, counters("a1")["falls"].get<int>());
    CPPUNIT_ASSERT_EQUAL(3, counters("a1")["cut"].get<int>());
    CPPUNIT_ASSERT(headState()["start_id"] != StartId);
  }

  /// Guards against an engine that never becomes warm.
  void warmEngineBearsItsLoad() {
    loadGroup(1);
    for (int Index = 0; Index < 2; ++Index)
      CPPUNIT_ASSERT_EQUAL(200, complete("p", 1).m_Result.m_Status);
    CPPUNIT_ASSERT(!headState()["cold"].get<bool>());
    std::vector<std::future<int>> Statuses;
    for (int Index = 0; Index < 8; ++Index)
      Statuses.push_back(completeLater("p", 20));
    for (std::future<int> &Status : Statuses)
      CPPUNIT_ASSERT_EQUAL(200, Status.get());
    CPPUNIT_ASSERT(m_Host.control({{"go_cold", true}}).ok());
    CPPUNIT_ASSERT(headState()["cold"].get<bool>());
  }

  /// Guards against tokens that are repeated or missing after a resume.
  void answersFromResumeOffset() {
    loadGroup(1);
    const HttpClient::Response Answer =
        complete("the prompt", 5, {{"X-Resume-Offset", "2"}});
    CPPUNIT_ASSERT_EQUAL(
        expectedText("the prompt", 2, 5),
        Json::parse(Answer.m_Body)["choices"][0]["text"].get<std::string>());
  }

  /// Guards against a stream that a splicer cannot put together.
  void streamsNumberedTokens() {
    loadGroup(1);
    const HttpClient::Response Answer =
        post(m_Head, "/v1/chat/completions",
             {{"messages", {{{"role", "user"}, {"content", "hello"}}}},
              {"max_tokens", 2},
              {"stream", true}},
             {{"X-Request-Id", "r1"}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("text/event-stream"),
        findHeader(Answer.m_Headers, "Content-Type").value_or(""));
    std::size_t Position = 0;
    for (int Index = 0; Index < 2; ++Index)
      for (const std::string &Part :
           {tokenText("hello\n", Index),
            fmt::format("\"fulmarwinch_index\":{},\"id\":\"r1\"", Index)}) {
        Position = Answer.m_Body.find(Part, Position);
        CPPUNIT_ASSERT(Position != std::string::npos);
      }
    CPPUNIT_ASSERT(Answer.m_Body.find("data: [DONE]\n\n", Position) !=
                   std::string::npos);
  }

  /// Guards against service by a group of which a member is missing.
  void incompleteGroupProducesNothing() {
    loadGroup(1);
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a2"}, {"kill", true}}).ok());
    waitForMembers(1);
    std::future<int> Status = completeLater("p", 1);
    waitForCounter("accepted", 1);
    // Many steps of the engine pass during these calls.
    for (int Index = 0; Index < 200; ++Index)
      headState();
    CPPUNIT_ASSERT(counters("a1")["executions"].empty());
    CPPUNIT_ASSERT_EQUAL(0, counters("a1")["answered"].get<int>());
    CPPUNIT_ASSERT_EQUAL(
        1, counters("a1")["accepted_while_incomplete"].get<int>());
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a2"}, {"start", true}}).ok());
    order(m_Member, 1, 1);
    CPPUNIT_ASSERT_EQUAL(200, Status.get());
  }

  /// Guards against a poison request that harms nobody, so that isolation is
  /// not tested by it, and against a crash that looks like an answer.
  void markedRequestCrashesEngine() {
    loadGroup(1);
    const std::string StartId = headState()["start_id"];
    const HttpClient::Response Answer = complete("a CRASH mark", 1);
    CPPUNIT_ASSERT(!Answer.m_Result.m_Complete);
    CPPUNIT_ASSERT(!Answer.m_Result.m_NothingSent);
    while (!counters("a1")["up"].get<bool>())
      std::this_thread::yield();
    CPPUNIT_ASSERT(headState()["start_id"] != StartId);
    CPPUNIT_ASSERT_EQUAL(std::string("empty"),
                         headState()["state"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, counters("a1")["crashes"].get<int>());
  }

  /// Guards against requests that are lost or run while the engine stalls.
  void stalledEngineAnswersLater() {
    loadGroup(1);
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a1"}, {"stall", true}}).ok());
    std::future<int> Status = completeLater("p", 1);
    waitForCounter("held", 1);
    CPPUNIT_ASSERT_EQUAL(0, counters("a1")["accepted"].get<int>());
    CPPUNIT_ASSERT(m_Host.control({{"vm", "a1"}, {"stall", false}}).ok());
    CPPUNIT_ASSERT_EQUAL(200, Status.get());
  }

private:
  static std::string addressOf(std::uint16_t Port) {
    return fmt::format("127.0.0.1:{}", Port);
  }

  static HttpCall newPost(std::uint16_t Port, const std::string &Path,
                          const Json &Body, HttpHeaders Headers = {}) {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Url = fmt::format("http://{}{}", addressOf(Port), Path);
    Call.m_Body = Body.dump();
    Call.m_Headers = std::move(Headers);
    Call.m_FreshConnection = true;
    return Call;
  }

  HttpClient::Response post(std::uint16_t Port, const std::string &Path,
                            const Json &Body, HttpHeaders Headers = {}) {
    return m_Client.fetch(newPost(Port, Path, Body, std::move(Headers)));
  }

  static Json completion(const std::string &Prompt, int Tokens) {
    return {{"prompt", Prompt}, {"max_tokens", Tokens}};
  }

  HttpClient::Response complete(const std::string &Prompt, int Tokens,
                                HttpHeaders Headers = {}) {
    return post(m_Head, "/v1/completions", completion(Prompt, Tokens),
                std::move(Headers));
  }

  std::future<int> completeLater(const std::string &Prompt, int Tokens) {
    const auto Done = std::make_shared<std::promise<int>>();
    HttpCall Call =
        newPost(m_Head, "/v1/completions", completion(Prompt, Tokens));
    Call.m_OnDone = [Done](const HttpCallResult &Result) {
      Done->set_value(Result.m_Status);
    };
    m_Client.start(std::move(Call));
    return Done->get_future();
  }

  static bool isNotRun(const HttpClient::Response &Answer, int Status) {
    return Answer.m_Result.m_Status == Status &&
           findHeader(Answer.m_Headers, "X-Outcome") == "not_run";
  }

  void order(std::uint16_t Port, int Rank, int Fence) {
    const HttpClient::Response Answer =
        post(Port, "/v1/orders",
             {{"fence", Fence},
              {"order", "load"},
              {"group", "g"},
              {"generation", 1},
              {"model", "m"},
              {"version", "1"},
              {"members", {addressOf(m_Head), addressOf(m_Member)}},
              {"rank", Rank}});
    CPPUNIT_ASSERT_EQUAL(200, Answer.m_Result.m_Status);
  }

  void loadGroup(int Fence) {
    order(m_Head, 0, Fence);
    order(m_Member, 1, Fence);
    waitForMembers(2);
  }

  Json counters(const std::string &Vm) {
    return m_Host.status(Vm)["engines"][Vm];
  }

  Json headState() {
    HttpCall Call;
    Call.m_Url = fmt::format("http://{}/v1/state", addressOf(m_Head));
    return Json::parse(m_Client.fetch(Call).m_Body);
  }

  void waitForCounter(const char *Name, int Count) {
    while (counters("a1")[Name] != Count)
      std::this_thread::yield();
  }

  /// Waits until the head has seen as many members; the test's time limit
  /// ends a wait in vain.
  void waitForMembers(int Count) {
    while (headState()["members_seen"] != Count)
      std::this_thread::yield();
  }

  const std::uint16_t m_Head = freePort();
  const std::uint16_t m_Member = freePort();
  EngineHost m_Host;
  HttpClient m_Client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineStandinTest);

} // namespace fulmarwinch
