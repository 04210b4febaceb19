#include "randomised/group_simulation.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// A new lease holder writes the assignment under its own lease epoch before it
/// sends orders.
class LeaseHolderChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseHolderChangeTest);
  CPPUNIT_TEST(newLeaseHolderRaisesGenerationBeforeItSendsOrders);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against orders of a new lease holder with the fencing token of the
  /// previous one: engines would then still accept delayed orders of the
  /// previous lease holder.
  void newLeaseHolderRaisesGenerationBeforeItSendsOrders() {
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
    Report.m_PolledAt = Now;
    Controller.onEngineReport("vm", Report);
    const GroupActions ReadActions = Controller.tick(Now, {{"d0", 2}});
    const auto &Get = std::get<GetObject>(ReadActions.m_StoreActions.at(0));
    Controller.onGetCompleted(
        {Get.m_Id, StoreOutcome::Succeeded, 5, serialiseAssignment(Stored)},
        Now);
    const GroupActions WriteActions = Controller.tick(Now, {{"d0", 2}});
    CPPUNIT_ASSERT(WriteActions.m_Orders.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, WriteActions.m_StoreActions.size());
    const auto &Put = std::get<PutObject>(WriteActions.m_StoreActions[0]);
    Controller.onWriteCompleted({Put.m_Id, StoreOutcome::Succeeded, 6}, Now);
    const GroupActions OrderActions = Controller.tick(Now, {{"d0", 2}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, OrderActions.m_Orders.size());
    CPPUNIT_ASSERT(OrderActions.m_Orders[0].m_FencingToken >
                   Stored.m_Generation);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseHolderChangeTest);

} // namespace fulmarwinch
