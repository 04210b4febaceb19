#include "proxy/admission_control.h"
#include "proxy/peer_exchange.h"
#include "tests/proxy/relay_fixture.h"
#include "tests/support/free_port.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Requests of organisations and routes that differ in priority.
class RequestPriorityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPriorityTest);
  CPPUNIT_TEST(serversReceiveThePriority);
  CPPUNIT_TEST(equalPrioritiesAreNotSent);
  CPPUNIT_TEST(resumedStreamKeepsItsPriorityIfMoreUrgent);
  CPPUNIT_TEST(urgentRequestGetsTheFreeSlot);
  CPPUNIT_TEST(rejectedRequestReachesNoServer);
  CPPUNIT_TEST(completedWorkIsMeasured);
  CPPUNIT_TEST(overloadIsSeenAndEnds);
  CPPUNIT_TEST(peersReceiveTheWork);
  CPPUNIT_TEST_SUITE_END();

  static void configure(RelayFixture &Fixture, RequestKind Kind,
                        int OrganisationPriority) {
    Fixture.configure(Kind, 2, Kind == RequestKind::Streaming);
    TrafficConfiguration Changed =
        Fixture.m_Context.m_RouteTable->configuration();
    Changed.m_Routes.front().m_Priority = 4;
    Changed.m_Routes.front().m_FirstByteObjective = std::chrono::seconds(4);
    Changed.m_Routes.front().m_Timeout = std::chrono::seconds(4);
    Changed.m_Organisations = {{"org", {"key"}, OrganisationPriority},
                               {"other", {"other-key"}, -1}};
    Fixture.m_Context.m_RouteTable = std::make_shared<RouteTable>(Changed);
  }

  static std::string receivedRequests(const RelayFixture &Fixture) {
    std::string Text;
    for (const ScriptedServer *Server :
         {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()})
      for (const std::string &Request : Server->requests())
        Text += Request;
    return Text;
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  /// Guards against servers that queue all requests alike, and against clients
  /// that state their own priority.
  void serversReceiveThePriority() {
    for (const int Priority : {0, 2, 100}) {
      RelayFixture Fixture;
      configure(Fixture, RequestKind::Idempotent, Priority);
      addResponses(Fixture, 1, shortResponse(200, ""), shortResponse(200, ""));
      Fixture.request("X-Urgency: 7\r\n");
      const std::string Received = receivedRequests(Fixture);
      CPPUNIT_ASSERT_MESSAGE(
          Received,
          contains(Received,
                   "X-Urgency: " + std::to_string(std::min(Priority, 9)) +
                       "\r\n"));
      CPPUNIT_ASSERT(!contains(Received, "X-Urgency: 7"));
    }
  }

  /// Guards against a change for deployments without priorities.
  void equalPrioritiesAreNotSent() {
    for (const int Priority : {-1, 4}) {
      RelayFixture Fixture;
      configure(Fixture, RequestKind::Idempotent, Priority);
      addResponses(Fixture, 1, shortResponse(200, ""), shortResponse(200, ""));
      Fixture.request();
      CPPUNIT_ASSERT(!contains(receivedRequests(Fixture), "X-Urgency"));
    }
  }

  /// Guards against an urgent stream that loses its place because it resumes,
  /// and against a stream of low priority that waits a second time.
  void resumedStreamKeepsItsPriorityIfMoreUrgent() {
    for (const int Priority : {0, 3}) {
      RelayFixture Fixture;
      configure(Fixture, RequestKind::Streaming, Priority);
      const ScriptedServer::Response Broken{
          "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n\r\n"
          "id: 1\ndata: x\n\nid: 2\ndata: pa",
          ScriptedServer::Response::ConnectionEnd::Reset};
      addResponses(Fixture, 1, Broken, Broken);
      Fixture.request();
      const std::string Received = receivedRequests(Fixture);
      CPPUNIT_ASSERT(contains(Received, "Last-Event-Id: 1\r\n"));
      CPPUNIT_ASSERT_MESSAGE(
          Received,
          contains(Received, "Last-Event-Id: 1\r\nX-Urgency: " +
                                 std::to_string(std::min(Priority, 1)) +
                                 "\r\n"));
    }
  }

  /// Both servers are full when two requests arrive, the urgent one last.
  /// Guards against a free slot for the request that arrived first, or for the
  /// one whose object has the lower address.
  void urgentRequestGetsTheFreeSlot() {
    for (int Attempt = 0; Attempt < 4; ++Attempt) {
      RelayFixture Fixture;
      configure(Fixture, RequestKind::Idempotent, 0);
      constexpr int Slots = 8;
      for (int I = 0; I < Slots; ++I)
        for (const char *Server : {"s1", "s2"})
          Fixture.m_Selector.onDispatched(Server, monotonicNow());
      std::string Other = Fixture.formatRequestBytes("", "");
      Other.replace(Other.find("X-Key: key"), 10, "X-Key: other-key");
      std::vector<asio::ip::tcp::socket> Clients;
      for (const std::string &Text :
           {Other, Other, Fixture.formatRequestBytes("", ""), Other}) {
        Clients.push_back(Fixture.connectClient());
        asio::write(Clients.back(), asio::buffer(Text));
        Fixture.runFor(milliseconds(10));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                           Fixture.m_Context.m_ActiveRequests.size());
      CPPUNIT_ASSERT(Fixture.m_Metrics.counter("dispatches_skipped_total") > 0);
      Fixture.m_Selector.onRequestEnded("s1");
      Fixture.runFor(milliseconds(30));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           Fixture.m_FirstServer->requests().size());
      CPPUNIT_ASSERT(
          contains(Fixture.m_FirstServer->requests().front(), "X-Org: org"));
      // Requests in progress keep themselves alive beyond the fixture.
      Clients.clear();
      Fixture.runFor(milliseconds(200));
      CPPUNIT_ASSERT(Fixture.m_Context.m_ActiveRequests.empty());
    }
  }

  /// Guards against a rejected request that runs, and against clients that do
  /// not learn when to return, or all return at the same time.
  void rejectedRequestReachesNoServer() {
    RelayFixture Fixture;
    configure(Fixture, RequestKind::NonIdempotent, 0);
    AdmissionShares Shares;
    Shares.m_Mean = {0.0, 0.0};
    Fixture.m_Context.m_AdmissionShares["plain/"] = Shares;
    std::set<std::string> Delays;
    for (int I = 0; I < 5; ++I) {
      const std::string Received = Fixture.request();
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 503 "));
      CPPUNIT_ASSERT(contains(Received, "overloaded"));
      const std::size_t Field = Received.find("Retry-After: ");
      CPPUNIT_ASSERT(Field != std::string::npos);
      const std::string Delay = Received.substr(Field + 13, 5);
      CPPUNIT_ASSERT(std::stod(Delay) > 0.2 && std::stod(Delay) < 0.7);
      Delays.insert(Delay);
    }
    CPPUNIT_ASSERT(Delays.size() > 1);
    CPPUNIT_ASSERT(receivedRequests(Fixture).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{5},
        Fixture.m_Metrics.counter(
            "requests_shed_total{model=\"plain/\",priority=\"0\"}"));
  }

  /// Guards against a capacity that counts requests which no server completed,
  /// and against rejections while slots are free.
  void completedWorkIsMeasured() {
    RelayFixture Fixture;
    configure(Fixture, RequestKind::Idempotent, 0);
    AdmissionControl Control(Fixture.m_Context);
    addResponses(Fixture, 4, shortResponse(200, ""), shortResponse(200, ""));
    for (int I = 0; I < 4; ++I)
      Fixture.request();
    const auto Total = [&] {
      return Fixture.m_Context.m_CompletionRate.total("plain/", monotonicNow());
    };
    const double Completed = Total().m_Completed;
    CPPUNIT_ASSERT(Completed > 1.0 && Completed <= 2.0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Total().m_OfferedByOrganisation.count({0, "org"}));
    Fixture.m_FirstServer->replaceResponses({});
    Fixture.m_SecondServer->replaceResponses({});
    Fixture.requestAndDisconnect(milliseconds(50));
    CPPUNIT_ASSERT(Total().m_Completed < Completed);
    Control.tick(monotonicNow());
    Control.setGauges(monotonicNow());
    CPPUNIT_ASSERT(Fixture.m_Context.m_AdmissionShares.empty());
    CPPUNIT_ASSERT(contains(Fixture.m_Metrics.prometheusText(),
                            "admitted_share{model=\"plain/\"} 1"));
  }

  /// The servers are full and complete a third of what is offered; then their
  /// slots are free. Guards against a plain service that is never protected,
  /// and against rejections that outlast the overload.
  void overloadIsSeenAndEnds() {
    RelayFixture Fixture;
    configure(Fixture, RequestKind::Idempotent, 0);
    AdmissionControl Control(Fixture.m_Context);
    constexpr int InFlight = 9;
    for (int I = 0; I < InFlight; ++I)
      for (const char *Server : {"s1", "s2"})
        Fixture.m_Selector.onDispatched(Server, monotonicNow());
    MonotonicTime Now = monotonicNow();
    for (int I = 0; I < 30; ++I) {
      Now += OverloadAdmission::Period;
      for (const unsigned Priority : {0U, 4U})
        Fixture.m_Context.m_CompletionRate.recordOffered(
            "plain/", {Priority, "", false}, 3.0, Now);
      Fixture.m_Context.m_CompletionRate.recordCompleted("plain/", 2.0, Now);
      Fixture.m_Context.m_FirstEventLatency.record(
          "plain/", std::chrono::seconds(8), std::chrono::seconds(4), Now);
      Control.tick(Now);
    }
    const auto Shares = Fixture.m_Context.m_AdmissionShares.find("plain/");
    CPPUNIT_ASSERT(Shares != Fixture.m_Context.m_AdmissionShares.end());
    const double Urgent = Shares->second.find(0, "").m_FirstAttempts;
    const double Other = Shares->second.find(4, "").m_FirstAttempts;
    CPPUNIT_ASSERT(Urgent < 1.0);
    CPPUNIT_ASSERT(Other > 0.0 && Other < Urgent);
    for (int I = 0; I < InFlight; ++I)
      for (const char *Server : {"s1", "s2"})
        Fixture.m_Selector.onRequestEnded(Server);
    Control.tick(Now + OverloadAdmission::Period);
    CPPUNIT_ASSERT(Fixture.m_Context.m_AdmissionShares.empty());
  }

  /// Guards against a report that the receiver cannot decode. It would leave
  /// each node with its own counts.
  void peersReceiveTheWork() {
    RelayFixture Fixture;
    CompletionRate Rate;
    Rate.recordOffered("m", {1, "org", false}, 2.5, monotonicNow());
    Rate.recordOffered("m", {0, "", true}, 1.0, monotonicNow());
    Rate.recordCompleted("m", 3.0, monotonicNow());
    const WorkReport Sent = Rate.ownReport(monotonicNow());
    WorkReport Received;
    const std::map<std::string, PeerAddress> Addresses{
        {"n1", {{"127.0.0.1", findFreePort()}, "a", 0.0}},
        {"n2", {{"127.0.0.1", findFreePort()}, "a", 0.0}}};
    std::map<std::string, PeerExchange> Nodes;
    for (const auto &[Name, Address] : Addresses) {
      const auto Node = Nodes.try_emplace(Name, Fixture.m_Loop, Fixture.m_Log,
                                          Fixture.m_Selector, Name, Address);
      PeerExchange &Exchange = Node.first->second;
      Exchange.exchangeTraffic(
          [&] {
            return PeerExchange::TrafficReport{{}, {}, {}, Sent};
          },
          [&](const std::string &, PeerExchange::TrafficReport Traffic) {
            Received = std::move(Traffic.m_Work);
          });
      Exchange.setPeers(Addresses);
      Exchange.start([](const StallReport &) {},
                     [](const std::vector<PoisonRecord> &) {},
                     [](const Json &, Duration) {});
    }
    for (int I = 0; I < 20 && Received.m_Completed.empty(); ++I)
      Fixture.runFor(milliseconds(50));
    CPPUNIT_ASSERT(Received.m_Completed == Sent.m_Completed);
    CPPUNIT_ASSERT(Received.m_Offered == Sent.m_Offered);
    CPPUNIT_ASSERT(Received.m_Organisations == Sent.m_Organisations);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Received.m_Offered.at("m").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPriorityTest);

} // namespace fulmarwinch
