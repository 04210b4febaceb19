#include "tests/proxy/relay_world.h"

#include "cppunit/extensions/HelperMacros.h"

#include <set>

namespace fulmarwinch {

/// One request of a client on its way to servers that fail in every way.
class RequestRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestRelayTest);
  CPPUNIT_TEST(requestReachesTheServerUnchanged);
  CPPUNIT_TEST(unknownKeyAndRouteAreRefused);
  CPPUNIT_TEST(noConfigurationIsNotNotFound);
  CPPUNIT_TEST(nonIdempotentRunsOnceWhenItsAnswerIsLost);
  CPPUNIT_TEST(provenNotRunGoesElsewhere);
  CPPUNIT_TEST(idempotentIsRepeatedAfterAReset);
  CPPUNIT_TEST(shortAnswerIsNotPassedOn);
  CPPUNIT_TEST(answerToAnotherRequestIsNotPassedOn);
  CPPUNIT_TEST(streamGoesOnAtTheNextEvent);
  CPPUNIT_TEST(streamThatCannotGoOnDoesNotLookComplete);
  CPPUNIT_TEST(timeoutIsAnsweredAtOnce);
  CPPUNIT_TEST(clientThatLeavesEndsTheServersWork);
  CPPUNIT_TEST(repeatWaitsForAPlace);
  CPPUNIT_TEST(retriesStopWithTheBudget);
  CPPUNIT_TEST(silenceAloneDoesNotMoveAStream);
  CPPUNIT_TEST(refusedCallersComeBackWhenAGroupMayBeThere);
  CPPUNIT_TEST_SUITE_END();

  using Then = ScriptedServer::Answer::Then;

  static std::string whole(const std::string &Body, int Status = 200,
                           const std::string &Extra = "") {
    return "HTTP/1.1 " + std::to_string(Status) +
           " Fine\r\nX-Id: 77\r\nX-Digest: d\r\n" + Extra +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  static std::string streamHead() {
    return "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  static std::string chunk(const std::string &Text) {
    char Size[16];
    std::snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
    return Size + Text + "\r\n";
  }

  static std::string event(int Id) {
    return "id: " + std::to_string(Id) + "\ndata: x\n\n";
  }

  static bool has(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  static void both(RelayWorld &World, const ScriptedServer::Answer &Answer) {
    World.m_First->push(Answer);
    World.m_Second->push(Answer);
  }

  static std::size_t arrivals(const RelayWorld &World) {
    return World.m_First->requests().size() + World.m_Second->requests().size();
  }

  /// Guards against changed paths and bodies, passed-on keys and forged
  /// organisations.
  void requestReachesTheServerUnchanged() {
    RelayWorld World;
    World.configure(RequestKind::Idempotent, 1, false);
    both(World, {whole("body"), Then::Close});
    const std::string Got = World.request("X-Any: kept\r\n", "sent");
    CPPUNIT_ASSERT(has(Got, "HTTP/1.1 200 Fine\r\n"));
    CPPUNIT_ASSERT(has(Got, "X-Digest: d\r\n"));
    CPPUNIT_ASSERT(has(Got, "\r\n\r\nbody"));
    const std::string Seen = World.m_First->requests().empty()
                                 ? World.m_Second->requests().at(0)
                                 : World.m_First->requests().at(0);
    CPPUNIT_ASSERT(has(Seen, "POST /a%2Fb?q=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(has(Seen, "X-Any: kept\r\n"));
    CPPUNIT_ASSERT(has(Seen, "X-Org: org\r\n"));
    CPPUNIT_ASSERT(has(Seen, "\r\n\r\nsent"));
    CPPUNIT_ASSERT(!has(Seen, "X-Key"));
    CPPUNIT_ASSERT(!has(Seen, "forged"));
  }

  void unknownKeyAndRouteAreRefused() {
    RelayWorld World;
    World.configure(RequestKind::Idempotent, 1, false);
    TrafficConfiguration Other = World.m_Context.m_Table->configuration();
    Other.m_Organisations[0].m_Keys = {"another"};
    World.m_Context.m_Table = std::make_shared<RouteTable>(Other);
    CPPUNIT_ASSERT(has(World.request(), "HTTP/1.1 401 "));
    Other.m_Routes.clear();
    World.m_Context.m_Table = std::make_shared<RouteTable>(Other);
    CPPUNIT_ASSERT(has(World.request(), "HTTP/1.1 404 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, arrivals(World));
  }

  /// Guards against a node that denies what it has not learnt yet.
  void noConfigurationIsNotNotFound() {
    RelayWorld World;
    const std::string Got = World.request();
    CPPUNIT_ASSERT(has(Got, "HTTP/1.1 503 "));
    CPPUNIT_ASSERT(has(Got, "Retry-After: "));
  }

  /// Guards against a payout that is recorded twice, and against a "not run"
  /// that is false.
  void nonIdempotentRunsOnceWhenItsAnswerIsLost() {
    for (const Then How : {Then::Reset, Then::Close}) {
      RelayWorld World;
      World.configure(RequestKind::NonIdempotent, 3, false);
      both(World, {"", How});
      const std::string Got = World.request("", "payout");
      CPPUNIT_ASSERT(has(Got, "HTTP/1.1 502 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals(World));
    }
  }

  void provenNotRunGoesElsewhere() {
    for (const int Status : {503, 429, 421}) {
      RelayWorld World;
      World.configure(RequestKind::NonIdempotent, 1, false);
      const std::string Mark = Status == 421 ? "" : "X-Not-Run: 1\r\n";
      both(World, {whole("", Status, Mark), Then::Close});
      const std::string Got = World.request("", "payout");
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals(World));
      CPPUNIT_ASSERT(has(Got, "HTTP/1.1 503 "));
    }
  }

  void idempotentIsRepeatedAfterAReset() {
    RelayWorld World;
    World.configure(RequestKind::Idempotent, 2, false);
    both(World, {"HTTP/1.1 200 OK\r\nContent-Le", Then::Reset});
    const std::string Got = World.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals(World));
    CPPUNIT_ASSERT(has(Got, "HTTP/1.1 502 "));
  }

  /// Guards against a part of a body that looks like the whole.
  void shortAnswerIsNotPassedOn() {
    RelayWorld World;
    World.configure(RequestKind::Idempotent, 1, false);
    std::string Short = whole("whole body");
    Short.resize(Short.size() - 3);
    both(World, {Short, Then::Close});
    CPPUNIT_ASSERT(has(World.request(), "HTTP/1.1 502 "));
  }

  void answerToAnotherRequestIsNotPassedOn() {
    RelayWorld World;
    World.configure(RequestKind::Idempotent, 1, false);
    both(World, {"HTTP/1.1 200 OK\r\nX-Id: 78\r\nContent-Length: 5\r\n\r\n"
                 "other",
                 Then::Close});
    const std::string Got = World.request();
    CPPUNIT_ASSERT(has(Got, "HTTP/1.1 502 "));
    CPPUNIT_ASSERT(!has(Got, "other"));
  }

  /// Guards against events that are lost, repeated or cut where two runs meet.
  void streamGoesOnAtTheNextEvent() {
    RelayWorld World;
    World.configure(RequestKind::Streaming, 2, true);
    const std::string FirstRun =
        streamHead() + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\nda");
    const std::string SecondRun =
        streamHead() + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n";
    World.m_Fleet.remove("s2", 1000);
    World.m_First->push({FirstRun, Then::Reset});
    World.m_Second->push({SecondRun, Then::Close});
    // The second server appears when the first one has been chosen.
    BackendServer Second;
    Second.m_Id = "s2";
    Second.m_Service = "plain";
    Second.m_Zone = "a";
    Second.m_Slots = 8;
    Second.m_Revision = 2000;
    Second.m_Endpoint = {"127.0.0.1", World.m_SecondPort};
    asio::steady_timer Later(World.m_Loop, std::chrono::milliseconds(30));
    Later.async_wait([&](const asio::error_code &) {
      World.m_Fleet.update(Second, monotonicNow());
    });
    const std::string Got = World.request();
    for (int Id : {1, 2, 3, 4})
      CPPUNIT_ASSERT(has(Got, chunk(event(Id))));
    CPPUNIT_ASSERT(!has(Got, "id: 3\nda\r\n"));
    CPPUNIT_ASSERT(has(Got, "0\r\n\r\n"));
    CPPUNIT_ASSERT(
        has(World.m_Second->requests().at(0), "Last-Event-Id: 2\r\n"));
  }

  void streamThatCannotGoOnDoesNotLookComplete() {
    RelayWorld World;
    World.configure(RequestKind::Streaming, 2, false);
    both(World, {streamHead() + chunk(event(1)), Then::Reset});
    const std::string Got = World.request();
    CPPUNIT_ASSERT(has(Got, chunk(event(1))));
    CPPUNIT_ASSERT(!has(Got, "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals(World));
  }

  /// Guards against a request that is held longer than its route allows.
  void timeoutIsAnsweredAtOnce() {
    RelayWorld World;
    World.configure(RequestKind::NonIdempotent, 1, false);
    const MonotonicTime Start = monotonicNow();
    const std::string Got = World.request();
    CPPUNIT_ASSERT(has(Got, "HTTP/1.1 504 "));
    const Duration Took = monotonicNow() - Start;
    CPPUNIT_ASSERT(Took >= std::chrono::milliseconds(690));
    CPPUNIT_ASSERT(Took < std::chrono::milliseconds(1200));
  }

  /// Guards against servers that work for clients who have left.
  void clientThatLeavesEndsTheServersWork() {
    RelayWorld World;
    World.configure(RequestKind::Idempotent, 2, false);
    both(World, {"HTTP/1.1 200 OK\r\n", Then::Hold});
    World.requestAndLeave(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals(World));
    CPPUNIT_ASSERT_EQUAL(1, World.m_First->abandoned() +
                                World.m_Second->abandoned());
    CPPUNIT_ASSERT(World.m_Context.m_Active.empty());
  }

  /// Guards against giving up a request at once because the other servers are
  /// full at the moment at which its own server fails.
  void repeatWaitsForAPlace() {
    RelayWorld World;
    World.configure(RequestKind::Idempotent, 2, false);
    both(World, {"", Then::Reset});
    both(World, {whole("second"), Then::Close});
    // The other server counts as full for a while when the first one fails.
    ServerSelector &Selector = World.m_Selector;
    World.m_First->onRequest([&] { Selector.onFull("s2", monotonicNow()); });
    World.m_Second->onRequest([&] { Selector.onFull("s1", monotonicNow()); });
    World.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals(World));
  }

  /// Guards against repeats that multiply the load of failing servers.
  void retriesStopWithTheBudget() {
    RelayWorld World;
    World.m_Context.m_BudgetSettings = {0.0, 2.0, std::chrono::seconds(10), {}};
    World.configure(RequestKind::Idempotent, 2, false);
    for (int I = 0; I < 12; ++I)
      both(World, {"", Then::Reset});
    for (int I = 0; I < 6; ++I)
      World.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, arrivals(World));
  }

  /// Pattern: a batch is silent for several events' time while long prompts
  /// are read. Guards against streams that move away from a group that works,
  /// and against streams that stay with one whose member was found dead.
  void silenceAloneDoesNotMoveAStream() {
    RelayWorld World;
    World.configureGroups();
    both(World, {streamHead() + chunk(event(1)), Then::Hold});
    constexpr int NoticesBeforeConfirmation = 10;
    int Notices = 0;
    std::size_t ArrivalsBefore = 0;
    World.m_Context.m_OnStalled = [&](const ChosenServer &Server) {
      if (++Notices != NoticesBeforeConfirmation)
        return;
      ArrivalsBefore = arrivals(World);
      World.m_Selector.onSuspected(Server.m_Id, Server.m_Group, monotonicNow());
    };
    World.requestAndLeave(std::chrono::milliseconds(400), "X-Model: m\r\n");
    CPPUNIT_ASSERT(Notices >= NoticesBeforeConfirmation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ArrivalsBefore);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals(World));
  }

  /// Pattern: a group broke and all its callers are refused. Guards against
  /// calling them back before it can be replaced, all in the same moment, or
  /// later than they may wait.
  void refusedCallersComeBackWhenAGroupMayBeThere() {
    RelayWorld World;
    World.configureGroups();
    std::set<std::string> Pauses;
    for (int I = 0; I < 5; ++I) {
      const std::string Got = World.request("X-Model: other\r\n");
      CPPUNIT_ASSERT(has(Got, "HTTP/1.1 503 "));
      const std::string Name = "Retry-After: ";
      const std::size_t At = Got.find(Name);
      CPPUNIT_ASSERT(At != std::string::npos);
      const std::string Pause = Got.substr(At + Name.size(), 8);
      // The route allows 700 ms in all, and 25 ms pass before the refusal.
      CPPUNIT_ASSERT(std::stod(Pause) >= 0.14 && std::stod(Pause) <= 0.234);
      Pauses.insert(Pause);
    }
    CPPUNIT_ASSERT(Pauses.size() > 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRelayTest);

} // namespace fulmarwinch
