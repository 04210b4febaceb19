#include "servers/groups/assignment_codec.h"
#include "servers/groups/group_controller.h"
#include "servers/groups/serving_view.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// What a holder may conclude from the answers and reports of engines.
class EngineReconcilerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineReconcilerTest);
  CPPUNIT_TEST(restartedEngineIsNotFenced);
  CPPUNIT_TEST(newEpochFencesAgain);
  CPPUNIT_TEST(viewNeedsTheGeneration);
  CPPUNIT_TEST_SUITE_END();

  static MonotonicTime at(int Seconds) {
    return MonotonicTime(std::chrono::seconds(Seconds));
  }

  static EngineReport emptyReport(const std::string &StartId, int Seconds) {
    EngineReport Report;
    Report.m_Reachable = true;
    Report.m_StartId = StartId;
    Report.m_At = at(Seconds);
    return Report;
  }

  /// Returns the only store call of \p Actions.
  template <typename CallType> static CallType call(const GroupActions &From) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, From.m_StoreActions.size());
    return std::get<CallType>(From.m_StoreActions[0]);
  }

  /// Makes \p Controller read \p Stored under \p Epoch and take it over.
  static Assignment takeOver(GroupController &Controller,
                             const Assignment &Stored, std::uint64_t Epoch,
                             int Seconds) {
    const std::map<std::string, std::uint64_t> Held{{"d0", Epoch}};
    const auto Get = call<GetObject>(Controller.tick(at(Seconds), Held));
    Controller.onGetCompleted({Get.m_Id, StoreOutcome::Applied, Epoch * 10,
                               serialiseAssignment(Stored)},
                              at(Seconds));
    const auto Put = call<PutObject>(Controller.tick(at(Seconds), Held));
    Controller.onPutCompleted({Put.m_Id, StoreOutcome::Applied, Epoch * 10 + 1},
                              at(Seconds));
    return *parseAssignment(Put.m_Value);
  }

  static Assignment storedWith(VmState State) {
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

  /// Takes over at 100 s, and has the one order accepted at 101 s.
  static void fence(GroupController &Controller, std::uint64_t Epoch) {
    const GroupActions Act = Controller.tick(at(100), {{"d0", Epoch}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Act.m_Orders.size());
    CPPUNIT_ASSERT(Act.m_Orders[0].m_Order == OrderKind::Unload);
    Controller.onOrderCompleted({"vm", OrderKind::Unload,
                                 Act.m_Orders[0].m_Fence,
                                 OrderOutcome::Accepted, 0},
                                at(101));
  }

  /// Guards against freeing a VM whose engine restarted after it accepted the
  /// unload order: the new start has forgotten the token, so a load order
  /// that is still under way would be accepted.
  void restartedEngineIsNotFenced() {
    for (const bool Restarts : {false, true}) {
      GroupController Controller = makeController();
      Controller.onEngineReport("vm", emptyReport("start-1", 100));
      takeOver(Controller, storedWith(VmState::Releasing), 2, 100);
      fence(Controller, 2);
      Controller.onEngineReport(
          "vm", emptyReport(Restarts ? "start-2" : "start-1", 102));
      const GroupActions Next = Controller.tick(at(102), {{"d0", 2}});
      CPPUNIT_ASSERT_EQUAL(std::size_t(Restarts ? 0 : 1),
                           Next.m_StoreActions.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(Restarts ? 1 : 0), Next.m_Orders.size());
    }
  }

  /// Guards against a holder that lost the lease, got it back and relies on
  /// answers from before: the holder in between may have ordered a load that
  /// is still under way.
  void newEpochFencesAgain() {
    GroupController Controller = makeController();
    Controller.onEngineReport("vm", emptyReport("start-1", 100));
    Assignment Stored = takeOver(Controller, storedWith(VmState::Free), 2, 100);
    fence(Controller, 2);
    Controller.tick(at(101), {});
    Stored.m_LeaseEpoch = 3;
    Stored.m_Writer = "other#1";
    ++Stored.m_Generation;
    Controller.onEngineReport("vm", emptyReport("start-1", 102));
    takeOver(Controller, Stored, 4, 102);
    const GroupActions Act = Controller.tick(at(102), {{"d0", 4}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Act.m_Orders.size());
    CPPUNIT_ASSERT(Act.m_Orders[0].m_Order == OrderKind::Unload);
    CPPUNIT_ASSERT(Act.m_Orders[0].m_Fence > Stored.m_Generation);
  }

  /// Guards against offering a group whose member still runs the weights or
  /// the member list of an earlier generation (I1).
  void viewNeedsTheGeneration() {
    GroupEntry Group{
        "a", "m", "v1", GroupState::Serving, 9, {{"vm", 1}, {"vn", 1}}};
    EngineReport Ready = emptyReport("start-1", 100);
    Ready.m_State = EngineState::Ready;
    Ready.m_Group = "g";
    Ready.m_Generation = 9;
    EngineReport Old = Ready;
    Old.m_Generation = 8;
    CPPUNIT_ASSERT(computeServingView(
                       "g", Group, {{"vm", {Ready, {}}}, {"vn", {Ready, {}}}})
                       .m_Serving);
    CPPUNIT_ASSERT(!computeServingView("g", Group,
                                       {{"vm", {Ready, {}}}, {"vn", {Old, {}}}})
                        .m_Serving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineReconcilerTest);

} // namespace fulmarwinch
