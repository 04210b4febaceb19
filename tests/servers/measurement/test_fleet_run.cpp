#include "servers/measurement/fleet_run.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Runs on fakes are repeatable and count every request.
class FleetRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRunTest);
  CPPUNIT_TEST(sameSeedGivesSameFigures);
  CPPUNIT_TEST(overloadIsNotHidden);
  CPPUNIT_TEST(serverAboveCapacityDelays);
  CPPUNIT_TEST_SUITE_END();

  static FleetFigures run(std::uint64_t Seed, double Rate) {
    FleetSettings Settings;
    Settings.m_Seed = Seed;
    Settings.m_Rate = Rate;
    Settings.m_Servers = 5;
    Settings.m_Nodes = 2;
    Settings.m_DurationSeconds = 8;
    return FleetRun(Settings).run();
  }

  /// Guards against a measurement that cannot be replayed.
  void sameSeedGivesSameFigures() {
    const FleetFigures First = run(7, 10);
    const FleetFigures Second = run(7, 10);
    CPPUNIT_ASSERT_EQUAL(First.m_Arrived, Second.m_Arrived);
    CPPUNIT_ASSERT_EQUAL(First.m_FirstTokenP95, Second.m_FirstTokenP95);
    CPPUNIT_ASSERT(run(8, 10).m_FirstTokenP95 != First.m_FirstTokenP95);
    CPPUNIT_ASSERT_EQUAL(First.m_Arrived, First.m_Completed + First.m_Refused);
  }

  /// Guards against arrivals that wait for completions, which would hide the
  /// overload.
  void overloadIsNotHidden() {
    const FleetFigures Figures = run(7, 200);
    CPPUNIT_ASSERT(Figures.m_Arrived > 1000);
    CPPUNIT_ASSERT(Figures.m_FirstTokenP95 > 2.0);
  }

  void serverAboveCapacityDelays() {
    FakeServerSettings Settings;
    Settings.m_Capacity = 1;
    FakeServer Server(Settings);
    const FakeTimes First = Server.start(1, 0, 0, 100, 0);
    const FakeTimes Second = Server.start(1, 0, 0, 100, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, First.m_End, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, Second.m_End, 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRunTest);

} // namespace fulmarwinch
