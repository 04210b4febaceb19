#include "randomised/group_simulation.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Single failures of groups. The controller runs against a simulated store and
/// simulated engines that respond without delay.
class GroupFailuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupFailuresTest);
  CPPUNIT_TEST(memberThatCrashesBeforeItsLoadOrderIsReplaced);
  CPPUNIT_TEST(noGroupIsFormedWithTooFewVms);
  CPPUNIT_TEST(partitionedVmIsNotFreedBeforeItsEngineIsUnloaded);
  CPPUNIT_TEST(flappingMemberIsPutInHoldDown);
  CPPUNIT_TEST(groupsLoadByPriorityAfterDomainOutage);
  CPPUNIT_TEST(groupRecoversFromDelayedOrderToUnfencedEngine);
  CPPUNIT_TEST(pausedLeaseHolderDoesNotOverrideItsSuccessor);
  CPPUNIT_TEST(drainWaitsForInFlightRequests);
  CPPUNIT_TEST(brokenGroupPreemptsLowerPriority);
  CPPUNIT_TEST(groupsAreFormedDespiteLostStoreResponses);
  CPPUNIT_TEST(loadThatExceedsItsTimeoutIsRepeated);
  CPPUNIT_TEST(engineThatNeverFinishesLoadingIsReplaced);
  CPPUNIT_TEST_SUITE_END();

  static DeploymentSpec deploymentSpec(const std::string &Name, std::size_t Vms,
                                       std::size_t Replicas, int Priority) {
    return {Name, "m", "v1", Vms, Replicas, Priority, 1.0, 0.1, true};
  }

  static void assertNoViolation(const GroupSimulation &World) {
    CPPUNIT_ASSERT_EQUAL(std::string(), World.violation());
  }

  static std::unique_ptr<GroupSimulation>
  makeServingWorld(const GroupSimulationSettings &Settings,
                   const DeploymentSpecs &Specs) {
    auto WorldOwner = std::make_unique<GroupSimulation>(Settings);
    GroupSimulation &World = *WorldOwner;
    World.setSpecs(Specs);
    World.runFor(60);
    for (const auto &[Name, Spec] : Specs)
      CPPUNIT_ASSERT_EQUAL(Spec.m_Replicas, World.servingGroupCount(Name));
    return WorldOwner;
  }

  static GroupSimulationSettings
  worldSettings(std::vector<std::size_t> DomainVms) {
    GroupSimulationSettings Settings;
    Settings.m_VmsPerDomain = std::move(DomainVms);
    Settings.m_GroupSettings.m_WeightStore.m_BytesPerVm = 5e9;
    return Settings;
  }

  static const GroupEntry &firstGroupOfDomain0(const GroupSimulation &World) {
    return World.storedAssignments().at("d0").m_Groups.begin()->second;
  }

  /// Guards against a group that waits forever for a member whose VM crashed
  /// after the group was formed and before the load order arrived.
  void memberThatCrashesBeforeItsLoadOrderIsReplaced() {
    GroupSimulation World(worldSettings({5}));
    World.setSpecs({{"a", deploymentSpec("a", 3, 1, 0)}});
    // The number of steps is limited, so that the test fails instead of hanging
    // if the controller never writes the assignment.
    for (int Step = 0;
         Step < 600 && (World.storedAssignments().count("d0") == 0 ||
                        World.storedAssignments().at("d0").m_Groups.empty());
         ++Step) {
      World.step();
      assertNoViolation(World);
    }
    CPPUNIT_ASSERT(World.storedAssignments().count("d0") != 0 &&
                   !World.storedAssignments().at("d0").m_Groups.empty());
    const std::string CrashedVm = firstGroupOfDomain0(World).m_Members[1].m_Vm;
    World.crashEngine(CrashedVm, 3600, false);
    World.runFor(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    assertNoViolation(World);
  }

  /// Guards against VMs that are idle in a group for which the domain has too
  /// few VMs.
  void noGroupIsFormedWithTooFewVms() {
    GroupSimulation World(worldSettings({3}));
    World.setSpecs({{"a", deploymentSpec("a", 4, 1, 0)}});
    World.runFor(30);
    CPPUNIT_ASSERT(World.storedAssignments().at("d0").m_Groups.empty());
    World.setSpecs({{"a", deploymentSpec("a", 4, 1, 0)},
                    {"b", deploymentSpec("b", 3, 1, -1)}});
    World.runFor(30);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("b"));
    assertNoViolation(World);
  }

  /// Guards against assigning a partitioned VM to another group while its
  /// engine, which receives no orders, still runs the former group.
  void partitionedVmIsNotFreedBeforeItsEngineIsUnloaded() {
    const auto WorldOwner = makeServingWorld(
        worldSettings({4}), {{"a", deploymentSpec("a", 3, 1, 0)}});
    GroupSimulation &World = *WorldOwner;
    const std::string PartitionedVm =
        firstGroupOfDomain0(World).m_Members[0].m_Vm;
    World.partitionVm(PartitionedVm, 120);
    World.runFor(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    CPPUNIT_ASSERT(
        World.storedAssignments().at("d0").m_Vms.at(PartitionedVm).m_State ==
        VmState::Releasing);
    World.runFor(90);
    CPPUNIT_ASSERT(
        World.storedAssignments().at("d0").m_Vms.at(PartitionedVm).m_State ==
        VmState::Free);
    CPPUNIT_ASSERT(World.engine(PartitionedVm).m_State == EngineState::Empty);
    assertNoViolation(World);
  }

  /// Guards against a flapping member that makes its group reload each time the
  /// member is reachable again.
  void flappingMemberIsPutInHoldDown() {
    const auto WorldOwner = makeServingWorld(
        worldSettings({3}), {{"a", deploymentSpec("a", 3, 1, 0)}});
    GroupSimulation &World = *WorldOwner;
    const std::string FlappingVm = firstGroupOfDomain0(World).m_Members[2].m_Vm;
    for (int Failure = 0; Failure < 4; ++Failure) {
      World.crashEngine(FlappingVm, 3, false);
      World.runFor(5);
    }
    // After four failures the VM is in hold-down for 40 s from its last
    // recovery.
    World.runFor(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroupCount("a"));
    World.runFor(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    assertNoViolation(World);
  }

  /// Guards against groups that all load at the same time after a domain
  /// outage, so that each gets a small share of the weight store throughput and
  /// the group with the highest priority serves late.
  void groupsLoadByPriorityAfterDomainOutage() {
    GroupSimulationSettings Settings = worldSettings({12});
    Settings.m_GroupSettings.m_WeightStore.m_BytesPerSecond = 4e9;
    const auto WorldOwner =
        makeServingWorld(Settings, {{"a", deploymentSpec("a", 4, 1, 2)},
                                    {"b", deploymentSpec("b", 4, 2, 1)}});
    GroupSimulation &World = *WorldOwner;
    for (const std::string &Vm : World.vmNames())
      World.crashEngine(Vm, 30, true);
    World.runFor(31);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroupCount("a"));
    std::size_t MaxLoadingGroups = 0;
    for (int Step = 0; Step < 1200; ++Step) {
      World.step();
      std::size_t LoadingGroups = 0;
      for (const auto &[Id, Group] :
           World.storedAssignments().at("d0").m_Groups)
        LoadingGroups += Group.m_State == GroupState::Loading ? 1 : 0;
      MaxLoadingGroups = std::max(MaxLoadingGroups, LoadingGroups);
      CPPUNIT_ASSERT(World.servingGroupCount("b") == 0 ||
                     World.servingGroupCount("a") == 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MaxLoadingGroups);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, World.servingGroupCount("b"));
    assertNoViolation(World);
  }

  /// Guards against an engine that does not check fencing tokens and accepts a
  /// delayed order of an earlier generation: the group must not serve with it,
  /// and must recover.
  void groupRecoversFromDelayedOrderToUnfencedEngine() {
    GroupSimulationSettings Settings = worldSettings({3});
    Settings.m_ShareOfEnginesWithoutFencing = 1;
    DeploymentSpec Spec = deploymentSpec("a", 3, 1, 0);
    Spec.m_EngineChecksFencing = false;
    const auto WorldOwner = makeServingWorld(Settings, {{"a", Spec}});
    GroupSimulation &World = *WorldOwner;
    FakeEngine &Engine = World.engine("d0-vm01");
    Engine.m_Group = "old";
    Engine.m_Generation = 1;
    World.runFor(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroupCount("a"));
    World.runFor(30);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    assertNoViolation(World);
  }

  /// Guards against a lease holder that is paused beyond its lease and then
  /// sends writes and orders that override those of the next lease holder.
  void pausedLeaseHolderDoesNotOverrideItsSuccessor() {
    GroupSimulationSettings Settings = worldSettings({5});
    Settings.m_NodeCount = 3;
    Settings.m_ShardCount = 1;
    const auto WorldOwner =
        makeServingWorld(Settings, {{"a", deploymentSpec("a", 3, 1, 0)}});
    GroupSimulation &World = *WorldOwner;
    const std::string Writer = World.storedAssignments().at("d0").m_Writer;
    const std::size_t PausedNode = static_cast<std::size_t>(Writer[1] - '0');
    World.pauseNode(PausedNode, 30);
    World.crashEngine(firstGroupOfDomain0(World).m_Members[0].m_Vm, 3600,
                      false);
    World.runFor(60);
    CPPUNIT_ASSERT(World.storedAssignments().at("d0").m_Writer != Writer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    assertNoViolation(World);
  }

  /// Guards against a planned drain that aborts in-flight requests (invariant
  /// I9).
  void drainWaitsForInFlightRequests() {
    const auto WorldOwner = makeServingWorld(
        worldSettings({3}), {{"a", deploymentSpec("a", 3, 1, 0)}});
    GroupSimulation &World = *WorldOwner;
    const std::string Head = firstGroupOfDomain0(World).m_Members[0].m_Vm;
    World.engine(Head).m_RunningRequests = 1;
    World.listedVm("d0-vm02").m_Drained = true;
    World.runFor(30);
    CPPUNIT_ASSERT(firstGroupOfDomain0(World).m_State == GroupState::Draining);
    CPPUNIT_ASSERT(World.engine(Head).m_State == EngineState::Ready);
    World.engine(Head).m_RunningRequests = 0;
    World.runFor(10);
    CPPUNIT_ASSERT(World.engine(Head).m_State == EngineState::Empty);
    assertNoViolation(World);
  }

  /// Guards against a broken group that waits while a group of lower priority
  /// serves on VMs that could replace the missing members.
  void brokenGroupPreemptsLowerPriority() {
    DeploymentSpec High = deploymentSpec("high", 3, 1, 5);
    High.m_DowntimeWeight = 10;
    const auto WorldOwner = makeServingWorld(
        worldSettings({6}),
        {{"high", High}, {"low", deploymentSpec("low", 3, 1, 0)}});
    GroupSimulation &World = *WorldOwner;
    for (const auto &[Id, Group] : World.storedAssignments().at("d0").m_Groups)
      if (Group.m_Deployment == "high")
        World.crashEngine(Group.m_Members[0].m_Vm, 3600, false);
    World.runFor(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("high"));
    assertNoViolation(World);
  }

  /// Guards against a controller that acts on an unknown store state, or makes
  /// no progress, while 40 % of the store responses are lost.
  void groupsAreFormedDespiteLostStoreResponses() {
    GroupSimulationSettings Settings = worldSettings({5});
    Settings.m_StoreLossProbability = 0.4;
    GroupSimulation World(Settings);
    World.setSpecs({{"a", deploymentSpec("a", 3, 1, 0)}});
    World.runFor(200);
    assertNoViolation(World);
    World.m_Settings.m_StoreLossProbability = 0;
    World.runFor(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    assertNoViolation(World);
  }

  static void stallLoad(FakeEngine &Engine) {
    if (Engine.m_State == EngineState::Loading)
      Engine.m_WeightBytesLeft = 1e18;
  }

  /// Guards against a group without a spare VM that waits forever for an engine
  /// whose load never finishes.
  void loadThatExceedsItsTimeoutIsRepeated() {
    GroupSimulation World(worldSettings({3}));
    World.setSpecs({{"a", deploymentSpec("a", 3, 1, 0)}});
    FakeEngine &Engine = World.engine("d0-vm01");
    for (int Step = 0; Step < 600 && Engine.m_State != EngineState::Loading;
         ++Step)
      World.step();
    CPPUNIT_ASSERT(Engine.m_State == EngineState::Loading);
    stallLoad(Engine);
    World.runFor(15);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroupCount("a"));
    World.runFor(45);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    assertNoViolation(World);
  }

  /// Guards against repeating the load forever on a VM that never finishes it,
  /// while a spare VM is idle.
  void engineThatNeverFinishesLoadingIsReplaced() {
    GroupSimulation World(worldSettings({4}));
    World.setSpecs({{"a", deploymentSpec("a", 3, 1, 0)}});
    FakeEngine &Engine = World.engine("d0-vm01");
    for (int Step = 0; Step < 4000 && World.servingGroupCount("a") == 0;
         ++Step) {
      World.step();
      stallLoad(Engine);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroupCount("a"));
    CPPUNIT_ASSERT(
        World.storedAssignments().at("d0").m_Vms.at("d0-vm01").m_State !=
        VmState::Assigned);
    assertNoViolation(World);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupFailuresTest);

} // namespace fulmarwinch
