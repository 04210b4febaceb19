#include "randomised/configuration_cluster.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <vector>

namespace fulmarwinch {

namespace {

double secondsOf(Duration Length) {
  return static_cast<double>(Length.count()) / 1e6;
}

struct Measurement {
  double m_MedianPropagationSeconds = 0;
  double m_MaxPropagationSeconds = 0;
  double m_BytesPerSecond = 0;
  double m_StoreReadsPerSecond = 0;
  double m_RefusalShare = 0;
};

ProposedChange organisationChange(int Number, ConfigurationRevision Base) {
  const std::string Name = fmt::format("o{}", Number);
  const Organisation Value{Name, {std::string(64, 'a')}, 1, 10, 1000, 0};
  return {fmt::format("plan-n1-1796385600-{}", Number),
          "ana",
          1796385600,
          Base,
          {{{EntryKind::Organisation, Name}, 0, toJson(Value).dump()}}};
}

/// Simulates \p Nodes nodes for 60 s with one change every 4.32 s, which is
/// 20,000 a day, and measures after a start-up of 5 s.
Measurement measureNormalOperation(std::size_t Nodes, Duration WatchTimeout) {
  ConfigurationClusterOptions Options;
  Options.m_NodeCount = Nodes;
  Options.m_ZoneCount = Nodes < 100 ? 3 : 9;
  Options.m_WatchTimeout = WatchTimeout;
  Options.m_CountPeerBytes = true;
  ConfigurationCluster Cluster(Options);
  Cluster.runFor(std::chrono::seconds(5));
  Cluster.m_Usage = {};
  const std::uint64_t ReadsBefore = Cluster.store().m_ReadCount;
  constexpr int Changes = 14;
  const Duration Interval = std::chrono::milliseconds(4320);
  for (int Number = 0; Number < Changes; ++Number) {
    Cluster.confirm(
        Cluster.random()() % Nodes,
        organisationChange(Number, Cluster.store().history().size()));
    Cluster.runFor(Interval);
  }
  Measurement Result;
  std::vector<double> PropagationSeconds;
  for (int Number = 1; Number <= Changes; ++Number) {
    const auto PropagationTime =
        Cluster.propagationTime(static_cast<ConfigurationRevision>(Number));
    CPPUNIT_ASSERT_MESSAGE("a change did not reach every node",
                           PropagationTime);
    PropagationSeconds.push_back(secondsOf(*PropagationTime));
  }
  std::sort(PropagationSeconds.begin(), PropagationSeconds.end());
  Result.m_MedianPropagationSeconds =
      PropagationSeconds[PropagationSeconds.size() / 2];
  Result.m_MaxPropagationSeconds = PropagationSeconds.back();
  const double Length = Changes * secondsOf(Interval);
  Result.m_BytesPerSecond = static_cast<double>(Cluster.m_Usage.m_PeerBytes) /
                            Length / static_cast<double>(Nodes);
  Result.m_StoreReadsPerSecond =
      static_cast<double>(Cluster.store().m_ReadCount - ReadsBefore) / Length;
  Result.m_RefusalShare =
      static_cast<double>(Cluster.m_Usage.m_SamplesRefusingNewWork) /
      static_cast<double>(Cluster.m_Usage.m_FreshnessSamples);
  std::cerr << fmt::format(
                   "\nfigures: nodes {} watch {:.2f} s: in force on the last "
                   "node after {:.3f} s (median), {:.3f} s (most); {:.0f} "
                   "B/s per node; {:.0f} store reads/s; refusing {:.4f}%",
                   Nodes, secondsOf(WatchTimeout),
                   Result.m_MedianPropagationSeconds,
                   Result.m_MaxPropagationSeconds, Result.m_BytesPerSecond,
                   Result.m_StoreReadsPerSecond, 100 * Result.m_RefusalShare)
            << std::endl;
  return Result;
}

/// Prints the share of the nodes' time in which they refuse new work, for the
/// 60 s that \p Fault lasts and for 10 s after \p Repair.
template <typename FaultFunction, typename RepairFunction>
void measureRefusalsDuring(const char *Name, FaultFunction Fault,
                           RepairFunction Repair) {
  for (const std::size_t Nodes : {std::size_t(9), std::size_t(90)}) {
    ConfigurationClusterOptions Options;
    Options.m_NodeCount = Nodes;
    ConfigurationCluster Cluster(Options);
    Cluster.runFor(std::chrono::seconds(5));
    Cluster.confirm(0, organisationChange(0, 0));
    Cluster.runFor(std::chrono::seconds(5));
    const auto RefusalPercentOver = [&Cluster](Duration Length) {
      Cluster.m_Usage = {};
      Cluster.runFor(Length);
      return 100.0 *
             static_cast<double>(Cluster.m_Usage.m_SamplesRefusingNewWork) /
             static_cast<double>(Cluster.m_Usage.m_FreshnessSamples);
    };
    Fault(Cluster);
    const double FirstPercent = RefusalPercentOver(std::chrono::seconds(10));
    const double RestPercent = RefusalPercentOver(std::chrono::seconds(50));
    Repair(Cluster);
    const double AfterPercent = RefusalPercentOver(std::chrono::seconds(10));
    Cluster.requireConverged();
    std::cerr << fmt::format("cost: {} with {} nodes: refusing {:.2f}% in the "
                             "first 10 s, {:.2f}% in the next 50 s, {:.2f}% "
                             "in the 10 s after",
                             Name, Nodes, FirstPercent, RestPercent,
                             AfterPercent)
              << std::endl;
  }
}

} // namespace

/// Measures the propagation time, traffic and refusals that are recorded in
/// docs/decisions/configuration.md. The fleets of 90 and 900 nodes run with
/// FULMARWINCH_FIGURES=1 only.
class ConfigurationPerformanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationPerformanceTest);
  CPPUNIT_TEST(changesReachEveryNodeWithinBounds);
  CPPUNIT_TEST(newWorkRefusedDuringFaults);
  CPPUNIT_TEST_SUITE_END();

  static bool isFullRun() { return std::getenv("FULMARWINCH_FIGURES"); }

  /// Guards against slow or costly distribution. In simulated time, a change
  /// has to reach every node within 5 s at the present fleet size and within
  /// 19 s at the target size, with less than 4 KB/s of traffic per node and no
  /// new work refused without a fault.
  void changesReachEveryNodeWithinBounds() {
    constexpr Duration WatchTimeout = std::chrono::milliseconds(250);
    std::vector<std::size_t> Sizes{9};
    if (isFullRun())
      Sizes = {9, 90, 900};
    for (const std::size_t Nodes : Sizes) {
      const Measurement Result = measureNormalOperation(Nodes, WatchTimeout);
      CPPUNIT_ASSERT(Result.m_MaxPropagationSeconds <
                     (Nodes < 10 ? 5.0 : 19.0));
      CPPUNIT_ASSERT(Result.m_BytesPerSecond < 4096);
      CPPUNIT_ASSERT_EQUAL(0.0, Result.m_RefusalShare);
    }
    if (isFullRun())
      for (const std::size_t Nodes : Sizes)
        measureNormalOperation(Nodes, std::chrono::seconds(1));
  }

  void newWorkRefusedDuringFaults() {
    if (!isFullRun())
      return;
    measureRefusalsDuring(
        "store outage",
        [](ConfigurationCluster &Cluster) {
          Cluster.store().m_IsUnavailable = true;
        },
        [](ConfigurationCluster &Cluster) {
          Cluster.store().m_IsUnavailable = false;
        });
    measureRefusalsDuring(
        "one of three zones partitioned",
        [](ConfigurationCluster &Cluster) {
          for (std::size_t Node = 2; Node < Cluster.nodeCount(); Node += 3)
            Cluster.setPartition(Node, 1);
        },
        [](ConfigurationCluster &Cluster) { Cluster.healPartitions(); });
    measureRefusalsDuring(
        "one node replaced",
        [](ConfigurationCluster &Cluster) {
          Cluster.stopNode(4);
          Cluster.startNode(4);
        },
        [](ConfigurationCluster &) {});
    measureRefusalsDuring(
        "all nodes replaced",
        [](ConfigurationCluster &Cluster) {
          for (std::size_t Node = 0; Node < Cluster.nodeCount(); ++Node)
            Cluster.stopNode(Node);
          for (std::size_t Node = 0; Node < Cluster.nodeCount(); ++Node)
            Cluster.startNode(Node);
        },
        [](ConfigurationCluster &) {});
    measureRefusalsDuring(
        "one node replaced in a store outage",
        [](ConfigurationCluster &Cluster) {
          Cluster.store().m_IsUnavailable = true;
          Cluster.runFor(std::chrono::seconds(20));
          Cluster.stopNode(4);
          Cluster.startNode(4);
        },
        [](ConfigurationCluster &Cluster) {
          Cluster.store().m_IsUnavailable = false;
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPerformanceTest);

} // namespace fulmarwinch
