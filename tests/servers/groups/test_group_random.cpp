#include "randomised/group_world.h"

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

  static void injectFault(GroupWorld &World) {
    const std::vector<std::string> Vms = World.vmNames();
    const std::string &Vm = Vms[World.random()() % Vms.size()];
    const double Seconds =
        0.2 + static_cast<double>(World.random()() % 200) / 10;
    const std::size_t Node = World.random()() % World.m_Settings.m_Nodes;
    switch (World.random()() % 8) {
    case 0:
      World.crash(Vm, Seconds, false);
      return;
    case 1:
      World.crash(Vm, Seconds, true);
      return;
    case 2:
    case 3:
      World.partition(Vm, Seconds);
      return;
    case 4:
      World.pause(Node, Seconds);
      return;
    case 5:
      World.restartNode(Node);
      return;
    case 6: {
      ListedVm &Listed = World.listed(Vm);
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
    WorldSettings Settings;
    Settings.m_Seed = Seed;
    Settings.m_Nodes = 3;
    Settings.m_DomainVms = {9, 7};
    Settings.m_StoreLoss = 0.1;
    Settings.m_StoreDelayMs = 900;
    Settings.m_OrderLoss = 0.1;
    Settings.m_OrderDelayMs = 4000;
    Settings.m_UnfencedShare = 0.3;
    Settings.m_Skew = true;
    Settings.m_Groups.m_WeightStore.m_BytesPerVm = 3e9;
    GroupWorld World(Settings);
    World.setSpecs(deploymentSpecs());
    for (int Round = 0; Round < 100 && World.violation().empty(); ++Round) {
      World.run(1.0);
      if (World.chance(0.4))
        injectFault(World);
    }
    endFaultsAndRecover(World);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {}", Seed, World.violation()),
                           World.violation().empty());
    for (const auto &[Name, Spec] : deploymentSpecs())
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("seed {}: {} serves {} of {} after all faults ended",
                      Seed, Name, World.servingGroups(Name), Spec.m_Replicas),
          World.servingGroups(Name) >= Spec.m_Replicas);
  }

  static void endFaultsAndRecover(GroupWorld &World) {
    World.m_Settings.m_StoreLoss = 0;
    World.m_Settings.m_StoreDelayMs = 20;
    World.m_Settings.m_OrderLoss = 0;
    World.m_Settings.m_OrderDelayMs = 20;
    for (const std::string &Vm : World.vmNames())
      World.listed(Vm).m_Drained = false;
    World.setSpecs(deploymentSpecs());
    // 70 rounds of 10 s are longer than the maximum hold-down of a flapping
    // member.
    for (int Round = 0; Round < 70 && World.violation().empty(); ++Round) {
      World.run(10);
      if (World.servingGroups("large") >= 2 &&
          World.servingGroups("small") >= 3)
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
