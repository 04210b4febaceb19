#include "randomised/group_world.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Failures of groups one at a time, with the controller over a store and
/// engines that answer at once.
class GroupFailuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupFailuresTest);
  CPPUNIT_TEST(memberDiesBeforeDispatch);
  CPPUNIT_TEST(incompleteGroupIsNotFormed);
  CPPUNIT_TEST(partitionedVmIsNotReassigned);
  CPPUNIT_TEST(flappingMemberIsHeld);
  CPPUNIT_TEST(darkDomainLoadsInOrder);
  CPPUNIT_TEST(unfencedEngineGetsLateOrder);
  CPPUNIT_TEST(pausedHolderWakes);
  CPPUNIT_TEST(drainFinishesWork);
  CPPUNIT_TEST(preemptsLowerPriority);
  CPPUNIT_TEST(lostAnswers);
  CPPUNIT_TEST(stuckLoadIsRepeated);
  CPPUNIT_TEST(enginesThatNeverLoadAreReplaced);
  CPPUNIT_TEST_SUITE_END();

  static DeploymentSpec spec(const std::string &Name, std::size_t Vms,
                             std::size_t Replicas, int Priority) {
    return {Name, "m", "v1", Vms, Replicas, Priority, 1.0, 0.1, true};
  }

  static void assertNoViolation(const GroupWorld &World) {
    CPPUNIT_ASSERT_EQUAL(std::string(), World.violation());
  }

  static std::unique_ptr<GroupWorld> serving(const WorldSettings &Settings,
                                             const DeploymentSpecs &Specs) {
    auto Owner = std::make_unique<GroupWorld>(Settings);
    GroupWorld &World = *Owner;
    World.setSpecs(Specs);
    World.run(60);
    for (const auto &[Name, Spec] : Specs)
      CPPUNIT_ASSERT_EQUAL(Spec.m_Replicas, World.servingGroups(Name));
    return Owner;
  }

  static WorldSettings settings(std::vector<std::size_t> DomainVms) {
    WorldSettings Settings;
    Settings.m_DomainVms = std::move(DomainVms);
    Settings.m_Groups.m_WeightStore.m_BytesPerVm = 5e9;
    return Settings;
  }

  static const GroupEntry &onlyGroup(const GroupWorld &World) {
    return World.stored().at("d0").m_Groups.begin()->second;
  }

  /// Guards against a group that waits for ever for a member that died after
  /// it was chosen and before its load order arrived.
  void memberDiesBeforeDispatch() {
    GroupWorld World(settings({5}));
    World.setSpecs({{"a", spec("a", 3, 1, 0)}});
    // Bounded, so that a controller that never writes fails and doesn't hang.
    for (int Step = 0; Step < 600 && (World.stored().count("d0") == 0 ||
                                      World.stored().at("d0").m_Groups.empty());
         ++Step) {
      World.step();
      assertNoViolation(World);
    }
    CPPUNIT_ASSERT(World.stored().count("d0") != 0 &&
                   !World.stored().at("d0").m_Groups.empty());
    const std::string Dead = onlyGroup(World).m_Members[1].m_Vm;
    World.crash(Dead, 3600, false);
    World.run(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    assertNoViolation(World);
  }

  /// Guards against VMs that idle in a group that lacks members.
  void incompleteGroupIsNotFormed() {
    GroupWorld World(settings({3}));
    World.setSpecs({{"a", spec("a", 4, 1, 0)}});
    World.run(30);
    CPPUNIT_ASSERT(World.stored().at("d0").m_Groups.empty());
    World.setSpecs({{"a", spec("a", 4, 1, 0)}, {"b", spec("b", 3, 1, -1)}});
    World.run(30);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("b"));
    assertNoViolation(World);
  }

  /// Guards against a VM that is assigned anew while its old engine, which
  /// nobody can reach, still runs the old group.
  void partitionedVmIsNotReassigned() {
    const auto Owner = serving(settings({4}), {{"a", spec("a", 3, 1, 0)}});
    GroupWorld &World = *Owner;
    const std::string Lost = onlyGroup(World).m_Members[0].m_Vm;
    World.partition(Lost, 120);
    World.run(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    CPPUNIT_ASSERT(World.stored().at("d0").m_Vms.at(Lost).m_State ==
                   VmState::Releasing);
    World.run(90);
    CPPUNIT_ASSERT(World.stored().at("d0").m_Vms.at(Lost).m_State ==
                   VmState::Free);
    CPPUNIT_ASSERT(World.engine(Lost).m_State == EngineState::Empty);
    assertNoViolation(World);
  }

  /// Guards against reloading a group each time a flapping member returns.
  void flappingMemberIsHeld() {
    const auto Owner = serving(settings({3}), {{"a", spec("a", 3, 1, 0)}});
    GroupWorld &World = *Owner;
    const std::string Vm = onlyGroup(World).m_Members[2].m_Vm;
    for (int Round = 0; Round < 4; ++Round) {
      World.crash(Vm, 3, false);
      World.run(5);
    }
    // Four failures: 40 s hold after the last return.
    World.run(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroups("a"));
    World.run(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    assertNoViolation(World);
  }

  /// Guards against loading all groups at the same low rate after an outage.
  void darkDomainLoadsInOrder() {
    WorldSettings Settings = settings({12});
    Settings.m_Groups.m_WeightStore.m_BytesPerSecond = 4e9;
    const auto Owner = serving(
        Settings, {{"a", spec("a", 4, 1, 2)}, {"b", spec("b", 4, 2, 1)}});
    GroupWorld &World = *Owner;
    for (const std::string &Vm : World.vmNames())
      World.crash(Vm, 30, true);
    World.run(31);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroups("a"));
    std::size_t MostLoading = 0;
    for (int Step = 0; Step < 1200; ++Step) {
      World.step();
      std::size_t Loading = 0;
      for (const auto &[Id, Group] : World.stored().at("d0").m_Groups)
        Loading += Group.m_State == GroupState::Loading ? 1 : 0;
      MostLoading = std::max(MostLoading, Loading);
      CPPUNIT_ASSERT(World.servingGroups("b") == 0 ||
                     World.servingGroups("a") == 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MostLoading);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, World.servingGroups("b"));
    assertNoViolation(World);
  }

  /// Guards against a group that stays down after an engine without fencing
  /// check took a late order, and against serving by that engine meanwhile.
  void unfencedEngineGetsLateOrder() {
    WorldSettings Settings = settings({3});
    Settings.m_UnfencedShare = 1;
    DeploymentSpec Spec = spec("a", 3, 1, 0);
    Spec.m_EngineChecksFencing = false;
    const auto Owner = serving(Settings, {{"a", Spec}});
    GroupWorld &World = *Owner;
    FakeEngine &Engine = World.engine("d0-vm01");
    Engine.m_Group = "old";
    Engine.m_Generation = 1;
    World.run(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroups("a"));
    World.run(30);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    assertNoViolation(World);
  }

  /// Guards against a paused holder whose late writes and orders undo those
  /// of its successor.
  void pausedHolderWakes() {
    WorldSettings Settings = settings({5});
    Settings.m_Nodes = 3;
    Settings.m_Shards = 1;
    const auto Owner = serving(Settings, {{"a", spec("a", 3, 1, 0)}});
    GroupWorld &World = *Owner;
    const std::string Writer = World.stored().at("d0").m_Writer;
    const std::size_t Holder = static_cast<std::size_t>(Writer[1] - '0');
    World.pause(Holder, 30);
    World.crash(onlyGroup(World).m_Members[0].m_Vm, 3600, false);
    World.run(60);
    CPPUNIT_ASSERT(World.stored().at("d0").m_Writer != Writer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    assertNoViolation(World);
  }

  /// Guards against a planned stop that aborts requests (I9).
  void drainFinishesWork() {
    const auto Owner = serving(settings({3}), {{"a", spec("a", 3, 1, 0)}});
    GroupWorld &World = *Owner;
    const std::string Head = onlyGroup(World).m_Members[0].m_Vm;
    World.engine(Head).m_Running = 1;
    World.listed("d0-vm02").m_Drained = true;
    World.run(30);
    CPPUNIT_ASSERT(onlyGroup(World).m_State == GroupState::Draining);
    CPPUNIT_ASSERT(World.engine(Head).m_State == EngineState::Ready);
    World.engine(Head).m_Running = 0;
    World.run(10);
    CPPUNIT_ASSERT(World.engine(Head).m_State == EngineState::Empty);
    assertNoViolation(World);
  }

  /// Guards against a valuable group that waits while a less valuable one
  /// serves on VMs that could repair it.
  void preemptsLowerPriority() {
    DeploymentSpec High = spec("high", 3, 1, 5);
    High.m_DowntimeWeight = 10;
    const auto Owner =
        serving(settings({6}), {{"high", High}, {"low", spec("low", 3, 1, 0)}});
    GroupWorld &World = *Owner;
    for (const auto &[Id, Group] : World.stored().at("d0").m_Groups)
      if (Group.m_Deployment == "high")
        World.crash(Group.m_Members[0].m_Vm, 3600, false);
    World.run(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("high"));
    assertNoViolation(World);
  }

  /// Guards against a controller that acts on what it does not know, or
  /// stops, while most answers of the store are lost.
  void lostAnswers() {
    WorldSettings Settings = settings({5});
    Settings.m_StoreLoss = 0.4;
    GroupWorld World(Settings);
    World.setSpecs({{"a", spec("a", 3, 1, 0)}});
    World.run(200);
    assertNoViolation(World);
    World.m_Settings.m_StoreLoss = 0;
    World.run(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    assertNoViolation(World);
  }

  static void stickLoading(FakeEngine &Engine) {
    if (Engine.m_State == EngineState::Loading)
      Engine.m_BytesLeft = 1e18;
  }

  /// Guards against a group that waits for ever for an engine that stays in
  /// loading, when there is no spare VM.
  void stuckLoadIsRepeated() {
    GroupWorld World(settings({3}));
    World.setSpecs({{"a", spec("a", 3, 1, 0)}});
    FakeEngine &Engine = World.engine("d0-vm01");
    for (int Step = 0; Step < 600 && Engine.m_State != EngineState::Loading;
         ++Step)
      World.step();
    CPPUNIT_ASSERT(Engine.m_State == EngineState::Loading);
    stickLoading(Engine);
    World.run(15);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, World.servingGroups("a"));
    World.run(45);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    assertNoViolation(World);
  }

  /// Guards against repeating the load for ever on a VM that never finishes
  /// it while a spare VM is idle.
  void enginesThatNeverLoadAreReplaced() {
    GroupWorld World(settings({4}));
    World.setSpecs({{"a", spec("a", 3, 1, 0)}});
    FakeEngine &Engine = World.engine("d0-vm01");
    for (int Step = 0; Step < 4000 && World.servingGroups("a") == 0; ++Step) {
      World.step();
      stickLoading(Engine);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, World.servingGroups("a"));
    CPPUNIT_ASSERT(World.stored().at("d0").m_Vms.at("d0-vm01").m_State !=
                   VmState::Assigned);
    assertNoViolation(World);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupFailuresTest);

} // namespace fulmarwinch
