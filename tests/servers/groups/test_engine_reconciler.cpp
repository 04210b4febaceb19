#include "servers/groups/assignment_codec.h"
#include "servers/groups/group_controller.h"
#include "servers/groups/serving_view.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Conclusions that a lease holder may draw from the order responses and
/// reports of engines.
class EngineReconcilerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineReconcilerTest);
  CPPUNIT_TEST(restartedEngineIsUnloadedAgainBeforeItsVmIsFreed);
  CPPUNIT_TEST(newLeaseEpochUnloadsFreeVmsAgain);
  CPPUNIT_TEST(groupWithMemberOfEarlierGenerationDoesNotServe);
  CPPUNIT_TEST_SUITE_END();

  static MonotonicTime at(int Seconds) {
    return MonotonicTime(std::chrono::seconds(Seconds));
  }

  static EngineReport emptyReport(const std::string &StartId, int Seconds) {
    EngineReport Report;
    Report.m_Reachable = true;
    Report.m_StartId = StartId;
    Report.m_PolledAt = at(Seconds);
    return Report;
  }

  /// Returns the store call in \p Actions, which must contain exactly one.
  template <typename CallType>
  static CallType onlyStoreCall(const GroupActions &Actions) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Actions.m_StoreActions.size());
    return std::get<CallType>(Actions.m_StoreActions[0]);
  }

  /// Lets \p Controller read \p Stored under \p Epoch and write its claim to
  /// the assignment. Returns the assignment that it wrote.
  static Assignment claimAssignment(GroupController &Controller,
                                    const Assignment &Stored,
                                    std::uint64_t Epoch, int Seconds) {
    const std::map<std::string, std::uint64_t> LeaseEpochs{{"d0", Epoch}};
    const auto Get =
        onlyStoreCall<GetObject>(Controller.tick(at(Seconds), LeaseEpochs));
    Controller.onGetCompleted({Get.m_Id, StoreOutcome::Succeeded, Epoch * 10,
                               serialiseAssignment(Stored)},
                              at(Seconds));
    const auto Put =
        onlyStoreCall<PutObject>(Controller.tick(at(Seconds), LeaseEpochs));
    Controller.onWriteCompleted(
        {Put.m_Id, StoreOutcome::Succeeded, Epoch * 10 + 1}, at(Seconds));
    return *parseAssignment(Put.m_Value);
  }

  static Assignment assignmentWithVmState(VmState State) {
    Assignment Stored;
    Stored.m_Domain = "d0";
    Stored.m_Generation = 7;
    Stored.m_LeaseEpoch = 1;
    Stored.m_Writer = "old#1";
    Stored.m_Vms["vm"] = {1, State, ""};
    return Stored;
  }

  static GroupController makeController() {
    GroupController Controller({}, "new#1",
                               std::make_shared<CostRepairPolicy>());
    Controller.setVms({{"vm", "z", "d0", 1, false, false}});
    return Controller;
  }

  /// Expects one unload order at 100 s and reports at 101 s that the engine
  /// accepted it.
  static void acceptUnloadOrder(GroupController &Controller,
                                std::uint64_t Epoch) {
    const GroupActions Actions = Controller.tick(at(100), {{"d0", Epoch}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Actions.m_Orders.size());
    CPPUNIT_ASSERT(Actions.m_Orders[0].m_Kind == EngineOrderKind::Unload);
    Controller.onOrderCompleted({"vm", EngineOrderKind::Unload,
                                 Actions.m_Orders[0].m_FencingToken,
                                 OrderOutcome::Accepted, 0},
                                at(101));
  }

  /// Guards against freeing a VM whose engine process restarted after it
  /// accepted the unload order. The new process does not have the fencing
  /// token, so it would accept a load order that is still in flight.
  void restartedEngineIsUnloadedAgainBeforeItsVmIsFreed() {
    for (const bool EngineRestarts : {false, true}) {
      GroupController Controller = makeController();
      Controller.onEngineReport("vm", emptyReport("start-1", 100));
      claimAssignment(Controller, assignmentWithVmState(VmState::Releasing), 2,
                      100);
      acceptUnloadOrder(Controller, 2);
      Controller.onEngineReport(
          "vm", emptyReport(EngineRestarts ? "start-2" : "start-1", 102));
      const GroupActions Actions = Controller.tick(at(102), {{"d0", 2}});
      CPPUNIT_ASSERT_EQUAL(std::size_t(EngineRestarts ? 0 : 1),
                           Actions.m_StoreActions.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(EngineRestarts ? 1 : 0),
                           Actions.m_Orders.size());
    }
  }

  /// Guards against a node that lost the lease, acquired it again and relies on
  /// order responses from its earlier lease epoch. The lease holder in between
  /// may have sent a load order that is still in flight.
  void newLeaseEpochUnloadsFreeVmsAgain() {
    GroupController Controller = makeController();
    Controller.onEngineReport("vm", emptyReport("start-1", 100));
    Assignment Stored = claimAssignment(
        Controller, assignmentWithVmState(VmState::Free), 2, 100);
    acceptUnloadOrder(Controller, 2);
    Controller.tick(at(101), {});
    Stored.m_LeaseEpoch = 3;
    Stored.m_Writer = "other#1";
    ++Stored.m_Generation;
    Controller.onEngineReport("vm", emptyReport("start-1", 102));
    claimAssignment(Controller, Stored, 4, 102);
    const GroupActions Actions = Controller.tick(at(102), {{"d0", 4}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Actions.m_Orders.size());
    CPPUNIT_ASSERT(Actions.m_Orders[0].m_Kind == EngineOrderKind::Unload);
    CPPUNIT_ASSERT(Actions.m_Orders[0].m_FencingToken > Stored.m_Generation);
  }

  /// Guards against a group that is reported as serving while a member still
  /// runs the weights or the member list of an earlier generation (invariant
  /// I1).
  void groupWithMemberOfEarlierGenerationDoesNotServe() {
    GroupEntry Group{
        "a", "m", "v1", GroupState::Serving, 9, {{"vm", 1}, {"vn", 1}}};
    EngineReport Ready = emptyReport("start-1", 100);
    Ready.m_State = EngineState::Ready;
    Ready.m_Group = "g";
    Ready.m_Generation = 9;
    EngineReport Outdated = Ready;
    Outdated.m_Generation = 8;
    CPPUNIT_ASSERT(computeServingView(
                       "g", Group, {{"vm", {Ready, {}}}, {"vn", {Ready, {}}}})
                       .m_Serving);
    CPPUNIT_ASSERT(
        !computeServingView("g", Group,
                            {{"vm", {Ready, {}}}, {"vn", {Outdated, {}}}})
             .m_Serving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineReconcilerTest);

} // namespace fulmarwinch
