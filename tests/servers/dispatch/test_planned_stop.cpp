#include "servers/dispatch/planned_stop.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Which requests a node takes between SIGTERM and its exit.
class PlannedStopScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopScheduleTest);
  CPPUNIT_TEST(nothingEndsWithoutAStop);
  CPPUNIT_TEST(requestsAreServedUntilTheBalancerHasReacted);
  CPPUNIT_TEST(lateRequestsAreTakenIfTheyEndInTime);
  CPPUNIT_TEST(stepsFollowEachOtherInAnyGracePeriod);
  CPPUNIT_TEST_SUITE_END();

  const MonotonicTime m_Start = MonotonicTime() + seconds(100);

  void nothingEndsWithoutAStop() {
    const PlannedStop Stop;
    CPPUNIT_ASSERT(!Stop.hasBegun());
    CPPUNIT_ASSERT(Stop.mayServe(m_Start, m_Start + seconds(3600)));
    CPPUNIT_ASSERT(Stop.responsesDueAt() == MonotonicTime::max());
  }

  void requestsAreServedUntilTheBalancerHasReacted() {
    PlannedStop Stop;
    Stop.begin(m_Start, seconds(8));
    const MonotonicTime TwoProbes = m_Start + seconds(2);
    CPPUNIT_ASSERT(Stop.stopsAcceptingAt() > TwoProbes);
    CPPUNIT_ASSERT(Stop.mayServe(TwoProbes, TwoProbes + seconds(15)));
  }

  /// Guards against a request that is passed on and is still at work when the
  /// process exits.
  void lateRequestsAreTakenIfTheyEndInTime() {
    PlannedStop Stop;
    Stop.begin(m_Start, seconds(8));
    // A second signal does not extend the grace period.
    Stop.begin(m_Start + seconds(3), seconds(8));
    for (const seconds Elapsed : {seconds(3), seconds(5), seconds(7)}) {
      const MonotonicTime Now = m_Start + Elapsed;
      CPPUNIT_ASSERT(Stop.mayServe(Now, Now + milliseconds(100)));
      CPPUNIT_ASSERT(!Stop.mayServe(Now, m_Start + seconds(8)));
    }
  }

  void stepsFollowEachOtherInAnyGracePeriod() {
    for (const milliseconds Grace :
         {milliseconds(0), milliseconds(500), milliseconds(2000),
          milliseconds(4000), milliseconds(8000), milliseconds(60000)}) {
      PlannedStop Stop;
      Stop.begin(m_Start, Grace);
      CPPUNIT_ASSERT(m_Start <= Stop.stopsAcceptingAt());
      CPPUNIT_ASSERT(Stop.responsesDueAt() <= Stop.exitsAt());
      CPPUNIT_ASSERT(Stop.exitsAt() <= m_Start + Grace);
      if (Grace >= milliseconds(2000))
        CPPUNIT_ASSERT(Stop.stopsAcceptingAt() < Stop.responsesDueAt());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopScheduleTest);

} // namespace fulmarwinch
