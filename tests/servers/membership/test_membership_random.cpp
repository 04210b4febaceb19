#include "servers/membership/membership.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <cstdlib>
#include <ctime>
#include <iostream>
#include <memory>
#include <random>

namespace fulmarwinch {

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(50);

// Seed 6 simulates 200 nodes. It takes minutes without optimisation, so by
// default it runs only in the release build, which scripts/check.sh runs as
// well.
#ifdef NDEBUG
constexpr std::uint64_t DefaultSeeds = 6;
#else
constexpr std::uint64_t DefaultSeeds = 5;
#endif

/// Simulates many nodes in a network with message loss, delay and partitions.
class SimulatedCluster {
public:
  SimulatedCluster(std::uint64_t Seed, std::size_t NodeCount)
      : m_Random(Seed), m_Nodes(NodeCount) {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      restart(Index);
  }

  void run(Duration Length) {
    const MonotonicTime End = m_Now + Length;
    while (m_Now < End)
      step();
  }

  /// Injects one random fault. Partitions separate regions.
  void injectFault() {
    const std::size_t Index = randomBelow(m_Nodes.size());
    switch (randomBelow(5)) {
    case 0:
      restart(Index);
      break;
    case 1: // The pause may last until the node is suspected or marked as dead.
      m_Nodes[Index].m_PausedUntil =
          m_Now + std::chrono::seconds(1 + randomBelow(20));
      break;
    case 2:
      m_IsPartitioned = !m_IsPartitioned;
      break;
    case 3:
      m_LossPercent = randomBelow(20);
      break;
    default:
      stop(Index, randomBelow(2) == 0);
    }
  }

  void stop(std::size_t Index, bool IsGraceful) {
    Node &CurrentNode = m_Nodes[Index];
    if (!CurrentNode.m_Member)
      return;
    MembershipEffects Effects;
    if (IsGraceful)
      CurrentNode.m_Member->leave(m_Now, Effects);
    deliver(Index, Effects);
    CurrentNode.m_Member.reset();
  }

  void endFaults() {
    m_IsPartitioned = false;
    m_LossPercent = 0;
    for (Node &CurrentNode : m_Nodes)
      CurrentNode.m_PausedUntil = m_Now;
  }

  /// Returns a description of the first difference between the member tables
  /// and the actual state of the nodes, or an empty string.
  std::string findTableMismatch() const {
    for (const Node &Observer : m_Nodes) {
      if (!Observer.m_Member)
        continue;
      if (Observer.m_Member->peers().size() >
          NeighbourCount + Membership::MaxInboundPeers)
        return "a node has too many peers";
      for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
        const Node &Observed = m_Nodes[Index];
        const MemberRecord *Record =
            Observer.m_Member->table().find(nodeName(Index));
        const std::string Location =
            fmt::format("{} in the table of {}", nodeName(Index),
                        Observer.m_Member->table().self().m_NodeId);
        if (!Observed.m_Member && Record && Record->isReachable())
          return "a stopped node is reachable: " + Location;
        if (!Observed.m_Member)
          continue;
        if (!Record || !Record->isReachable())
          return "a live node is missing or dead: " + Location;
        if (Record->m_Incarnation !=
            Observed.m_Member->table().self().m_Incarnation)
          return "a former incarnation is left: " + Location;
      }
    }
    return "";
  }

  /// Sends the records of all nodes to every node, so that all tables are
  /// complete, as after a long time without faults.
  void fillTables() {
    for (Node &CurrentNode : m_Nodes) {
      PeerMessage Message;
      Message.m_Kind = PeerMessageKind::Records;
      Message.m_SenderId = "filler";
      for (const Node &Other : m_Nodes)
        Message.m_Updates.push_back(Other.m_Member->table().self());
      MembershipEffects Effects;
      CurrentNode.m_Member->onMessage(encodePeerMessage(Message), m_Now,
                                      Effects);
    }
  }

  std::size_t m_SentBytes = 0;
  std::size_t m_Messages = 0;

private:
  static constexpr std::size_t NeighbourCount = 4;

  struct Node {
    std::unique_ptr<Membership> m_Member;
    MonotonicTime m_PausedUntil;
    std::vector<std::string> m_ReceivedMessages;
  };

  std::size_t randomBelow(std::size_t Bound) { return m_Random() % Bound; }
  static std::string nodeName(std::size_t Index) {
    return fmt::format("node-{}", Index);
  }

  void restart(std::size_t Index) {
    const std::string Region = fmt::format("region-{}", Index % 3);
    MemberRecord Self{nodeName(Index),
                      std::uint64_t(1000 + m_Now.time_since_epoch().count()),
                      MemberState::Alive,
                      fmt::format("{}-{}", Region, Index / 3 % 3),
                      Region,
                      std::to_string(Index)};
    m_Nodes[Index].m_Member = std::make_unique<Membership>(
        Self, std::vector<std::string>{"0", "1", "2"}, m_Random());
    m_Nodes[Index].m_ReceivedMessages.clear();
  }

  void step() {
    m_Now += StepInterval;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      Node &CurrentNode = m_Nodes[Index];
      if (!CurrentNode.m_Member)
        CurrentNode.m_ReceivedMessages.clear();
      if (!CurrentNode.m_Member || m_Now < CurrentNode.m_PausedUntil)
        continue;
      MembershipEffects Effects;
      for (const std::string &Bytes :
           std::exchange(CurrentNode.m_ReceivedMessages, {}))
        CurrentNode.m_Member->onMessage(Bytes, m_Now, Effects);
      CurrentNode.m_Member->tick(m_Now, Effects);
      deliver(Index, Effects);
    }
  }

  void deliver(std::size_t From, const MembershipEffects &Effects) {
    for (const SendToPeer &Message : Effects.m_Messages) {
      m_SentBytes += Message.m_Bytes.size();
      ++m_Messages;
      const std::size_t To = std::stoul(Message.m_Address);
      if (m_IsPartitioned && From % 3 != To % 3)
        continue;
      if (randomBelow(100) >= m_LossPercent)
        m_Nodes[To].m_ReceivedMessages.push_back(Message.m_Bytes);
    }
  }

  std::mt19937_64 m_Random;
  std::vector<Node> m_Nodes;
  MonotonicTime m_Now;
  bool m_IsPartitioned = false;
  std::size_t m_LossPercent = 0;
};

} // namespace

/// Guards against live members that other members consider dead after all
/// faults have ended, and against traffic per node that grows with the number
/// of members.
class MembershipRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipRandomTest);
  CPPUNIT_TEST(tablesMatchNodesAfterFaultsEnd);
  CPPUNIT_TEST(trafficPerNodeIsBounded);
  CPPUNIT_TEST_SUITE_END();

  void tablesMatchNodesAfterFaultsEnd() {
    const char *SettingText = std::getenv("FULMARWINCH_SEED");
    const std::uint64_t FirstSeed =
        SettingText ? std::strtoull(SettingText, nullptr, 10) : 1;
    const std::uint64_t SeedCount = SettingText ? 1 : DefaultSeeds;
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed) {
      const std::size_t MemberCount = Seed % 6 == 0 ? 200 : 9 + Seed * 7 % 30;
      std::cout << fmt::format("membership seed {} (replay: "
                               "FULMARWINCH_SEED={}) with {} nodes\n",
                               Seed, Seed, MemberCount)
                << std::flush;
      SimulatedCluster Cluster(Seed, MemberCount);
      Cluster.run(std::chrono::seconds(20));
      for (int FaultIndex = 0; FaultIndex < 15; ++FaultIndex) {
        Cluster.injectFault();
        Cluster.run(std::chrono::seconds(2));
      }
      Cluster.endFaults();
      // Each node contacts one random dead member every 5 s, so that recovery
      // takes several rounds.
      std::string Mismatch = "not run";
      for (int Round = 0; Round < 30 && !Mismatch.empty(); ++Round) {
        Cluster.run(std::chrono::seconds(10));
        Mismatch = Cluster.findTableMismatch();
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), Mismatch);
    }
  }

  /// Prints the traffic and CPU time per node. FULMARWINCH_MEMBERS=<count> sets
  /// the number of members, for larger runs.
  void trafficPerNodeIsBounded() {
    const char *SettingText = std::getenv("FULMARWINCH_MEMBERS");
    std::vector<std::size_t> MemberCounts{10, 100};
    if (SettingText)
      MemberCounts = {std::strtoul(SettingText, nullptr, 10)};
    for (const std::size_t MemberCount : MemberCounts) {
      SimulatedCluster Cluster(1, MemberCount);
      Cluster.fillTables();
      Cluster.run(std::chrono::seconds(20));
      reportTraffic("quiet", Cluster, MemberCount);
      for (std::size_t Index = 0; Index < MemberCount; Index += 100)
        Cluster.stop(Index + 1, false);
      reportTraffic("1 % fail", Cluster, MemberCount);
    }
  }

  static void reportTraffic(const char *Name, SimulatedCluster &Cluster,
                            std::size_t MemberCount) {
    constexpr std::size_t Seconds = 20;
    Cluster.m_SentBytes = Cluster.m_Messages = 0;
    const std::clock_t CpuTimeBefore = std::clock();
    Cluster.run(std::chrono::seconds(Seconds));
    const double CpuSeconds =
        double(std::clock() - CpuTimeBefore) / CLOCKS_PER_SEC;
    const std::size_t BytesPerSecondPerNode =
        Cluster.m_SentBytes / MemberCount / Seconds;
    std::cout << fmt::format("{} members, {}: {} bytes/s and {:.1f} messages/s "
                             "sent per node, {:.3f} % of a core per node\n",
                             MemberCount, Name, BytesPerSecondPerNode,
                             double(Cluster.m_Messages) /
                                 double(MemberCount * Seconds),
                             CpuSeconds / double(MemberCount * Seconds) * 100)
              << std::flush;
    // Budget of control-plane traffic per node in bytes per second, from
    // design.md, section 1.5.
    CPPUNIT_ASSERT(BytesPerSecondPerNode <= 4096);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipRandomTest);

} // namespace fulmarwinch
