#include "core/error.h"
#include "randomised/configuration_cluster.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <cstdlib>
#include <iostream>

namespace fulmarwinch {

namespace {

/// One simulated run with random faults and random plans. The cluster checks
/// the invariants and throws on a violation.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed) : m_Cluster(options(Seed)) {
    m_Cluster.store().m_StaleReadProbability = 0.2;
    m_Cluster.store().m_LostWriteResponseProbability = 0.15;
    m_Cluster.store().m_DelayedWriteProbability = 0.1;
  }

  void run(int Rounds) {
    m_Cluster.runFor(std::chrono::seconds(2));
    for (int Round = 0; Round < Rounds; ++Round) {
      injectRandomFault();
      confirmRandomPlans();
      m_Cluster.runFor(std::chrono::milliseconds(randomBelow(1500)));
    }
    m_Cluster.healPartitions();
    m_Cluster.store().m_IsUnavailable = false;
    for (std::size_t Node = 0; Node < m_Cluster.nodeCount(); ++Node)
      if (!m_Cluster.isUp(Node))
        m_Cluster.startNode(Node);
    m_Cluster.runFor(std::chrono::seconds(15));
    m_Cluster.requireConverged();
    requireResultsMatchStore();
  }
  const ConfigurationCluster &cluster() const { return m_Cluster; }

private:
  static ConfigurationClusterOptions options(std::uint64_t Seed) {
    ConfigurationClusterOptions Options;
    Options.m_Seed = Seed;
    Options.m_MessageLossProbability = 0.03;
    Options.m_MaxMessageDelay = std::chrono::milliseconds(1 + Seed % 60);
    return Options;
  }
  std::uint64_t randomBelow(std::uint64_t Bound) {
    return m_Cluster.random()() % Bound;
  }

  void injectRandomFault() {
    const std::size_t Node = randomBelow(m_Cluster.nodeCount());
    switch (randomBelow(14)) {
    case 0:
      m_Cluster.store().m_IsUnavailable = true;
      break;
    case 1:
    case 2:
      m_Cluster.store().m_IsUnavailable = false;
      break;
    case 3: // One zone is cut off from the others and the store.
      m_Cluster.healPartitions();
      for (std::size_t Peer = 0; Peer < m_Cluster.nodeCount(); ++Peer)
        if (m_Cluster.zoneOf(Peer) == m_Cluster.zoneOf(Node))
          m_Cluster.setPartition(Peer, 1);
      break;
    case 4: // Up to half of the nodes, from any zone, are cut off.
      m_Cluster.healPartitions();
      for (std::size_t Peer = 0; Peer < m_Cluster.nodeCount() / 2; ++Peer)
        m_Cluster.setPartition(randomBelow(m_Cluster.nodeCount()), 1);
      break;
    case 5:
    case 6:
      m_Cluster.healPartitions();
      break;
    case 7:
      m_Cluster.stopNode(Node);
      break;
    case 8:
    case 9:
      m_Cluster.startNode(Node);
      break;
    default:
      break;
    }
  }

  /// Confirms new plans, some of them based on an outdated configuration, and
  /// confirms some earlier plans again, possibly at another node.
  void confirmRandomPlans() {
    for (std::uint64_t Count = randomBelow(3); Count > 0; --Count) {
      const std::size_t Node = randomBelow(m_Cluster.nodeCount());
      if (!m_Cluster.isUp(Node))
        continue;
      if (randomBelow(4) == 0 && !m_Plans.empty()) {
        m_Cluster.confirm(Node, m_Plans[randomBelow(m_Plans.size())]);
        continue;
      }
      const auto &View = *m_Cluster.replica(Node).view();
      ProposedChange Request{
          fmt::format("p{}", m_Plans.size()), "ana", 0, View.revision(), {}};
      const EntryId Id{EntryKind::Zone, fmt::format("z{}", randomBelow(5))};
      const Zone Value{Id.m_Name, randomBelow(2) == 0};
      Request.m_Entries.push_back(
          {Id, View.revisionOf(Id),
           randomBelow(8) == 0 ? "" : toJson(Value).dump() + padding()});
      m_Plans.push_back(Request);
      m_Cluster.confirm(Node, Request);
    }
  }

  /// Returns up to 3999 blanks, so that the changes sometimes exceed the size
  /// at which the writer compacts them into a snapshot.
  std::string padding() { return std::string(randomBelow(4000), ' '); }

  /// Checks each result of a confirm against the store: every success names the
  /// one revision at which the plan was accepted, and no accepted plan was
  /// reported as a conflict.
  void requireResultsMatchStore() const {
    std::map<std::string, ConfigurationRevision> Revisions;
    for (const auto &Accepted : m_Cluster.store().history())
      Revisions[Accepted.m_Change.m_PlanId] = Accepted.m_Change.m_Revision;
    for (const auto &[Plan, Result] : m_Cluster.confirmResults()) {
      const auto Accepted = Revisions.find(Plan);
      const bool WasAccepted = Accepted != Revisions.end();
      if (Result.ok())
        CPPUNIT_ASSERT_MESSAGE(Plan + " was reported as accepted",
                               WasAccepted && Accepted->second == *Result);
      else if (errorKind(Result.status()) == ErrorKind::Conflict)
        CPPUNIT_ASSERT_MESSAGE(Plan + " was reported as a conflict",
                               !WasAccepted);
    }
  }

  ConfigurationCluster m_Cluster;
  std::vector<ProposedChange> m_Plans;
};

} // namespace

class RandomisedConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomisedConfigurationTest);
  CPPUNIT_TEST(invariantsHoldUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against combinations of faults that break an invariant of the
  /// configuration. FULMARWINCH_SEED=N replays one seed, FULMARWINCH_SEEDS=N
  /// runs the seeds 1 to N.
  void invariantsHoldUnderRandomFaults() {
    const char *ReplaySeed = std::getenv("FULMARWINCH_SEED");
    const char *Count = std::getenv("FULMARWINCH_SEEDS");
    const std::uint64_t First = ReplaySeed ? std::stoull(ReplaySeed) : 1;
    const std::uint64_t Last =
        ReplaySeed ? First : (Count ? std::stoull(Count) : 12);
    std::uint64_t Steps = 0;
    std::uint64_t Changes = 0;
    for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
      std::cerr << "configuration seed " << Seed << std::endl;
      RandomRun Run(Seed);
      Run.run(60);
      Steps += Run.cluster().m_Usage.m_ExecutedEvents;
      Changes += Run.cluster().store().history().size();
    }
    std::cerr << "steps " << Steps << ", accepted changes " << Changes
              << std::endl;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomisedConfigurationTest);

} // namespace fulmarwinch
