#include "servers/admission/slot_ask_schedule.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Guards against idle nodes that use up their byte budget with requests for
/// slots, and against requests that wait because an idle node asks rarely.
class SlotAskScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotAskScheduleTest);
  CPPUNIT_TEST(idleNodeAsksRarely);
  CPPUNIT_TEST(workIsAskedForAtOnce);
  CPPUNIT_TEST(alternatingWorkIsBounded);
  CPPUNIT_TEST_SUITE_END();

  static MonotonicTime at(int Milliseconds) {
    return MonotonicTime(std::chrono::milliseconds(Milliseconds));
  }

  void idleNodeAsksRarely() {
    SlotAskSchedule Schedule;
    int Asked = 0;
    for (int Now = 0; Now < 20000; Now += 250)
      Asked += Schedule.isDue("g", false, at(Now)) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(4, Asked);
  }

  void workIsAskedForAtOnce() {
    SlotAskSchedule Schedule;
    CPPUNIT_ASSERT(Schedule.isDue("g", false, at(0)));
    CPPUNIT_ASSERT(!Schedule.isDue("g", false, at(250)));
    CPPUNIT_ASSERT(Schedule.isDue("g", true, at(255)));
    CPPUNIT_ASSERT(Schedule.isDue("other", true, at(255)));
    // While there is work, the request is repeated each period.
    CPPUNIT_ASSERT(!Schedule.isDue("g", true, at(400)));
    CPPUNIT_ASSERT(Schedule.isDue("g", true, at(505)));
  }

  void alternatingWorkIsBounded() {
    SlotAskSchedule Schedule;
    int Asked = 0;
    for (int Now = 0; Now < 10000; Now += 5)
      Asked += Schedule.isDue("g", Now % 10 == 0, at(Now)) ? 1 : 0;
    CPPUNIT_ASSERT(Asked <= 10000 / 225 + 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotAskScheduleTest);

} // namespace fulmarwinch
