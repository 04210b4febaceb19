#include "tests/support/policy_cost_comparison.h"

#include "cppunit/TestAssert.h"
#include "fmt/format.h"

#include <iostream>

namespace fulmarwinch {

namespace {

/// Cost of a repair policy: downtime of groups, and time in which VMs are up
/// but their group does not serve.
struct PolicyCost {
  double m_DowntimeGroupSeconds = 0;
  double m_StrandedVmSeconds = 0;
};

/// Runs a scenario with 55 VMs in three failure domains under \p Policy and
/// returns its cost. The first 120 s, in which the groups form, do not count.
PolicyCost simulatePolicy(std::uint64_t Seed,
                          std::shared_ptr<const RepairPolicy> Policy,
                          const PolicyScenario &RunScenario) {
  GroupSimulationSettings Settings;
  Settings.m_Seed = Seed;
  Settings.m_StepMs = 250;
  Settings.m_VmsPerDomain = {19, 18, 18};
  Settings.m_GroupSettings.m_WeightStore.m_BytesPerVm = 10e9;
  Settings.m_RepairPolicy = std::move(Policy);
  GroupSimulation World(Settings);
  World.setSpecs({{"large", {"large", "m1", "v1", 4, 6, 3, 3.0, 0.2, true}},
                  {"medium", {"medium", "m2", "v1", 3, 5, 2, 1.5, 0.2, true}},
                  {"small", {"small", "m3", "v1", 2, 5, 1, 1.0, 0.2, true}}});
  World.runFor(120);
  CPPUNIT_ASSERT_EQUAL(std::size_t{6}, World.servingGroupCount("large"));
  World.resetDowntimeTotals();
  RunScenario(World);
  CPPUNIT_ASSERT_EQUAL(std::string(), World.violation());
  return {World.groupDowntimeSeconds(), World.strandedVmSeconds()};
}

} // namespace

void assertCostBasedPolicyHalvesBaseline(const std::string &ScenarioName,
                                         const PolicyScenario &RunScenario) {
  PolicyCost CostBased;
  PolicyCost FirstFit;
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    const PolicyCost CostBasedRun =
        simulatePolicy(Seed, std::make_shared<CostRepairPolicy>(), RunScenario);
    const PolicyCost FirstFitRun =
        simulatePolicy(Seed, std::make_shared<FirstFitPolicy>(), RunScenario);
    CostBased.m_DowntimeGroupSeconds += CostBasedRun.m_DowntimeGroupSeconds;
    CostBased.m_StrandedVmSeconds += CostBasedRun.m_StrandedVmSeconds;
    FirstFit.m_DowntimeGroupSeconds += FirstFitRun.m_DowntimeGroupSeconds;
    FirstFit.m_StrandedVmSeconds += FirstFitRun.m_StrandedVmSeconds;
  }
  std::cout << fmt::format("\n{}: seeds 1 and 2, downtime {:.0f} group-seconds "
                           "(baseline {:.0f}), stranded {:.0f} VM-seconds "
                           "(baseline {:.0f})",
                           ScenarioName, CostBased.m_DowntimeGroupSeconds,
                           FirstFit.m_DowntimeGroupSeconds,
                           CostBased.m_StrandedVmSeconds,
                           FirstFit.m_StrandedVmSeconds)
            << std::endl;
  CPPUNIT_ASSERT_MESSAGE("downtime is more than half of the baseline",
                         CostBased.m_DowntimeGroupSeconds * 2 <=
                             FirstFit.m_DowntimeGroupSeconds);
  CPPUNIT_ASSERT_MESSAGE("stranded VMs are more than half of the baseline",
                         CostBased.m_StrandedVmSeconds * 2 <=
                             FirstFit.m_StrandedVmSeconds);
}

} // namespace fulmarwinch
