#include "servers/feed/relay_topology.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>

namespace fulmarwinch {

/// Choice of the nodes that forward the store's changes.
class RelayTopologyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTopologyTest);
  CPPUNIT_TEST(nodesOfAZoneChooseTheSameRelay);
  CPPUNIT_TEST(relayHasTheFastestLink);
  CPPUNIT_TEST(everyNodeReceivesTheChangesOnce);
  CPPUNIT_TEST(zonesForwardWithoutASource);
  CPPUNIT_TEST(batchSizeIsBoundedByTheLink);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<RelayCandidate> zoneOf(const std::string &Zone,
                                            std::size_t Count) {
    std::vector<RelayCandidate> Nodes;
    for (std::size_t I = 0; I < Count; ++I)
      Nodes.push_back({Zone + std::to_string(I), Zone, I < 3 ? 200.0 : 20.0});
    return Nodes;
  }

  static std::vector<RelayCandidate> fiveZones() {
    std::vector<RelayCandidate> Nodes;
    for (const char *Zone : {"a", "b", "c", "d", "e"})
      for (RelayCandidate &Node : zoneOf(Zone, 19))
        Nodes.push_back(std::move(Node));
    return Nodes;
  }

  /// Guards against a zone without a relay or with several ones.
  void nodesOfAZoneChooseTheSameRelay() {
    std::vector<RelayCandidate> Nodes = zoneOf("a", 3);
    const auto Relays = relayByZone(Nodes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Relays.count("a"));
    std::reverse(Nodes.begin(), Nodes.end());
    CPPUNIT_ASSERT(Relays == relayByZone(Nodes));
    CPPUNIT_ASSERT(relayByZone({{"a0", "a", 200.0}}).empty());
  }

  /// Load pattern: zones of 3 nodes with 200 Mbit/s and 16 with 20 Mbit/s.
  /// Guards against a relay whose link cannot carry a copy for each follower,
  /// so that its datagrams are lost and every node reads the store.
  void relayHasTheFastestLink() {
    for (const auto &[Zone, Relay] : relayByZone(fiveZones())) {
      const std::string Index = Relay.substr(Zone.size());
      CPPUNIT_ASSERT(std::stoi(Index) < 3);
    }
  }

  /// Guards against nodes that nobody forwards to, and against copies that are
  /// sent twice.
  void everyNodeReceivesTheChangesOnce() {
    const std::vector<RelayCandidate> Nodes = fiveZones();
    const auto Relays = relayByZone(Nodes);
    std::vector<std::string> Holders{"c7"};
    for (const auto &[Zone, Relay] : Relays)
      Holders.push_back(Relay);
    for (const std::string &Holder : Holders) {
      std::map<std::string, std::size_t> Copies;
      for (const RelayCandidate &Node : Nodes) {
        const FeedPlan Plan = planFeed(Node, Nodes, Node.m_Name == Holder);
        for (const std::string &Receiver : Plan.m_Receivers)
          ++Copies[Receiver];
        const FeedRole Expected = Node.m_Name == Holder ? FeedRole::Source
                                  : Relays.at(Node.m_Zone) == Node.m_Name
                                      ? FeedRole::Relay
                                      : FeedRole::Follower;
        CPPUNIT_ASSERT(Plan.m_Role == Expected);
      }
      for (const RelayCandidate &Node : Nodes)
        CPPUNIT_ASSERT(Copies[Node.m_Name] == 1 || Node.m_Name == Holder);
    }
  }

  /// Guards against followers without changes while nobody holds the lease.
  void zonesForwardWithoutASource() {
    const std::vector<RelayCandidate> Nodes = fiveZones();
    for (const RelayCandidate &Node : Nodes) {
      const FeedPlan Plan = planFeed(Node, Nodes, false);
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{Plan.m_Role == FeedRole::Relay ? 18U : 0U},
          Plan.m_Receivers.size());
    }
    const RelayCandidate Single{"f0", "f", 20.0};
    CPPUNIT_ASSERT(planFeed(Single, Nodes, false).m_Role ==
                   FeedRole::Independent);
  }

  void batchSizeIsBoundedByTheLink() {
    CPPUNIT_ASSERT(maxForwardedBytes(200.0, 28) > 100000);
    CPPUNIT_ASSERT(maxForwardedBytes(20.0, 28) < 20000);
    CPPUNIT_ASSERT(maxForwardedBytes(0.0, 28) < 20000);
    CPPUNIT_ASSERT(maxForwardedBytes(1000.0, 1) <= 160000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTopologyTest);

} // namespace fulmarwinch
