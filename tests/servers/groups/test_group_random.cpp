#include "randomised/group_simulation.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <cstdlib>
#include <iostream>

namespace fulmarwinch {

/// Randomised runs of several controllers that share one store.
/// FULMARWINCH_SEED=<seed> replays one run; FULMARWINCH_SEEDS sets the number
/// of runs.
class GroupRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupRandomTest);
  CPPUNIT_TEST(invariantsHoldUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

  static std::uint64_t environmentNumber(const char *Name,
                                         std::uint64_t Default) {
    const char *Text = std::getenv(Name);
    return Text != nullptr ? std::strtoull(Text, nullptr, 10) : Default;
  }

  static DeploymentSpecs deploymentSpecs() {
    DeploymentSpec Large{"large", "m1", "v1", 3, 2, 2, 2.0, 0.1, true};
    DeploymentSpec Small{"small", "m2", "v1", 2, 3, 1, 1.0, 0.1, true};
    return {{"large", Large}, {"small", Small}};
  }

  static void injectFault(GroupSimulation &World) {
    const std::vector<std::string> Vms = World.vmNames();
    const std::string &Vm = Vms[World.random()() % Vms.size()];
    const double Seconds =
        0.2 + static_cast<double>(World.random()() % 200) / 10;
    const std::size_t Node = World.random()() % World.m_Settings.m_NodeCount;
    switch (World.random()() % 8) {
    case 0:
      World.crashEngine(Vm, Seconds, false);
      return;
    case 1:
      World.crashEngine(Vm, Seconds, true);
      return;
    case 2:
    case 3:
      World.partitionVm(Vm, Seconds);
      return;
    case 4:
      World.pauseNode(Node, Seconds);
      return;
    case 5:
      World.restartNode(Node);
      return;
    case 6: {
      ListedVm &Listed = World.listedVm(Vm);
      Listed.m_Drained = !Listed.m_Drained;
      return;
    }
    default: {
      DeploymentSpecs Specs = deploymentSpecs();
      Specs["small"].m_Replicas = World.random()() % 4;
      World.setSpecs(Specs);
      return;
    }
    }
  }

  static void runSeed(std::uint64_t Seed) {
    GroupSimulationSettings Settings;
    Settings.m_Seed = Seed;
    Settings.m_NodeCount = 3;
    Settings.m_VmsPerDomain = {9, 7};
    Settings.m_StoreLossProbability = 0.1;
    Settings.m_MaxStoreDelayMs = 900;
    Settings.m_OrderLossProbability = 0.1;
    Settings.m_MaxOrderDelayMs = 4000;
    Settings.m_ShareOfEnginesWithoutFencing = 0.3;
    Settings.m_NodeClocksDrift = true;
    Settings.m_GroupSettings.m_WeightStore.m_BytesPerVm = 3e9;
    GroupSimulation World(Settings);
    World.setSpecs(deploymentSpecs());
    for (int Round = 0; Round < 100 && World.violation().empty(); ++Round) {
      World.runFor(1.0);
      if (World.drawWithProbability(0.4))
        injectFault(World);
    }
    endFaultsAndRecover(World);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", Seed, World.violation()),
                           World.violation().empty());
    for (const auto &[Name, Spec] : deploymentSpecs())
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("seed {}: {} serves {} of {} after all faults ended",
                      Seed, Name, World.servingGroupCount(Name),
                      Spec.m_Replicas),
          World.servingGroupCount(Name) >= Spec.m_Replicas);
  }

  static void endFaultsAndRecover(GroupSimulation &World) {
    World.m_Settings.m_StoreLossProbability = 0;
    World.m_Settings.m_MaxStoreDelayMs = 20;
    World.m_Settings.m_OrderLossProbability = 0;
    World.m_Settings.m_MaxOrderDelayMs = 20;
    for (const std::string &Vm : World.vmNames())
      World.listedVm(Vm).m_Drained = false;
    World.setSpecs(deploymentSpecs());
    // 70 rounds of 10 s are longer than the maximum hold-down of a flapping
    // member.
    for (int Round = 0; Round < 70 && World.violation().empty(); ++Round) {
      World.runFor(10);
      if (World.servingGroupCount("large") >= 2 &&
          World.servingGroupCount("small") >= 3)
        return;
    }
  }

  /// Guards against sequences of faults that violate invariant I1 or I2, let
  /// two nodes hold the lease of one shard, or leave groups unserved after the
  /// faults have ended.
  void invariantsHoldUnderRandomFaults() {
    const std::uint64_t ReplaySeed = environmentNumber("FULMARWINCH_SEED", 0);
    const std::uint64_t SeedCount = environmentNumber("FULMARWINCH_SEEDS", 20);
    const std::uint64_t FirstSeed = ReplaySeed != 0 ? ReplaySeed : 1;
    for (std::uint64_t Seed = FirstSeed;
         Seed < FirstSeed + (ReplaySeed != 0 ? 1 : SeedCount); ++Seed) {
      std::cout << "seed " << Seed << std::endl;
      runSeed(Seed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupRandomTest);

} // namespace fulmarwinch
