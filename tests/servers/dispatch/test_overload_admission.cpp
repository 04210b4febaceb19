#include "servers/dispatch/overload_admission.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <vector>

namespace fulmarwinch {

/// Share of the requests that are admitted when the groups of a model cannot
/// serve all of them.
class OverloadAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadAdmissionTest);
  CPPUNIT_TEST(nothingIsRejectedBelowCapacity);
  CPPUNIT_TEST(surplusIsRejectedAboveCapacity);
  CPPUNIT_TEST(idleGroupsAreNeverProtected);
  CPPUNIT_TEST(lostZoneLeavesMostRequestsInTime);
  CPPUNIT_TEST_SUITE_END();

  void nothingIsRejectedBelowCapacity() {
    CPPUNIT_ASSERT_EQUAL(1.0, admittedShare(11.9, {12, 0.9}));
    CPPUNIT_ASSERT_EQUAL(1.0, admittedShare(12.0, {12, 0.9}));
    CPPUNIT_ASSERT_EQUAL(1.0, admittedShare(4.0, {0, 0.0}));
  }

  void surplusIsRejectedAboveCapacity() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, admittedShare(16.0, {8, 0.9}), 0.001);
    CPPUNIT_ASSERT(admittedShare(1000.0, {8, 0.9}) > 0.0);
  }

  /// Guards against rejections that a wrong demand estimate causes while groups
  /// are idle.
  void idleGroupsAreNeverProtected() {
    CPPUNIT_ASSERT_EQUAL(1.0, admittedShare(16.0, {8, 0.3}));
  }

  /// Load pattern: a zone of three is evacuated for 30 s while 315 requests per
  /// second arrive for a model whose eight remaining groups serve 200. A
  /// rejected client returns once after two seconds. Guards against a queue in
  /// which every admitted request waits for longer than its objective.
  void lostZoneLeavesMostRequestsInTime() {
    const double Unlimited = shareInTime(false);
    const double Limited = shareInTime(true);
    CPPUNIT_ASSERT(Unlimited < 0.2);
    CPPUNIT_ASSERT(Limited > 0.4);
  }

  /// Returns the share of the clients whose first attempt is answered within
  /// the objective, with or without the limit.
  static double shareInTime(bool IsLimited) {
    constexpr double StepSeconds = 0.02;
    constexpr int Steps = 1500;
    constexpr int ReturnSteps = 100;
    constexpr double ArrivalsPerStep = 315.0 * StepSeconds;
    constexpr double CapacityPerStep = 200.0 * StepSeconds;
    constexpr double ObjectiveSeconds = 0.3;
    constexpr std::size_t Groups = 8;
    /// The nodes see each other's load late, so the queues grow to this length
    /// before all groups count as full.
    constexpr double MaxQueue = 200.0;
    std::vector<double> Returning(Steps + ReturnSteps, 0.0);
    double Queue = 0.0;
    double InTime = 0.0;
    for (int Step = 0; Step < Steps; ++Step) {
      const double Arrivals =
          ArrivalsPerStep + Returning[static_cast<std::size_t>(Step)];
      const double Demand = Arrivals / CapacityPerStep * Groups;
      const double Share =
          IsLimited ? admittedShare(Demand, {Groups, 0.9}) : 1.0;
      const double Admitted =
          std::min(Arrivals * Share, MaxQueue + CapacityPerStep - Queue);
      const double AdmittedShare = Admitted / Arrivals;
      Returning[static_cast<std::size_t>(Step + ReturnSteps)] =
          ArrivalsPerStep * (1.0 - AdmittedShare);
      Queue = std::max(0.0, Queue + Admitted - CapacityPerStep);
      if (Queue / CapacityPerStep * StepSeconds <= ObjectiveSeconds)
        InTime += ArrivalsPerStep * AdmittedShare;
    }
    return InTime / (ArrivalsPerStep * Steps);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadAdmissionTest);

} // namespace fulmarwinch
