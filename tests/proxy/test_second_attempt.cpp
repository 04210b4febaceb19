#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using Response = ScriptedServer::Response;
using ConnectionEnd = Response::ConnectionEnd;

/// Requests whose first server is slow, on a node that sends second attempts
/// after the latency objective of 60 ms. Clients wait for 700 ms. The events of
/// a test are more than 100 ms apart, so that they keep their order on a busy
/// machine.
class SecondAttemptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SecondAttemptTest);
  CPPUNIT_TEST(secondServerAnswersForASlowOne);
  CPPUNIT_TEST(firstAnswerCancelsTheSecondAttempt);
  CPPUNIT_TEST(streamComesFromOneServer);
  CPPUNIT_TEST(failureOfTheSecondAttemptChangesNothing);
  CPPUNIT_TEST(secondAttemptGoesOnAfterAFailureOfTheFirst);
  CPPUNIT_TEST(noThirdServerIsReachedIfBothFail);
  CPPUNIT_TEST(rejectionIsNotPassedOnWhileTheOtherServerMayRunTheRequest);
  CPPUNIT_TEST(bothAttemptsEndWithTheRequest);
  CPPUNIT_TEST(secondAttemptCountsAsACrash);
  CPPUNIT_TEST(requestsThatMustNotBeRepeatedAreNot);
  CPPUNIT_TEST(conditionsOfTheNodeForbidSecondAttempts);
  CPPUNIT_TEST(slowFleetSoonGetsNoSecondAttempts);
  CPPUNIT_TEST(overloadThatBeginsStopsFurtherSecondAttempts);
  CPPUNIT_TEST_SUITE_END();

  /// Request path with scripted responses by order of arrival at the servers.
  struct Scenario : RelayFixture {
    explicit Scenario(RequestKind Kind = RequestKind::Idempotent,
                      double MaxShare = 0.2, unsigned MaxAttempts = 2) {
      configure(Kind, MaxAttempts, true);
      TrafficConfiguration Configuration =
          m_Context.m_RouteTable->configuration();
      Configuration.m_Routes.front().m_FirstByteObjective = milliseconds(60);
      m_Context.m_RouteTable =
          std::make_shared<RouteTable>(std::move(Configuration));
      SecondAttemptSettings Settings;
      Settings.m_MaxShare = MaxShare;
      m_Context.m_SecondAttempts = SecondAttemptPolicy(Settings);
      for (int I = 0; I < 100; ++I)
        m_Context.m_SecondAttempts.onRequest("plain", monotonicNow());
      // A third server, whose requests the second one receives as well.
      BackendServer Third = *m_Fleet.find("s2");
      Third.m_Id = "s3";
      Third.m_Position = 100;
      m_Fleet.update(Third, monotonicNow());
      for (ScriptedServer *Server : {m_FirstServer.get(), m_SecondServer.get()})
        Server->onRequest([this, Server] { onArrival(*Server); });
    }

    void onArrival(ScriptedServer &Server) {
      const std::size_t Index = m_Arrivals++;
      m_Requests.push_back(Server.requests().back());
      Server.replaceResponses({});
      Server.addResponse(Index < m_Script.size() ? m_Script[Index] : silence());
      if (m_OnArrival)
        m_OnArrival(Index);
    }

    int disconnects() const {
      return m_FirstServer->earlyDisconnects() +
             m_SecondServer->earlyDisconnects();
    }

    std::uint64_t ended(const std::string &Result) const {
      return m_Metrics.counter("second_attempts_ended_total{result=\"" +
                               Result + "\"}");
    }

    std::uint64_t withheld(const std::string &Reason) const {
      return m_Metrics.counter("second_attempts_withheld_total{reason=\"" +
                               Reason + "\"}");
    }

    /// Asserts that nothing of the request is left at a server.
    void assertReleased() const {
      CPPUNIT_ASSERT(m_Selector.ownInFlightByServer().empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                           m_Context.m_Memory->budget()->used());
      for (const char *Id : {"s1", "s2", "s3"})
        CPPUNIT_ASSERT(!m_Context.m_PoisonDetector.hasSuspects(
            CrashDetector::processName(Id, 0)));
    }

    std::vector<Response> m_Script;
    std::vector<std::string> m_Requests;
    std::size_t m_Arrivals = 0;
    std::function<void(std::size_t)> m_OnArrival;
  };

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  static Response silence() { return {"", ConnectionEnd::KeepOpen}; }

  static Response answer(const std::string &Body, int Status = 200,
                         const std::string &Extra = "") {
    return {"HTTP/1.1 " + std::to_string(Status) +
                " Any\r\nX-Id: 77\r\nX-Digest: d\r\n" + Extra +
                "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
                Body,
            ConnectionEnd::Close};
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

  static Response stream(const std::string &Name) {
    return {streamHead() + chunk("id: 1\ndata: " + Name + "1\n\n") +
                chunk("id: 2\ndata: " + Name + "2\n\n") + "0\r\n\r\n",
            ConnectionEnd::Close};
  }

  /// \p Bytes, sent \p Delay after the request has arrived.
  static Response delayed(const Response &Late, Duration Delay) {
    return {"", ConnectionEnd::KeepOpen, Late.m_Bytes, Delay};
  }

  static int statedTimeLeft(const std::string &Request) {
    const std::string Field = "X-Left: ";
    return std::stoi(Request.substr(Request.find(Field) + Field.size()));
  }

  /// Guards against a slow server that makes its requests late although others
  /// are free, and against a loser that goes on to work.
  void secondServerAnswersForASlowOne() {
    for (const RequestKind Kind :
         {RequestKind::Idempotent, RequestKind::Streaming}) {
      Scenario Path(Kind);
      const bool IsStream = Kind == RequestKind::Streaming;
      Path.m_Script = {silence(), IsStream ? stream("b") : answer("second")};
      const std::string Received = Path.request("", "question");
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 200 "));
      CPPUNIT_ASSERT(Path.isLastResponseComplete());
      CPPUNIT_ASSERT(contains(Received, IsStream ? "b2" : "second"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL(1, Path.disconnects());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.ended("won"));
      Path.assertReleased();
      // The second server is told the time that is left, and gets it all.
      CPPUNIT_ASSERT(contains(Path.m_Requests[1], "\r\n\r\nquestion"));
      CPPUNIT_ASSERT(statedTimeLeft(Path.m_Requests[1]) <=
                     statedTimeLeft(Path.m_Requests[0]) - 60);
    }
  }

  void firstAnswerCancelsTheSecondAttempt() {
    for (const RequestKind Kind :
         {RequestKind::Idempotent, RequestKind::Streaming}) {
      Scenario Path(Kind);
      const bool IsStream = Kind == RequestKind::Streaming;
      Path.m_Script = {
          delayed(IsStream ? stream("a") : answer("first"), milliseconds(350)),
          silence()};
      const std::string Received = Path.request();
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 200 "));
      CPPUNIT_ASSERT(Path.isLastResponseComplete());
      CPPUNIT_ASSERT(contains(Received, IsStream ? "a2" : "first"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.ended("cancelled"));
      CPPUNIT_ASSERT_EQUAL(2, Path.disconnects());
      Path.assertReleased();
    }
  }

  /// Both servers have begun a stream. Guards against a mixture of two streams,
  /// and against a stream that a part of an event decides.
  void streamComesFromOneServer() {
    Scenario Path(RequestKind::Streaming);
    Path.m_Script = {
        {streamHead() + chunk("id: 1\ndata: a"), ConnectionEnd::KeepOpen},
        {streamHead() + chunk("id: 1\nda") + chunk("ta: b1\n\n"),
         ConnectionEnd::KeepOpen, chunk("id: 2\ndata: b2\n\n") + "0\r\n\r\n",
         milliseconds(100)}};
    const std::string Received = Path.request();
    CPPUNIT_ASSERT_MESSAGE(
        Received, contains(Received, chunk("id: 1\ndata: b1\n\n") +
                                         chunk("id: 2\ndata: b2\n\n")));
    CPPUNIT_ASSERT(!contains(Received, "data: a"));
    CPPUNIT_ASSERT(Path.isLastResponseComplete());
    Path.assertReleased();
  }

  /// Guards against a first attempt that is given up for a second one that
  /// gives no response.
  void failureOfTheSecondAttemptChangesNothing() {
    const std::string Foreign = "HTTP/1.1 200 OK\r\nX-Id: 78\r\n"
                                "X-Digest: d\r\nContent-Length: 1\r\n\r\nx";
    const std::string NoDigest =
        "HTTP/1.1 200 OK\r\nX-Id: 77\r\nContent-Length: 1\r\n\r\nx";
    const std::vector<std::pair<Response, std::string>> Failures{
        {answer("", 503, "X-Not-Run: 1\r\n"), "refused"},
        {answer("", 421), "refused"},
        {answer("", 429), "failed"},
        {answer("error", 500), "failed"},
        {{"", ConnectionEnd::Reset}, "failed"},
        {{"HTTP/1.1 200 OK\r\nContent-Le", ConnectionEnd::Close}, "failed"},
        {{Foreign, ConnectionEnd::KeepOpen}, "failed"},
        {{NoDigest, ConnectionEnd::KeepOpen}, "failed"}};
    for (const auto &[Failure, Result] : Failures) {
      Scenario Path;
      Path.m_Script = {delayed(answer("first"), milliseconds(400)), Failure};
      const std::string Received = Path.request();
      CPPUNIT_ASSERT_MESSAGE(Failure.m_Bytes + Received,
                             contains(Received, "HTTP/1.1 200 ") &&
                                 contains(Received, "first"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Failure.m_Bytes, std::uint64_t{1},
                                   Path.ended(Result));
      CPPUNIT_ASSERT(Path.m_Selector.ownInFlightByServer().empty());
    }
    // A stream that does not go on with what the client has.
    Scenario Path(RequestKind::Streaming);
    const auto Events = [](int First) {
      return Response{
          streamHead() +
              chunk("id: " + std::to_string(First) + "\ndata: x\n\n") +
              "0\r\n\r\n",
          ConnectionEnd::KeepOpen};
    };
    Path.m_Script = {delayed(Events(5), milliseconds(400)), Events(9)};
    const std::string Received = Path.request("Last-Event-Id: 4\r\n");
    CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "id: 5\n"));
    CPPUNIT_ASSERT(Path.isLastResponseComplete());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.ended("failed"));
  }

  /// Guards against a request that fails although its second attempt runs.
  void secondAttemptGoesOnAfterAFailureOfTheFirst() {
    for (const Response &Failure :
         {answer("error", 500), answer("", 503, "X-Not-Run: 1\r\n"),
          Response{"no HTTP\r\n\r\n"}}) {
      Scenario Path;
      Path.m_Script = {delayed(Failure, milliseconds(250)),
                       delayed(answer("second"), milliseconds(400))};
      const std::string Received = Path.request();
      CPPUNIT_ASSERT_MESSAGE(Failure.m_Bytes + Received,
                             contains(Received, "HTTP/1.1 200 ") &&
                                 contains(Received, "second"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.ended("continued"));
      Path.assertReleased();
    }
    // The second server has already sent the head and a part of an event.
    Scenario Path(RequestKind::Streaming);
    Path.m_Script = {delayed({"no HTTP\r\n\r\n"}, milliseconds(250)),
                     {streamHead() + chunk("id: 1\nda"),
                      ConnectionEnd::KeepOpen,
                      chunk("ta: b1\n\n") + "0\r\n\r\n", milliseconds(400)}};
    const std::string Received = Path.request();
    CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "id: 1\ndata: b1\n\n"));
    CPPUNIT_ASSERT(Path.isLastResponseComplete());
    Path.assertReleased();
  }

  /// Guards against a request that reaches a third server, and against an
  /// answer that claims that the request has not run.
  void noThirdServerIsReachedIfBothFail() {
    const Response Garbage{"no HTTP\r\n\r\n"};
    for (const auto &[First, Second] :
         {std::pair(milliseconds(250), milliseconds(400)),
          std::pair(milliseconds(400), milliseconds(100))}) {
      Scenario Path;
      Path.m_Script = {delayed(Garbage, First), delayed(Garbage, Second),
                       answer("third")};
      const std::string Received = Path.request();
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 502 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      Path.assertReleased();
    }
  }

  /// A client takes each of the statuses as a promise that the request will not
  /// run.
  void rejectionIsNotPassedOnWhileTheOtherServerMayRunTheRequest() {
    for (const int Status : {408, 429, 503}) {
      const Response Refusal = answer("", Status);
      Scenario Path;
      Path.m_Script = {delayed(Refusal, milliseconds(250)),
                       delayed(answer("second"), milliseconds(400))};
      CPPUNIT_ASSERT(contains(Path.request(), "second"));
      Scenario BothReject;
      BothReject.m_Script = {delayed(Refusal, milliseconds(250)),
                             delayed(Refusal, milliseconds(400))};
      const std::string Received = BothReject.request();
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 502 "));
    }
  }

  /// Guards against servers that work for a client that has left, or beyond the
  /// deadline or the exit of the process.
  void bothAttemptsEndWithTheRequest() {
    {
      Scenario Path;
      Path.requestAndDisconnect(milliseconds(350));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL(2, Path.disconnects());
      Path.assertReleased();
    }
    {
      Scenario Path;
      CPPUNIT_ASSERT(contains(Path.request(), "HTTP/1.1 504 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL(2, Path.disconnects());
      Path.assertReleased();
    }
    {
      Scenario Path;
      // Responses are due some 100 ms after the second attempt has arrived.
      Path.m_OnArrival = [&Path](std::size_t Index) {
        if (Index == 1)
          Path.m_Context.m_PlannedStop.begin(
              monotonicNow() - milliseconds(1300), milliseconds(2000));
      };
      const MonotonicTime Start = monotonicNow();
      CPPUNIT_ASSERT(contains(Path.request(), "HTTP/1.1 504 "));
      CPPUNIT_ASSERT(monotonicNow() - Start < milliseconds(650));
      CPPUNIT_ASSERT_EQUAL(2, Path.disconnects());
      Path.assertReleased();
    }
  }

  /// Guards against a prompt that ends the second server and is not held
  /// responsible for it, and against second attempts that spread such a prompt.
  void secondAttemptCountsAsACrash() {
    Scenario Path;
    Path.m_Context.m_OnConnectionLost = [&Path](const ChosenServer &Server) {
      Path.m_Context.m_CrashDetector.onServerEntryChanged(Server.m_Id, 1);
    };
    Path.m_Script = {silence(), {"", ConnectionEnd::Reset}};
    int Suspected = 0;
    Path.m_OnArrival = [&](std::size_t Index) {
      for (const char *Id : {"s1", "s2", "s3"})
        Suspected += Index == 1 && Path.m_Context.m_PoisonDetector.hasSuspects(
                                       CrashDetector::processName(Id, 0))
                         ? 1
                         : 0;
    };
    CPPUNIT_ASSERT(contains(Path.request(), "HTTP/1.1 504 "));
    CPPUNIT_ASSERT_EQUAL(2, Suspected);
    const auto Records =
        Path.m_Context.m_PoisonDetector.records(monotonicNow());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Records.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Records[0].m_CrashedServers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
    Path.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Path.m_Arrivals);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.withheld("suspected_content"));
  }

  void requestsThatMustNotBeRepeatedAreNot() {
    {
      Scenario Path(RequestKind::NonIdempotent);
      CPPUNIT_ASSERT(contains(Path.request("", "payout"), "HTTP/1.1 504 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.m_Arrivals);
    }
    {
      Scenario Path(RequestKind::Streaming);
      Path.configure(RequestKind::Streaming, 2, false);
      Path.request();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.m_Arrivals);
    }
    {
      Scenario Path(RequestKind::Idempotent, 0.2, 1);
      Path.request();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.withheld("max_attempts"));
    }
    {
      // The client has received an event.
      Scenario Path(RequestKind::Streaming);
      Path.m_Script = {{streamHead() + chunk("id: 1\ndata: a\n\n"),
                        ConnectionEnd::KeepOpen}};
      Path.request();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.m_Arrivals);
    }
    {
      // The server has begun to respond.
      Scenario Path;
      Path.m_Script = {{"HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n"
                        "Content-Length: 9\r\n\r\npart",
                        ConnectionEnd::KeepOpen}};
      Path.request();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.m_Arrivals);
    }
  }

  void conditionsOfTheNodeForbidSecondAttempts() {
    const std::vector<std::pair<std::string, std::function<void(Scenario &)>>>
        Conditions{
            {"no_retry_budget",
             [](Scenario &Path) {
               Path.m_Context.m_RetryBudgetSettings.m_FixedRetriesPerWindow =
                   2.0;
             }},
            {"stopping",
             [](Scenario &Path) {
               Path.m_Context.m_PlannedStop.begin(monotonicNow(),
                                                  milliseconds(8000));
             }},
            {"no_resources",
             [](Scenario &Path) {
               Path.m_Context.m_HasSpareDescriptor = [] { return false; };
             }},
            {"no_free_server",
             [](Scenario &Path) {
               for (const char *Id : {"s1", "s2", "s3"})
                 for (int I = 0; I < 6; ++I)
                   Path.m_Selector.onDispatched(Id, monotonicNow());
             }},
            {"share_used", [](Scenario &Path) {
               for (int I = 0; I < 20; ++I)
                 Path.m_Context.m_SecondAttempts.onSecondAttempt(
                     "plain", monotonicNow());
             }}};
    for (const auto &[Reason, Prepare] : Conditions) {
      Scenario Path;
      Prepare(Path);
      Path.request();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Reason, std::size_t{1}, Path.m_Arrivals);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Reason, std::uint64_t{1},
                                   Path.withheld(Reason));
    }
    // A share of 0 turns second attempts off.
    Scenario Path(RequestKind::Idempotent, 0.0);
    Path.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.m_Arrivals);
    CPPUNIT_ASSERT(
        !contains(Path.m_Metrics.prometheusText(), "second_attempts"));
  }

  /// No server answers within the objective. Guards against second attempts
  /// that double the load of a fleet that is slow because of its load.
  void slowFleetSoonGetsNoSecondAttempts() {
    Scenario Path;
    Path.m_Script.assign(40, delayed(answer("late"), milliseconds(400)));
    constexpr std::size_t Requests = 10;
    for (std::size_t I = 0; I < Requests; ++I)
      CPPUNIT_ASSERT(contains(Path.request("", std::to_string(I)), " 200 "));
    CPPUNIT_ASSERT(Path.withheld("slow_fleet") >= 4);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Path.m_Arrivals),
                           Path.m_Arrivals <= Requests + 6);
    Path.assertReleased();
  }

  /// Guards against a request that loses both attempts to an overload, and
  /// against second attempts that add to it.
  void overloadThatBeginsStopsFurtherSecondAttempts() {
    Scenario Path;
    Path.m_Fleet.remove("s3", 200);
    Path.configureGroups();
    Path.m_Script = {silence(), delayed(stream("b"), milliseconds(100)),
                     delayed(stream("c"), milliseconds(300))};
    Path.m_OnArrival = [&Path](std::size_t Index) {
      if (Index == 1)
        Path.m_Context.m_AdmissionShares["m"] = AdmissionShares();
    };
    std::string Received = Path.request("X-Model: m\r\n");
    CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "b2"));
    CPPUNIT_ASSERT(Path.isLastResponseComplete());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
    Received = Path.request("X-Model: m\r\n");
    CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "c2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Path.m_Arrivals);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.withheld("overloaded"));
    Path.assertReleased();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondAttemptTest);

} // namespace fulmarwinch
