#include "tests/servers/admission/admission_simulation.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <cstdlib>
#include <iostream>

namespace fulmarwinch {

/// Randomised runs of several nodes with takeovers of the lease, partitions,
/// node restarts and backend servers that become cold unannounced.
class SlotsRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotsRandomTest);
  CPPUNIT_TEST(coldServersAreNotOverloaded);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against more requests in flight on a cold backend server than its
  /// warm-up allows (invariant I3). Requests that were sent before a node or a
  /// lease holder could observe the cold state are exempt, but they count as in
  /// flight for all later requests.
  void coldServersAreNotOverloaded() {
    const char *FixedSeed = std::getenv("FULMARWINCH_TEST_SEED");
    const std::uint64_t FirstSeed =
        FixedSeed ? std::strtoull(FixedSeed, nullptr, 10) : 1;
    const std::uint64_t LastSeed = FixedSeed ? FirstSeed : 60;
    std::size_t Steps = 0;
    for (std::uint64_t Seed = FirstSeed; Seed <= LastSeed; ++Seed) {
      AdmissionSimulation Simulation(Seed);
      const std::vector<std::string> Violations = Simulation.run();
      Steps += Simulation.stepCount();
      const std::string Replay = fmt::format(
          "replay with FULMARWINCH_TEST_SEED={}, {} violations, first: {}",
          Seed, Violations.size(),
          Violations.empty() ? "none" : Violations.front());
      CPPUNIT_ASSERT_MESSAGE(Replay, Violations.empty());
      CPPUNIT_ASSERT_MESSAGE(Replay, Simulation.dispatchCount() > 500);
    }
    std::cout << fmt::format(" seeds {}..{}, {} steps", FirstSeed, LastSeed,
                             Steps);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsRandomTest);

} // namespace fulmarwinch
