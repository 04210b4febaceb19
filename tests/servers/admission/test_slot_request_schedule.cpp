#include "servers/admission/slot_request_schedule.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Guards against idle nodes that exceed their byte budget with slot requests,
/// and against client requests that are delayed because an idle node requests
/// slots only rarely.
class SlotRequestScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotRequestScheduleTest);
  CPPUNIT_TEST(idleNodeRequestsSlotsRarely);
  CPPUNIT_TEST(firstWorkRequestsSlotsAtOnce);
  CPPUNIT_TEST(alternatingQueueStaysWithinMessageBudget);
  CPPUNIT_TEST_SUITE_END();

  static MonotonicTime at(int Milliseconds) {
    return MonotonicTime(std::chrono::milliseconds(Milliseconds));
  }

  void idleNodeRequestsSlotsRarely() {
    SlotRequestSchedule Schedule;
    int RequestCount = 0;
    for (int Now = 0; Now < 20000; Now += 250)
      RequestCount += Schedule.isDue("g", false, at(Now)) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(4, RequestCount);
  }

  void firstWorkRequestsSlotsAtOnce() {
    SlotRequestSchedule Schedule;
    CPPUNIT_ASSERT(Schedule.isDue("g", false, at(0)));
    CPPUNIT_ASSERT(!Schedule.isDue("g", false, at(250)));
    CPPUNIT_ASSERT(Schedule.isDue("g", true, at(255)));
    CPPUNIT_ASSERT(Schedule.isDue("other", true, at(255)));
    // While there is work, the slot request is repeated in each period.
    CPPUNIT_ASSERT(!Schedule.isDue("g", true, at(400)));
    CPPUNIT_ASSERT(Schedule.isDue("g", true, at(505)));
  }

  void alternatingQueueStaysWithinMessageBudget() {
    SlotRequestSchedule Schedule;
    int RequestCount = 0;
    for (int Now = 0; Now < 10000; Now += 5)
      RequestCount += Schedule.isDue("g", Now % 10 == 0, at(Now)) ? 1 : 0;
    CPPUNIT_ASSERT(RequestCount <= 10000 / 225 + 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotRequestScheduleTest);

} // namespace fulmarwinch
