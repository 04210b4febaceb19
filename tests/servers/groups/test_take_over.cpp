#include "randomised/group_world.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// A new holder makes the assignment its own before it acts.
class TakeOverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeOverTest);
  CPPUNIT_TEST(raisesGenerationBeforeOrders);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against orders of a new holder that carry the token of the last
  /// one, so that late orders of that one would be accepted after them.
  void raisesGenerationBeforeOrders() {
    const MonotonicTime Now(std::chrono::seconds(100));
    Assignment Stored;
    Stored.m_Domain = "d0";
    Stored.m_Generation = 7;
    Stored.m_LeaseEpoch = 1;
    Stored.m_Writer = "old#1";
    Stored.m_Vms["vm"] = {1, VmState::Releasing, ""};
    GroupController Controller({}, "new#1",
                               std::make_shared<CostRepairPolicy>());
    Controller.setVms({{"vm", "z", "d0", 1, false, false}});
    EngineReport Report;
    Report.m_Reachable = true;
    Report.m_At = Now;
    Controller.onEngineReport("vm", Report);
    const GroupActions Read = Controller.tick(Now, {{"d0", 2}});
    const auto &Get = std::get<GetObject>(Read.m_StoreActions.at(0));
    Controller.onGetCompleted(
        {Get.m_Id, StoreOutcome::Applied, 5, serialiseAssignment(Stored)}, Now);
    const GroupActions Write = Controller.tick(Now, {{"d0", 2}});
    CPPUNIT_ASSERT(Write.m_Orders.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Write.m_StoreActions.size());
    const auto &Put = std::get<PutObject>(Write.m_StoreActions[0]);
    Controller.onPutCompleted({Put.m_Id, StoreOutcome::Applied, 6}, Now);
    const GroupActions Act = Controller.tick(Now, {{"d0", 2}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Act.m_Orders.size());
    CPPUNIT_ASSERT(Act.m_Orders[0].m_Fence > Stored.m_Generation);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeOverTest);

} // namespace fulmarwinch
