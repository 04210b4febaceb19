#include "tests/support/policy_cost_comparison.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

namespace fulmarwinch {

/// Compares the cost of the repair policies for VM failures and restarts.
class RepairPolicyCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepairPolicyCostTest);
  CPPUNIT_TEST(repairsGroupsAfterVmFailures);
  CPPUNIT_TEST(repairsGroupsDuringRollingRestart);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a repair that is no better than waiting for the VM. One VM
  /// fails per minute, ten in all, each for 30 s to 10 min.
  void repairsGroupsAfterVmFailures() {
    assertCostBasedPolicyHalvesBaseline(
        "member loss", [](GroupSimulation &World) {
          const std::vector<std::string> VmNames = World.vmNames();
          for (int Failure = 0; Failure < 10; ++Failure) {
            const double DowntimeSeconds =
                30 + static_cast<double>(World.random()() % 570);
            World.crashEngine(VmNames[World.random()() % VmNames.size()],
                              DowntimeSeconds, World.drawWithProbability(0.5));
            World.runFor(60);
          }
          World.runFor(300);
        });
  }

  /// Guards against groups that stay down longer than the restarts of their VMs
  /// take while every VM is restarted in turn.
  void repairsGroupsDuringRollingRestart() {
    assertCostBasedPolicyHalvesBaseline(
        "restart wave", [](GroupSimulation &World) {
          for (const std::string &Vm : World.vmNames()) {
            World.crashEngine(Vm, 45, true);
            World.runFor(20);
          }
          World.runFor(300);
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepairPolicyCostTest);

} // namespace fulmarwinch
