#include "tests/servers/admission/admission_world.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <cstdlib>
#include <iostream>

namespace fulmarwinch {

/// Randomised runs of several nodes, replaced holders, partitions, restarts
/// and silent cold turns.
class SlotsRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotsRandomTest);
  CPPUNIT_TEST(coldServersGetNoMoreThanTheyBear);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against more work on a cold backend server than it can bear
  /// (invariant I3). Work that was sent before a cold turn was observable is
  /// exempt, but it counts against all work that is sent afterwards.
  void coldServersGetNoMoreThanTheyBear() {
    const char *Fixed = std::getenv("FULMARWINCH_TEST_SEED");
    const std::uint64_t First = Fixed ? std::strtoull(Fixed, nullptr, 10) : 1;
    const std::uint64_t Last = Fixed ? First : 60;
    std::size_t Steps = 0;
    for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
      AdmissionWorld World(Seed);
      const std::vector<std::string> Violations = World.run();
      Steps += World.steps();
      const std::string Replay = fmt::format(
          "replay with FULMARWINCH_TEST_SEED={}, {} violations, first: {}",
          Seed, Violations.size(),
          Violations.empty() ? "none" : Violations.front());
      CPPUNIT_ASSERT_MESSAGE(Replay, Violations.empty());
      CPPUNIT_ASSERT_MESSAGE(Replay, World.dispatched() > 500);
    }
    std::cout << fmt::format(" seeds {}..{}, {} steps", First, Last, Steps);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsRandomTest);

} // namespace fulmarwinch
