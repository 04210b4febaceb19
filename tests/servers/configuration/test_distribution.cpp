#include "randomised/configuration_cluster.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

class DistributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DistributionTest);
  CPPUNIT_TEST(newNodeBootstrapsFromPeersInAnOutage);
  CPPUNIT_TEST(outageForAllKeepsServing);
  CPPUNIT_TEST(singleZoneIsPartitioned);
  CPPUNIT_TEST(partitionedNodeStopsWithinTheLimit);
  CPPUNIT_TEST(nodesReplacedInsideAPartitionRefuse);
  CPPUNIT_TEST(watchGapAndLaggingReadAreClosed);
  CPPUNIT_TEST(delayedAnswerDoesNotLookFresh);
  CPPUNIT_TEST(ageCountsFromThePing);
  CPPUNIT_TEST(reachableReportRefutesAnOutage);
  CPPUNIT_TEST(watchAgeCountsFromTheCall);
  CPPUNIT_TEST(oneZoneCannotOutvoteTheOthers);
  CPPUNIT_TEST(forgottenPeersStayInTheCount);
  CPPUNIT_TEST(newerRevisionOfAPeerIsAskedFor);
  CPPUNIT_TEST_SUITE_END();

  static AcceptRequest zoneOut(const std::string &Zone) {
    return {"out-" + Zone,
            "ana",
            0,
            0,
            {{{EntryKind::Zone, Zone},
              0,
              toJson(fulmarwinch::Zone{Zone, false}).dump()}}};
  }
  static std::size_t serving(const ConfigurationCluster &Cluster,
                             Freshness State) {
    std::size_t Count = 0;
    for (std::size_t Node = 0; Node < Cluster.nodeCount(); ++Node)
      if (Cluster.replica(Node).freshness().state(Cluster.now()) == State)
        ++Count;
    return Count;
  }
  /// Isolates the zone z2: the nodes 2, 5 and 8 of 9.
  static void isolateZone(ConfigurationCluster &Cluster) {
    for (const std::size_t Node : {2, 5, 8})
      Cluster.setIsland(Node, 1);
  }

  /// Guards against a node that stays without configuration for the length of
  /// an outage although its peers have one.
  void newNodeBootstrapsFromPeersInAnOutage() {
    ConfigurationCluster Cluster(ClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOut("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.requireConverged();
    Cluster.store().m_Outage = true;
    Cluster.runFor(std::chrono::seconds(10));
    Cluster.stop(4);
    Cluster.start(4);
    Cluster.runFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT(!Cluster.replica(4).view()->isZoneInService("z1"));
    CPPUNIT_ASSERT(
        Cluster.replica(4).freshness().mayAcceptNewWork(Cluster.now()));
  }

  /// Guards against an hour without service because the store is down.
  void outageForAllKeepsServing() {
    ConfigurationCluster Cluster(ClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOut("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.store().m_Outage = true;
    Cluster.runFor(std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t(9),
                         serving(Cluster, Freshness::OutageForAll));
    Cluster.store().m_Outage = false;
    Cluster.runFor(std::chrono::seconds(5));
    Cluster.requireConverged();
  }

  /// Guards against a zone that hears only itself and takes this for an
  /// outage for all, also long after membership has given the others up.
  void singleZoneIsPartitioned() {
    ConfigurationCluster Cluster(ClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOut("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    isolateZone(Cluster);
    Cluster.runFor(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         serving(Cluster, Freshness::Partitioned));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), serving(Cluster, Freshness::Fresh));
    Cluster.runFor(std::chrono::minutes(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         serving(Cluster, Freshness::Partitioned));
  }

  /// Guards I4: a zone that was taken out of service gets no new work from a
  /// node that cannot know about it. The cluster asserts the limit.
  void partitionedNodeStopsWithinTheLimit() {
    ConfigurationCluster Cluster(ClusterOptions{});
    Cluster.runFor(std::chrono::seconds(5));
    Cluster.setIsland(4, 1);
    Cluster.runFor(std::chrono::milliseconds(10));
    Cluster.confirm(0, zoneOut("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(
        !Cluster.replica(4).freshness().mayAcceptNewWork(Cluster.now()));
    Cluster.heal();
    Cluster.runFor(std::chrono::seconds(10));
    Cluster.requireConverged();
  }

  /// Guards against nodes that started inside a partition and take the few
  /// peers they have met for the whole fleet.
  void nodesReplacedInsideAPartitionRefuse() {
    ConfigurationCluster Cluster(ClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOut("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    for (const std::size_t Node : {0, 1, 2, 4})
      Cluster.setIsland(Node, 1);
    for (const std::size_t Node : {0, 1, 2}) {
      Cluster.stop(Node);
      Cluster.start(Node);
      Cluster.runFor(std::chrono::seconds(12));
    }
    for (const std::size_t Node : {0, 1, 2, 4})
      CPPUNIT_ASSERT(Cluster.replica(Node).freshness().state(Cluster.now()) ==
                     Freshness::Partitioned);
  }

  /// Guards against a watcher that confirms an old configuration because the
  /// store forgot the watch history or the read after the watch lagged.
  void watchGapAndLaggingReadAreClosed() {
    MonotonicTime Now{std::chrono::seconds(1)};
    ReplicaOptions Options;
    Options.m_Node = "n";
    Options.m_Zone = "z";
    ConfigurationReplica Replica(Options, Now);
    const auto Listing = Replica.onPeers({}, {}, Now);
    const StoreCallId ListId = std::get<ListHead>(Listing.at(0)).m_Id;
    auto Next = Replica.onList({ListId, StoreOutcome::Applied, 10, 0}, Now);
    const auto Watch = std::get<WatchHead>(Next.at(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), Watch.m_Since);
    CPPUNIT_ASSERT(Replica.freshness().mayAcceptNewWork(Now));
    Now += std::chrono::seconds(1);
    Next = Replica.onWatch({Watch.m_Id, StoreOutcome::NotFound, 0, 0}, Now);
    const StoreCallId Again = std::get<ListHead>(Next.at(0)).m_Id;
    Now += std::chrono::seconds(1);
    Next = Replica.onList({Again, StoreOutcome::Applied, 90, 7}, Now);
    const StoreCallId Read = std::get<GetObject>(Next.at(0)).m_Id;
    ConfigurationHead Head{0, 0, "w", 1, {}};
    Replica.onGet({Read, StoreOutcome::Applied, 6, encodeHead(Head)}, Now);
    Now += std::chrono::seconds(1);
    CPPUNIT_ASSERT(!Replica.freshness().mayAcceptNewWork(Now));
  }

  /// Guards against a delayed answer that makes a configuration look newer,
  /// and against counting an answer about a revision that is not here yet.
  void delayedAnswerDoesNotLookFresh() {
    FreshnessTracker Tracker(FreshnessOptions{"n", "z"});
    const MonotonicTime Start{std::chrono::seconds(100)};
    Tracker.onRevision(4);
    Tracker.onAnswer({4, std::chrono::seconds(1), {}, 2}, Start);
    const auto At = [&](int Ms) {
      return Start + std::chrono::milliseconds(Ms);
    };
    CPPUNIT_ASSERT(Tracker.mayAcceptNewWork(At(1400)));
    CPPUNIT_ASSERT(!Tracker.mayAcceptNewWork(At(1600)));
    Tracker.onAnswer({5, Duration(0), {}, 2}, At(1600));
    CPPUNIT_ASSERT(!Tracker.mayAcceptNewWork(At(1600)));
    Tracker.onRevision(5);
    CPPUNIT_ASSERT(Tracker.mayAcceptNewWork(At(1600)));
  }

  /// Guards against an age that counts from the receipt of an answer.
  void ageCountsFromThePing() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    ReplicaOptions Options;
    Options.m_Node = "n";
    ConfigurationReplica Replica(Options, Now);
    Replica.onAnswer("p", {0, Duration(0), {}, 2},
                     Now - std::chrono::seconds(3), Now);
    CPPUNIT_ASSERT(!Replica.freshness().mayAcceptNewWork(Now));
  }

  /// Guards against an outage declared although one watcher reaches the
  /// store, or by fewer than half of the places.
  void reachableReportRefutesAnOutage() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    FreshnessOptions Options{"n0", "z0"};
    Options.m_MaxReportingNodes = 2;
    const auto StateWith = [&](std::vector<StoreReport> Reports) {
      FreshnessTracker Tracker(Options);
      Tracker.onRevision(1);
      Tracker.onPeers({{"n1", "z1", true},
                       {"n2", "z2", true},
                       {"n3", "z0", true},
                       {"n4", "z1", true},
                       {"n5", "z2", true}},
                      Now);
      Tracker.onAnswer({1, std::nullopt, std::move(Reports), 6}, Now);
      return Tracker.state(Now);
    };
    const auto No = [](const char *Node, const char *Zone, int Age = 0) {
      return StoreReport{Node, Zone, false, std::chrono::seconds(Age)};
    };
    const std::vector<StoreReport> Four{No("n1", "z1"), No("n4", "z1"),
                                        No("n2", "z2"), No("n5", "z2")};
    CPPUNIT_ASSERT(StateWith(Four) == Freshness::OutageForAll);
    auto Refuted = Four;
    Refuted.push_back({"n3", "z0", true, Duration(0)});
    CPPUNIT_ASSERT(StateWith(Refuted) == Freshness::Partitioned);
    auto Old = Four;
    Old[3] = No("n5", "z2", 4);
    CPPUNIT_ASSERT(StateWith(Old) == Freshness::Partitioned);
    auto Unknown = Four;
    Unknown[3] = No("n9", "z2");
    CPPUNIT_ASSERT(StateWith(Unknown) == Freshness::Partitioned);
  }

  /// Guards against a watcher whose age counts from the answer to its watch
  /// call, so that a slow answer makes the configuration look newer.
  void watchAgeCountsFromTheCall() {
    const MonotonicTime Start{std::chrono::seconds(100)};
    ReplicaOptions Options;
    Options.m_Node = "n";
    Options.m_Zone = "z";
    ConfigurationReplica Replica(Options, Start);
    const auto Listing = Replica.onPeers({}, {}, Start);
    const auto Next = Replica.onList(
        {std::get<ListHead>(Listing.at(0)).m_Id, StoreOutcome::Applied, 10, 0},
        Start);
    const StoreCallId Id = std::get<WatchHead>(Next.at(0)).m_Id;
    const MonotonicTime Answered = Start + std::chrono::seconds(2);
    Replica.onWatch({Id, StoreOutcome::Applied, 10, 0}, Answered);
    CPPUNIT_ASSERT(Replica.freshness().age(Answered) ==
                   Duration(std::chrono::seconds(2)));
    CPPUNIT_ASSERT(!Replica.freshness().mayAcceptNewWork(
        Answered + std::chrono::seconds(1)));
  }

  /// Guards against an outage declared by many reports of few zones: in a
  /// large fleet each zone has two places, known or not.
  void oneZoneCannotOutvoteTheOthers() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    FreshnessOptions Options{"n0", "z0"};
    Options.m_MaxReportingNodes = 2;
    Options.m_ExpectedZones = 4;
    FreshnessTracker Tracker(Options);
    Tracker.onRevision(1);
    std::vector<ConfigurationPeer> Peers{{"n1", "z1", true},
                                         {"n2", "z2", true}};
    std::vector<StoreReport> Reports{{"n2", "z2", false, Duration(0)}};
    for (int Index = 3; Index < 9; ++Index) {
      const std::string Name = "n" + std::to_string(Index);
      Peers.push_back({Name, "z1", true});
      Reports.push_back({Name, "z1", false, Duration(0)});
    }
    Tracker.onPeers(Peers, Now);
    // Three places of six: z0 and z2 have one node each, z1 has two, and the
    // fourth zone, which nobody here knows, has two places.
    Tracker.onAnswer({1, std::nullopt, Reports, 9}, Now);
    CPPUNIT_ASSERT(Tracker.state(Now) == Freshness::Partitioned);
    // The own report makes it four of six.
    Tracker.onStoreReport(false, Now);
    CPPUNIT_ASSERT(Tracker.state(Now) == Freshness::OutageForAll);
  }

  /// Guards against nodes of a partition that look like a majority to each
  /// other once membership has forgotten the lost ones.
  void forgottenPeersStayInTheCount() {
    MonotonicTime Now{std::chrono::seconds(100)};
    FreshnessTracker Tracker(FreshnessOptions{"n0", "z0"});
    Tracker.onRevision(1);
    std::vector<ConfigurationPeer> Peers{{"n1", "z1", true}};
    for (int Index = 2; Index < 6; ++Index)
      Peers.push_back({"n" + std::to_string(Index), "z2", false});
    Tracker.onPeers(Peers, Now);
    Peers.resize(1);
    Now += std::chrono::minutes(20);
    Tracker.onPeers(Peers, Now);
    Tracker.onAnswer({1, std::nullopt, {{"n1", "z1", false, Duration(0)}}, 2},
                     Now);
    Tracker.onStoreReport(false, Now);
    CPPUNIT_ASSERT(Tracker.state(Now) == Freshness::Partitioned);
  }

  /// Guards against a change that never arrives because its one push was
  /// lost: a ping that tells a newer revision leads to a question.
  void newerRevisionOfAPeerIsAskedFor() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    ReplicaOptions Options;
    Options.m_Node = "n";
    ConfigurationReplica Replica(Options, Now);
    const auto Asked = Replica.onAnswer("p", {3, Duration(0), {}, 2}, Now, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Asked.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p"), std::get<AskPeer>(Asked[0]).m_Peer);
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(0),
                         std::get<AskPeer>(Asked[0]).m_Have);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DistributionTest);

} // namespace fulmarwinch
