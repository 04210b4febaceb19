#ifndef FULMARWINCH_TESTS_SUPPORT_POLICY_COST_COMPARISON_H
#define FULMARWINCH_TESTS_SUPPORT_POLICY_COST_COMPARISON_H

#include "randomised/group_simulation.h"

#include <functional>
#include <string>

namespace fulmarwinch {

/// Injects the faults of one scenario and advances the simulated time.
using PolicyScenario = std::function<void(GroupSimulation &)>;

/// Runs a scenario with 55 VMs and fixed seeds under the cost-based repair
/// policy and under the baseline, first-fit placement without repair. Prints
/// group downtime and stranded VM time of both, and asserts that the cost-based
/// policy has at most half of each.
void assertCostBasedPolicyHalvesBaseline(const std::string &ScenarioName,
                                         const PolicyScenario &RunScenario);

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_SUPPORT_POLICY_COST_COMPARISON_H
