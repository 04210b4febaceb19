#include "servers/measurement/fleet_simulation.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Tests the fleet simulation and its fake servers.
class FleetSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetSimulationTest);
  CPPUNIT_TEST(runIsRepeatableWithTheSameSeed);
  CPPUNIT_TEST(overloadDelaysNoArrivals);
  CPPUNIT_TEST(requestAboveCapacityIsQueued);
  CPPUNIT_TEST_SUITE_END();

  static FleetMetrics run(std::uint64_t Seed, double Rate) {
    FleetSettings Settings;
    Settings.m_Seed = Seed;
    Settings.m_RequestsPerSecond = Rate;
    Settings.m_ServerCount = 5;
    Settings.m_NodeCount = 2;
    Settings.m_DurationSeconds = 8;
    return FleetSimulation(Settings).run();
  }

  /// Guards against a measurement that cannot be repeated, and against requests
  /// that are neither completed nor refused.
  void runIsRepeatableWithTheSameSeed() {
    const FleetMetrics First = run(7, 10);
    const FleetMetrics Second = run(7, 10);
    CPPUNIT_ASSERT_EQUAL(First.m_Arrived, Second.m_Arrived);
    CPPUNIT_ASSERT_EQUAL(First.m_FirstTokenP95, Second.m_FirstTokenP95);
    CPPUNIT_ASSERT(run(8, 10).m_FirstTokenP95 != First.m_FirstTokenP95);
    CPPUNIT_ASSERT_EQUAL(First.m_Arrived, First.m_Completed + First.m_Refused);
  }

  /// Guards against arrivals that wait for completions. The measured times
  /// would then not show the overload.
  void overloadDelaysNoArrivals() {
    const FleetMetrics Figures = run(7, 200);
    CPPUNIT_ASSERT(Figures.m_Arrived > 1000);
    CPPUNIT_ASSERT(Figures.m_FirstTokenP95 > 2.0);
  }

  /// Guards against a fake server that runs more requests at the same time than
  /// its capacity.
  void requestAboveCapacityIsQueued() {
    FakeServerSettings Settings;
    Settings.m_Capacity = 1;
    FakeServer Server(Settings);
    const FakeRequestTimes First = Server.startRequest(1, 0, 0, 100, 0);
    const FakeRequestTimes Second = Server.startRequest(1, 0, 0, 100, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, First.m_EndAt, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, Second.m_EndAt, 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSimulationTest);

} // namespace fulmarwinch
