#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

#include <set>
#include <thread>

namespace fulmarwinch {

/// Tests one client request against backend servers that fail in various ways.
class RequestRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestRelayTest);
  CPPUNIT_TEST(requestIsForwardedUnchangedWithoutTheKey);
  CPPUNIT_TEST(unknownKeyAndRouteAreRejected);
  CPPUNIT_TEST(missingConfigurationIsUnavailableNotNotFound);
  CPPUNIT_TEST(nonIdempotentRequestIsNotRetriedAfterALostResponse);
  CPPUNIT_TEST(requestThatWasNotExecutedIsRetried);
  CPPUNIT_TEST(idempotentRequestIsRetriedAfterAReset);
  CPPUNIT_TEST(truncatedResponseIsNotForwarded);
  CPPUNIT_TEST(responseToAnotherRequestIsNotForwarded);
  CPPUNIT_TEST(streamResumesAtTheNextEvent);
  CPPUNIT_TEST(streamThatCannotResumeIsLeftUnterminated);
  CPPUNIT_TEST(responseThatArrivedDuringAPauseIsForwarded);
  CPPUNIT_TEST(deadlineHoldsInAProcessThatIsAlwaysSlow);
  CPPUNIT_TEST(timeoutIsReportedAtTheDeadline);
  CPPUNIT_TEST(clientDisconnectCancelsTheBackendCall);
  CPPUNIT_TEST(retryWaitsForAFreeSlot);
  CPPUNIT_TEST(retriesStopWhenTheBudgetIsExhausted);
  CPPUNIT_TEST(streamMovesOnlyAfterAConfirmedStall);
  CPPUNIT_TEST(retryAfterAllowsForGroupReplacement);
  CPPUNIT_TEST_SUITE_END();

  using ConnectionEnd = ScriptedServer::Response::ConnectionEnd;

  static std::string completeResponse(const std::string &Body, int Status = 200,
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

  static std::string streamEvent(int Id) {
    return "id: " + std::to_string(Id) + "\ndata: x\n\n";
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  static void scriptBothServers(RelayFixture &Fixture,
                                const ScriptedServer::Response &Response) {
    Fixture.m_FirstServer->addResponse(Response);
    Fixture.m_SecondServer->addResponse(Response);
  }

  static std::size_t receivedRequests(const RelayFixture &Fixture) {
    return Fixture.m_FirstServer->requests().size() +
           Fixture.m_SecondServer->requests().size();
  }

  /// Guards against altered paths and bodies, API keys that reach a backend
  /// server, and organisation names forged by the client.
  void requestIsForwardedUnchangedWithoutTheKey() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Idempotent, 1, false);
    scriptBothServers(Fixture,
                      {completeResponse("body"), ConnectionEnd::Close});
    const std::string ClientReceived =
        Fixture.request("X-Any: kept\r\n", "sent");
    CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 200 Fine\r\n"));
    CPPUNIT_ASSERT(contains(ClientReceived, "X-Digest: d\r\n"));
    CPPUNIT_ASSERT(contains(ClientReceived, "\r\n\r\nbody"));
    const std::string ForwardedRequest =
        Fixture.m_FirstServer->requests().empty()
            ? Fixture.m_SecondServer->requests().at(0)
            : Fixture.m_FirstServer->requests().at(0);
    CPPUNIT_ASSERT(contains(ForwardedRequest, "POST /a%2Fb?q=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(contains(ForwardedRequest, "X-Any: kept\r\n"));
    CPPUNIT_ASSERT(contains(ForwardedRequest, "X-Org: org\r\n"));
    CPPUNIT_ASSERT(contains(ForwardedRequest, "\r\n\r\nsent"));
    CPPUNIT_ASSERT(!contains(ForwardedRequest, "X-Key"));
    CPPUNIT_ASSERT(!contains(ForwardedRequest, "forged"));
  }

  void unknownKeyAndRouteAreRejected() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Idempotent, 1, false);
    TrafficConfiguration Changed =
        Fixture.m_Context.m_RouteTable->configuration();
    Changed.m_Organisations[0].m_ApiKeys = {"another"};
    Fixture.m_Context.m_RouteTable = std::make_shared<RouteTable>(Changed);
    CPPUNIT_ASSERT(contains(Fixture.request(), "HTTP/1.1 401 "));
    Changed.m_Routes.clear();
    Fixture.m_Context.m_RouteTable = std::make_shared<RouteTable>(Changed);
    CPPUNIT_ASSERT(contains(Fixture.request(), "HTTP/1.1 404 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, receivedRequests(Fixture));
  }

  /// Guards against a 404 for a route that the node has not read from the
  /// store yet.
  void missingConfigurationIsUnavailableNotNotFound() {
    RelayFixture Fixture;
    const std::string ClientReceived = Fixture.request();
    CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 503 "));
    CPPUNIT_ASSERT(contains(ClientReceived, "Retry-After: "));
  }

  /// Guards against a payout that is executed twice, and against a response
  /// that wrongly claims that the request was not executed.
  void nonIdempotentRequestIsNotRetriedAfterALostResponse() {
    for (const ConnectionEnd Ending :
         {ConnectionEnd::Reset, ConnectionEnd::Close}) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::NonIdempotent, 3, false);
      scriptBothServers(Fixture, {"", Ending});
      const std::string ClientReceived = Fixture.request("", "payout");
      CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 502 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, receivedRequests(Fixture));
    }
  }

  void requestThatWasNotExecutedIsRetried() {
    for (const int Status : {503, 429, 421}) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::NonIdempotent, 1, false);
      const std::string NotRunHeader = Status == 421 ? "" : "X-Not-Run: 1\r\n";
      scriptBothServers(Fixture, {completeResponse("", Status, NotRunHeader),
                                  ConnectionEnd::Close});
      const std::string ClientReceived = Fixture.request("", "payout");
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receivedRequests(Fixture));
      CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 503 "));
    }
  }

  void idempotentRequestIsRetriedAfterAReset() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Idempotent, 2, false);
    scriptBothServers(Fixture,
                      {"HTTP/1.1 200 OK\r\nContent-Le", ConnectionEnd::Reset});
    const std::string ClientReceived = Fixture.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receivedRequests(Fixture));
    CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 502 "));
  }

  /// Guards against a truncated body that the client takes for a complete one.
  void truncatedResponseIsNotForwarded() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Idempotent, 1, false);
    std::string Truncated = completeResponse("whole body");
    Truncated.resize(Truncated.size() - 3);
    scriptBothServers(Fixture, {Truncated, ConnectionEnd::Close});
    CPPUNIT_ASSERT(contains(Fixture.request(), "HTTP/1.1 502 "));
  }

  void responseToAnotherRequestIsNotForwarded() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Idempotent, 1, false);
    scriptBothServers(
        Fixture, {"HTTP/1.1 200 OK\r\nX-Id: 78\r\nContent-Length: 5\r\n\r\n"
                  "other",
                  ConnectionEnd::Close});
    const std::string ClientReceived = Fixture.request();
    CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 502 "));
    CPPUNIT_ASSERT(!contains(ClientReceived, "other"));
  }

  /// Guards against events that are lost, duplicated or truncated when a stream
  /// moves to another server.
  void streamResumesAtTheNextEvent() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Streaming, 2, true);
    const std::string FirstAttempt = streamHead() + chunk(streamEvent(1)) +
                                     chunk(streamEvent(2)) + chunk("id: 3\nda");
    const std::string SecondAttempt = streamHead() + chunk(streamEvent(3)) +
                                      chunk(streamEvent(4)) + "0\r\n\r\n";
    Fixture.m_Fleet.remove("s2", 1000);
    Fixture.m_FirstServer->addResponse({FirstAttempt, ConnectionEnd::Reset});
    Fixture.m_SecondServer->addResponse({SecondAttempt, ConnectionEnd::Close});
    // The second server is added after the request was sent to the first one.
    BackendServer Second;
    Second.m_Id = "s2";
    Second.m_Service = "plain";
    Second.m_Zone = "a";
    Second.m_Slots = 8;
    Second.m_Position = 2000;
    Second.m_Endpoint = {"127.0.0.1", Fixture.m_SecondServerPort};
    asio::steady_timer AddServerTimer(Fixture.m_Loop,
                                      std::chrono::milliseconds(30));
    AddServerTimer.async_wait([&](const asio::error_code &) {
      Fixture.m_Fleet.update(Second, monotonicNow());
    });
    const std::string ClientReceived = Fixture.request();
    for (int Id : {1, 2, 3, 4})
      CPPUNIT_ASSERT(contains(ClientReceived, chunk(streamEvent(Id))));
    CPPUNIT_ASSERT(!contains(ClientReceived, "id: 3\nda\r\n"));
    CPPUNIT_ASSERT(contains(ClientReceived, "0\r\n\r\n"));
    CPPUNIT_ASSERT(contains(Fixture.m_SecondServer->requests().at(0),
                            "Last-Event-Id: 2\r\n"));
  }

  void streamThatCannotResumeIsLeftUnterminated() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Streaming, 2, false);
    scriptBothServers(
        Fixture, {streamHead() + chunk(streamEvent(1)), ConnectionEnd::Reset});
    const std::string ClientReceived = Fixture.request();
    CPPUNIT_ASSERT(contains(ClientReceived, chunk(streamEvent(1))));
    CPPUNIT_ASSERT(!contains(ClientReceived, "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, receivedRequests(Fixture));
  }

  /// Guards against a request that stays open longer than the timeout of its
  /// route.
  void timeoutIsReportedAtTheDeadline() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    const MonotonicTime Start = monotonicNow();
    const std::string ClientReceived = Fixture.request();
    CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 504 "));
    const Duration Elapsed = monotonicNow() - Start;
    CPPUNIT_ASSERT(Elapsed >= std::chrono::milliseconds(690));
    CPPUNIT_ASSERT(Elapsed < std::chrono::milliseconds(1200));
  }

  /// Guards against servers that continue to process requests of clients that
  /// have disconnected.
  void clientDisconnectCancelsTheBackendCall() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Idempotent, 2, false);
    scriptBothServers(Fixture,
                      {"HTTP/1.1 200 OK\r\n", ConnectionEnd::KeepOpen});
    Fixture.requestAndDisconnect(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, receivedRequests(Fixture));
    CPPUNIT_ASSERT_EQUAL(1, Fixture.m_FirstServer->earlyDisconnects() +
                                Fixture.m_SecondServer->earlyDisconnects());
    CPPUNIT_ASSERT(Fixture.m_Context.m_ActiveRequests.empty());
  }

  /// Guards against failing a request at once when its server fails while the
  /// other servers are full.
  void retryWaitsForAFreeSlot() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Idempotent, 2, false);
    scriptBothServers(Fixture, {"", ConnectionEnd::Reset});
    scriptBothServers(Fixture,
                      {completeResponse("second"), ConnectionEnd::Close});
    // Each server, when it receives the request, marks the other one as full
    // for a short time.
    ServerSelector &Selector = Fixture.m_Selector;
    Fixture.m_FirstServer->onRequest(
        [&] { Selector.availability().onNoFreeSlot("s2", monotonicNow()); });
    Fixture.m_SecondServer->onRequest(
        [&] { Selector.availability().onNoFreeSlot("s1", monotonicNow()); });
    Fixture.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receivedRequests(Fixture));
  }

  /// Guards against retries that multiply the load on failing servers.
  void retriesStopWhenTheBudgetIsExhausted() {
    RelayFixture Fixture;
    Fixture.m_Context.m_RetryBudgetSettings = {
        0.0, 2.0, std::chrono::seconds(10), {}};
    Fixture.configure(RequestKind::Idempotent, 2, false);
    for (int I = 0; I < 12; ++I)
      scriptBothServers(Fixture, {"", ConnectionEnd::Reset});
    for (int I = 0; I < 6; ++I)
      Fixture.request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, receivedRequests(Fixture));
  }

  /// During the prefill of long prompts, a batch sends no events for several
  /// steps. Guards against moving streams away from a group that still works,
  /// and against leaving them at a group with a failed member.
  void streamMovesOnlyAfterAConfirmedStall() {
    RelayFixture Fixture;
    Fixture.configureGroups();
    scriptBothServers(Fixture, {streamHead() + chunk(streamEvent(1)),
                                ConnectionEnd::KeepOpen});
    constexpr int ReportsBeforeConfirmation = 10;
    int StallReports = 0;
    std::size_t RequestsBeforeConfirmation = 0;
    Fixture.m_Context.m_OnGroupStalled = [&](const ChosenServer &Server) {
      if (++StallReports != ReportsBeforeConfirmation)
        return;
      RequestsBeforeConfirmation = receivedRequests(Fixture);
      Fixture.m_Selector.availability().onSuspected(Server.m_Id, Server.m_Group,
                                                    monotonicNow());
    };
    Fixture.requestAndDisconnect(std::chrono::milliseconds(400),
                                 "X-Model: m\r\n");
    CPPUNIT_ASSERT(StallReports >= ReportsBeforeConfirmation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RequestsBeforeConfirmation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receivedRequests(Fixture));
  }

  /// When a group has failed, all its clients are rejected with a
  /// Retry-After. Guards against retries that come before the group can be
  /// replaced, all at the same time, or after the clients' deadline.
  void retryAfterAllowsForGroupReplacement() {
    RelayFixture Fixture;
    Fixture.configureGroups();
    // A model of the configuration without a group.
    TrafficConfiguration Configuration =
        Fixture.m_Context.m_RouteTable->configuration();
    std::vector<ModelSpec> &Models =
        Configuration.m_Services.front().m_Engine.m_Models;
    Models.push_back(Models.front());
    Models.back().m_Name = "other";
    Fixture.m_Context.m_RouteTable =
        std::make_shared<RouteTable>(std::move(Configuration));
    std::set<std::string> RetryAfterValues;
    for (int I = 0; I < 5; ++I) {
      const std::string ClientReceived = Fixture.request("X-Model: other\r\n");
      CPPUNIT_ASSERT(contains(ClientReceived, "HTTP/1.1 503 "));
      const std::string FieldStart = "Retry-After: ";
      const std::size_t At = ClientReceived.find(FieldStart);
      CPPUNIT_ASSERT(At != std::string::npos);
      const std::string RetryAfter =
          ClientReceived.substr(At + FieldStart.size(), 8);
      // The timeout of the route is 700 ms, and the request waits 25 ms before
      // it is rejected.
      CPPUNIT_ASSERT(std::stod(RetryAfter) >= 0.14 &&
                     std::stod(RetryAfter) <= 0.234);
      RetryAfterValues.insert(RetryAfter);
    }
    CPPUNIT_ASSERT(RetryAfterValues.size() > 1);
  }

  /// The process stands still until after the deadline, and the response
  /// arrives meanwhile. Guards against a timer that cuts a response which is
  /// there.
  void responseThatArrivedDuringAPauseIsForwarded() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    for (ScriptedServer *Server :
         {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()}) {
      Server->addResponse({"HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n"
                           "Content-Length: 4\r\n\r\nbody"});
      Server->onResponseChosen(
          [] { std::this_thread::sleep_for(std::chrono::milliseconds(900)); });
    }
    CPPUNIT_ASSERT(Fixture.request("", "payout").find("HTTP/1.1 200 ") == 0);
  }

  /// Every tick and every timer comes late. Guards against a request that never
  /// ends because the process counts as having stood still each time.
  void deadlineHoldsInAProcessThatIsAlwaysSlow() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    asio::ip::tcp::socket Client = Fixture.connectClient();
    asio::write(Client, asio::buffer(Fixture.formatRequestBytes("", "payout")));
    for (int I = 0; I < 8; ++I) {
      std::this_thread::sleep_for(std::chrono::milliseconds(240));
      Fixture.m_Loop.restart();
      Fixture.m_Loop.poll();
      const std::vector<std::shared_ptr<RequestRelay>> Active(
          Fixture.m_Context.m_ActiveRequests.begin(),
          Fixture.m_Context.m_ActiveRequests.end());
      for (const auto &Relay : Active)
        Relay->tick(monotonicNow());
    }
    CPPUNIT_ASSERT(Fixture.m_Context.m_ActiveRequests.empty());
    CPPUNIT_ASSERT(Fixture.receiveAll(Client).find("HTTP/1.1 504 ") == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRelayTest);

} // namespace fulmarwinch
