#include "tests/proxy/peer_pair.h"
#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Clients that name models which no configuration has, each time another one,
/// and load messages that are larger than a peer reads.
class UnknownModelsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnknownModelsTest);
  CPPUNIT_TEST(namesOfUnknownModelsAreNotRecorded);
  CPPUNIT_TEST(peerWithAnOversizedReportIsHeard);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against memory that grows with each name until the process exceeds
  /// its limit, and against clients that wait although no server can serve
  /// them.
  void namesOfUnknownModelsAreNotRecorded() {
    RelayFixture Fixture;
    Fixture.configureGroups();
    const auto Ask = [&](const std::string &Model) {
      return Fixture.request("X-Model: " + Model +
                             "\r\nX-Tokens: 1000,100\r\n");
    };
    for (int I = 0; I < 20; ++I) {
      const std::string Received = Ask("unknown" + std::to_string(I));
      CPPUNIT_ASSERT_MESSAGE(
          Received, Received.find("HTTP/1.1 503 ") == 0 &&
                        Received.find("Retry-After: ") != std::string::npos &&
                        Received.find("unknown_model") != std::string::npos);
    }
    const RequestRelayContext &Context = Fixture.m_Context;
    const MonotonicTime Now = monotonicNow();
    CPPUNIT_ASSERT(Context.m_DemandEstimator.busyGroupsByModel(Now).empty());
    CPPUNIT_ASSERT(
        Context.m_ReturningDemandEstimator.busyGroupsByModel(Now).empty());
    CPPUNIT_ASSERT(Context.m_CompletionRate.ownReport(Now).m_Offered.empty());
    // Another priority would make the means of the models differ.
    CPPUNIT_ASSERT(Context.m_ModelPriorities.byModel().empty());
    Ask("m");
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        Context.m_DemandEstimator.busyGroupsByModel(monotonicNow()).size());
  }

  /// Guards against a node that its peers take for lost because its load
  /// message is larger than the datagrams that they read.
  void peerWithAnOversizedReportIsHeard() {
    PeerPair Nodes;
    PeerExchange::TrafficReport Sent;
    std::optional<PeerExchange::TrafficReport> Received;
    Nodes.m_First.m_Exchange.exchangeTraffic(
        [&Sent] { return Sent; },
        [](const std::string &, const PeerExchange::TrafficReport &) {});
    Nodes.m_Second.m_Exchange.exchangeTraffic(
        [] { return PeerExchange::TrafficReport(); },
        [&Received](const std::string &, PeerExchange::TrafficReport Report) {
          Received = std::move(Report);
        });
    const auto HearsFirst = [&] {
      return Nodes.m_Second.m_Exchange.liveNodes(monotonicNow()).size() == 2;
    };
    // The report of the traffic alone is too large.
    Sent.m_Demand[std::string(9000, 'm')] = 1.0;
    CPPUNIT_ASSERT(Nodes.runUntil(HearsFirst));
    CPPUNIT_ASSERT(!Received);
    // Both parts fit, but not together.
    Sent.m_Demand = {{std::string(5000, 'm'), 2.0}};
    Nodes.m_First.m_Selector.onDispatched(std::string(4000, 's'),
                                          monotonicNow(), "m", 1);
    CPPUNIT_ASSERT(Nodes.runUntil([&] { return Received.has_value(); }));
    CPPUNIT_ASSERT(Received->m_Demand == Sent.m_Demand);
    CPPUNIT_ASSERT(HearsFirst());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnknownModelsTest);

} // namespace fulmarwinch
