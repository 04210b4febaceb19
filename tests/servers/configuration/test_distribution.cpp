#include "randomised/configuration_cluster.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

class ConfigurationDistributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationDistributionTest);
  CPPUNIT_TEST(newNodeBootstrapsFromPeersDuringStoreOutage);
  CPPUNIT_TEST(storeOutageDoesNotStopNewWork);
  CPPUNIT_TEST(isolatedZoneCountsAsPartitioned);
  CPPUNIT_TEST(partitionedNodeStopsNewWorkInTime);
  CPPUNIT_TEST(nodesReplacedDuringPartitionRefuseNewWork);
  CPPUNIT_TEST(watchAnswerOfANewEraIsFollowedByAListing);
  CPPUNIT_TEST(staleReadAfterWatchGapIsNotFresh);
  CPPUNIT_TEST(delayedPingAnswerIsNotFresh);
  CPPUNIT_TEST(ageCountsFromSendingOfPing);
  CPPUNIT_TEST(oneReachableReportRefutesStoreOutage);
  CPPUNIT_TEST(ageCountsFromSendingOfWatchCall);
  CPPUNIT_TEST(reportsOfOneZoneDoNotDeclareStoreOutage);
  CPPUNIT_TEST(peersRemovedFromMembershipStillCount);
  CPPUNIT_TEST(newerPeerRevisionIsRequested);
  CPPUNIT_TEST_SUITE_END();

  static ProposedChange zoneOutOfServiceChange(const std::string &Zone) {
    return {"out-" + Zone,
            "ana",
            0,
            0,
            {{{EntryKind::Zone, Zone},
              0,
              toJson(fulmarwinch::Zone{Zone, false}).dump()}}};
  }
  static std::size_t countNodesInState(const ConfigurationCluster &Cluster,
                                       Freshness State) {
    std::size_t Count = 0;
    for (std::size_t Node = 0; Node < Cluster.nodeCount(); ++Node)
      if (Cluster.replica(Node).freshness().state(Cluster.now()) == State)
        ++Count;
    return Count;
  }
  /// Partitions zone z2, the nodes 2, 5 and 8 of 9, from the other zones.
  static void isolateZone(ConfigurationCluster &Cluster) {
    for (const std::size_t Node : {2, 5, 8})
      Cluster.setPartition(Node, 1);
  }

  /// Guards against a node that has no configuration until the end of a store
  /// outage although its peers have one.
  void newNodeBootstrapsFromPeersDuringStoreOutage() {
    ConfigurationCluster Cluster(ConfigurationClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOutOfServiceChange("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.requireConverged();
    Cluster.store().m_IsUnavailable = true;
    Cluster.runFor(std::chrono::seconds(10));
    Cluster.stopNode(4);
    Cluster.startNode(4);
    Cluster.runFor(std::chrono::seconds(5));
    CPPUNIT_ASSERT(!Cluster.replica(4).view()->isZoneInService("z1"));
    CPPUNIT_ASSERT(
        Cluster.replica(4).freshness().mayAcceptNewWork(Cluster.now()));
  }

  /// Guards against a fleet that refuses new work for as long as the object
  /// store is down.
  void storeOutageDoesNotStopNewWork() {
    ConfigurationCluster Cluster(ConfigurationClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOutOfServiceChange("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.store().m_IsUnavailable = true;
    Cluster.runFor(std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t(9),
                         countNodesInState(Cluster, Freshness::StoreOutage));
    Cluster.store().m_IsUnavailable = false;
    Cluster.runFor(std::chrono::seconds(5));
    Cluster.requireConverged();
  }

  /// Guards against an isolated zone that mistakes its partition for a store
  /// outage, also long after membership has removed the nodes of other zones.
  void isolatedZoneCountsAsPartitioned() {
    ConfigurationCluster Cluster(ConfigurationClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOutOfServiceChange("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    isolateZone(Cluster);
    Cluster.runFor(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         countNodesInState(Cluster, Freshness::Partitioned));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6),
                         countNodesInState(Cluster, Freshness::Fresh));
    Cluster.runFor(std::chrono::minutes(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         countNodesInState(Cluster, Freshness::Partitioned));
  }

  /// Guards invariant I4: a partitioned node that did not receive the change
  /// must stop sending new work to a zone that was taken out of service.
  /// ConfigurationCluster asserts the time limit.
  void partitionedNodeStopsNewWorkInTime() {
    ConfigurationCluster Cluster(ConfigurationClusterOptions{});
    Cluster.runFor(std::chrono::seconds(5));
    Cluster.setPartition(4, 1);
    Cluster.runFor(std::chrono::milliseconds(10));
    Cluster.confirm(0, zoneOutOfServiceChange("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    CPPUNIT_ASSERT(
        !Cluster.replica(4).freshness().mayAcceptNewWork(Cluster.now()));
    Cluster.healPartitions();
    Cluster.runFor(std::chrono::seconds(10));
    Cluster.requireConverged();
  }

  /// Guards against nodes that start inside a partition and count the few peers
  /// they can reach as the whole fleet.
  void nodesReplacedDuringPartitionRefuseNewWork() {
    ConfigurationCluster Cluster(ConfigurationClusterOptions{});
    Cluster.runFor(std::chrono::seconds(3));
    Cluster.confirm(0, zoneOutOfServiceChange("z1"));
    Cluster.runFor(std::chrono::seconds(3));
    for (const std::size_t Node : {0, 1, 2, 4})
      Cluster.setPartition(Node, 1);
    for (const std::size_t Node : {0, 1, 2}) {
      Cluster.stopNode(Node);
      Cluster.startNode(Node);
      Cluster.runFor(std::chrono::seconds(12));
    }
    for (const std::size_t Node : {0, 1, 2, 4})
      CPPUNIT_ASSERT(Cluster.replica(Node).freshness().state(Cluster.now()) ==
                     Freshness::Partitioned);
  }

  /// Guards against a watcher that confirms an outdated configuration because
  /// the store no longer had the watch history or returned an old head.
  void staleReadAfterWatchGapIsNotFresh() {
    MonotonicTime Now{std::chrono::seconds(1)};
    ConfigurationReplicaOptions Options;
    Options.m_Node = "n";
    Options.m_Zone = "z";
    ConfigurationReplica Replica(Options, Now);
    const auto FirstActions = Replica.setPeers({}, {}, Now);
    const StoreCallId ListId = std::get<ListHead>(FirstActions.at(0)).m_Id;
    auto NextActions =
        Replica.onList({ListId, StoreOutcome::Succeeded, 10, 0}, Now);
    const auto Watch = std::get<WatchHead>(NextActions.at(0));
    CPPUNIT_ASSERT_EQUAL(StorePosition(10), Watch.m_AfterStorePosition);
    CPPUNIT_ASSERT(Replica.freshness().mayAcceptNewWork(Now));
    Now += std::chrono::seconds(1);
    NextActions =
        Replica.onWatch({Watch.m_Id, StoreOutcome::NotFound, 0, 0}, Now);
    const StoreCallId SecondListId = std::get<ListHead>(NextActions.at(0)).m_Id;
    Now += std::chrono::seconds(1);
    NextActions =
        Replica.onList({SecondListId, StoreOutcome::Succeeded, 90, 7}, Now);
    const StoreCallId ReadId = std::get<GetObject>(NextActions.at(0)).m_Id;
    ConfigurationHead Head{0, 0, "w", 1, {}};
    Replica.onGet({ReadId, StoreOutcome::Succeeded, 6, encodeHead(Head)}, Now);
    Now += std::chrono::seconds(1);
    CPPUNIT_ASSERT(!Replica.freshness().mayAcceptNewWork(Now));
  }

  /// The platform returns from a copy while a watch waits, and has passed the
  /// revision that was watched from when it answers. Guards against a watcher
  /// that misses a head which was stored below that revision.
  void watchAnswerOfANewEraIsFollowedByAListing() {
    MonotonicTime Now{std::chrono::seconds(1)};
    ConfigurationReplicaOptions Options;
    Options.m_Node = "n";
    Options.m_Zone = "z";
    ConfigurationReplica Replica(Options, Now);
    const auto FirstActions = Replica.setPeers({}, {}, Now);
    const StoreCallId ListId = std::get<ListHead>(FirstActions.at(0)).m_Id;
    auto NextActions =
        Replica.onList({ListId, StoreOutcome::Succeeded, 90, {}}, Now);
    const auto Watch = std::get<WatchHead>(NextActions.at(0));
    NextActions = Replica.onWatch(
        {Watch.m_Id, StoreOutcome::Succeeded, {1, 95}, {}}, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NextActions.size());
    const StoreCallId SecondListId = std::get<ListHead>(NextActions.at(0)).m_Id;
    NextActions = Replica.onList(
        {SecondListId, StoreOutcome::Succeeded, {1, 95}, {1, 40}}, Now);
    CPPUNIT_ASSERT(std::holds_alternative<GetObject>(NextActions.at(0)));
  }

  /// Guards against a delayed ping answer that makes a configuration look
  /// newer, and against one that confirms a revision this node has not applied
  /// yet.
  void delayedPingAnswerIsNotFresh() {
    FreshnessTracker Tracker(FreshnessOptions{"n", "z"});
    const MonotonicTime Start{std::chrono::seconds(100)};
    Tracker.onRevisionApplied(4);
    Tracker.onPingAnswer({4, std::chrono::seconds(1), {}, 2}, Start);
    const auto At = [&](int Milliseconds) {
      return Start + std::chrono::milliseconds(Milliseconds);
    };
    CPPUNIT_ASSERT(Tracker.mayAcceptNewWork(At(1400)));
    CPPUNIT_ASSERT(!Tracker.mayAcceptNewWork(At(1600)));
    Tracker.onPingAnswer({5, Duration(0), {}, 2}, At(1600));
    CPPUNIT_ASSERT(!Tracker.mayAcceptNewWork(At(1600)));
    Tracker.onRevisionApplied(5);
    CPPUNIT_ASSERT(Tracker.mayAcceptNewWork(At(1600)));
  }

  /// Guards against an age that counts from the receipt of a ping answer.
  void ageCountsFromSendingOfPing() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    ConfigurationReplicaOptions Options;
    Options.m_Node = "n";
    ConfigurationReplica Replica(Options, Now);
    Replica.onPingAnswer("p", {0, Duration(0), {}, 2},
                         Now - std::chrono::seconds(3), Now);
    CPPUNIT_ASSERT(!Replica.freshness().mayAcceptNewWork(Now));
  }

  /// Guards against declaring a store outage although one watcher reaches the
  /// store, or although no more than half of the expected reports are current
  /// and from known nodes.
  void oneReachableReportRefutesStoreOutage() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    FreshnessOptions Options{"n0", "z0"};
    Options.m_MaxReportingNodes = 2;
    const auto StateWith = [&](std::vector<StoreReport> Reports) {
      FreshnessTracker Tracker(Options);
      Tracker.onRevisionApplied(1);
      Tracker.setPeers({{"n1", "z1", true},
                        {"n2", "z2", true},
                        {"n3", "z0", true},
                        {"n4", "z1", true},
                        {"n5", "z2", true}},
                       Now);
      Tracker.onPingAnswer({1, std::nullopt, std::move(Reports), 6}, Now);
      return Tracker.state(Now);
    };
    const auto UnreachableReport = [](const char *Node, const char *Zone,
                                      int Age = 0) {
      return StoreReport{Node, Zone, false, std::chrono::seconds(Age)};
    };
    const std::vector<StoreReport> FourReports{
        UnreachableReport("n1", "z1"), UnreachableReport("n4", "z1"),
        UnreachableReport("n2", "z2"), UnreachableReport("n5", "z2")};
    CPPUNIT_ASSERT(StateWith(FourReports) == Freshness::StoreOutage);
    auto WithReachableReport = FourReports;
    WithReachableReport.push_back({"n3", "z0", true, Duration(0)});
    CPPUNIT_ASSERT(StateWith(WithReachableReport) == Freshness::Partitioned);
    auto WithOldReport = FourReports;
    WithOldReport[3] = UnreachableReport("n5", "z2", 4);
    CPPUNIT_ASSERT(StateWith(WithOldReport) == Freshness::Partitioned);
    auto WithUnknownNode = FourReports;
    WithUnknownNode[3] = UnreachableReport("n9", "z2");
    CPPUNIT_ASSERT(StateWith(WithUnknownNode) == Freshness::Partitioned);
  }

  /// Guards against an age that counts from the answer to a watch call, so that
  /// a slow answer makes the configuration look newer.
  void ageCountsFromSendingOfWatchCall() {
    const MonotonicTime Start{std::chrono::seconds(100)};
    ConfigurationReplicaOptions Options;
    Options.m_Node = "n";
    Options.m_Zone = "z";
    ConfigurationReplica Replica(Options, Start);
    const auto FirstActions = Replica.setPeers({}, {}, Start);
    const auto NextActions =
        Replica.onList({std::get<ListHead>(FirstActions.at(0)).m_Id,
                        StoreOutcome::Succeeded, 10, 0},
                       Start);
    const StoreCallId Id = std::get<WatchHead>(NextActions.at(0)).m_Id;
    const MonotonicTime AnsweredAt = Start + std::chrono::seconds(2);
    Replica.onWatch({Id, StoreOutcome::Succeeded, 10, 0}, AnsweredAt);
    CPPUNIT_ASSERT(Replica.freshness().age(AnsweredAt) ==
                   Duration(std::chrono::seconds(2)));
    CPPUNIT_ASSERT(!Replica.freshness().mayAcceptNewWork(
        AnsweredAt + std::chrono::seconds(1)));
  }

  /// Guards against a store outage that is declared by many reports from few
  /// zones. In a large fleet, at most two reports per zone are expected and
  /// counted; two are also expected from a zone without known nodes.
  void reportsOfOneZoneDoNotDeclareStoreOutage() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    FreshnessOptions Options{"n0", "z0"};
    Options.m_MaxReportingNodes = 2;
    Options.m_ExpectedZoneCount = 4;
    FreshnessTracker Tracker(Options);
    Tracker.onRevisionApplied(1);
    std::vector<ConfigurationPeer> Peers{{"n1", "z1", true},
                                         {"n2", "z2", true}};
    std::vector<StoreReport> Reports{{"n2", "z2", false, Duration(0)}};
    for (int Index = 3; Index < 9; ++Index) {
      const std::string Name = "n" + std::to_string(Index);
      Peers.push_back({Name, "z1", true});
      Reports.push_back({Name, "z1", false, Duration(0)});
    }
    Tracker.setPeers(Peers, Now);
    // Three of the six expected reports say unreachable. One report is expected
    // from each of z0 and z2, which have one node, two from z1 and two from the
    // fourth zone, which has no known node.
    Tracker.onPingAnswer({1, std::nullopt, Reports, 9}, Now);
    CPPUNIT_ASSERT(Tracker.state(Now) == Freshness::Partitioned);
    // With the report of this node, four of the six say unreachable.
    Tracker.recordStoreReachability(false, Now);
    CPPUNIT_ASSERT(Tracker.state(Now) == Freshness::StoreOutage);
  }

  /// Guards against nodes inside a partition that count as a majority once
  /// membership has removed the lost nodes.
  void peersRemovedFromMembershipStillCount() {
    MonotonicTime Now{std::chrono::seconds(100)};
    FreshnessTracker Tracker(FreshnessOptions{"n0", "z0"});
    Tracker.onRevisionApplied(1);
    std::vector<ConfigurationPeer> Peers{{"n1", "z1", true}};
    for (int Index = 2; Index < 6; ++Index)
      Peers.push_back({"n" + std::to_string(Index), "z2", false});
    Tracker.setPeers(Peers, Now);
    Peers.resize(1);
    Now += std::chrono::minutes(20);
    Tracker.setPeers(Peers, Now);
    Tracker.onPingAnswer(
        {1, std::nullopt, {{"n1", "z1", false, Duration(0)}}, 2}, Now);
    Tracker.recordStoreReachability(false, Now);
    CPPUNIT_ASSERT(Tracker.state(Now) == Freshness::Partitioned);
  }

  /// Guards against a change that never arrives because the message with it was
  /// lost: a node requests an update when a ping answer has a newer revision.
  void newerPeerRevisionIsRequested() {
    const MonotonicTime Now{std::chrono::seconds(100)};
    ConfigurationReplicaOptions Options;
    Options.m_Node = "n";
    ConfigurationReplica Replica(Options, Now);
    const auto Requested =
        Replica.onPingAnswer("p", {3, Duration(0), {}, 2}, Now, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Requested.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p"),
                         std::get<RequestUpdate>(Requested[0]).m_Peer);
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(0),
                         std::get<RequestUpdate>(Requested[0]).m_AfterRevision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDistributionTest);

} // namespace fulmarwinch
