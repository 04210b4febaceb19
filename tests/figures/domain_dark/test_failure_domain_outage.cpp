#include "tests/support/policy_cost_comparison.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

/// Compares the cost of the repair policies when a whole failure domain fails.
class FailureDomainOutageCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureDomainOutageCostTest);
  CPPUNIT_TEST(repairsGroupsDuringFailureDomainOutage);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against groups that stay down until the failed domain recovers, and
  /// that then all load their weights at the same low rate.
  void repairsGroupsDuringFailureDomainOutage() {
    assertCostBasedPolicyHalvesBaseline(
        "domain dark", [](GroupSimulation &World) {
          const std::string Domain = fmt::format("d{}-", World.random()() % 3);
          for (const std::string &Vm : World.vmNames())
            if (Vm.rfind(Domain, 0) == 0)
              World.crashEngine(Vm, 300, true);
          World.runFor(450);
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDomainOutageCostTest);

} // namespace fulmarwinch
