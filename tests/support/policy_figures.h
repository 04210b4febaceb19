#ifndef FULMARWINCH_TESTS_SUPPORT_POLICY_FIGURES_H
#define FULMARWINCH_TESTS_SUPPORT_POLICY_FIGURES_H

#include "randomised/group_world.h"

#include <functional>
#include <string>

namespace fulmarwinch {

using PolicyScenario = std::function<void(GroupWorld &)>;

/// Runs \p Run at 55 VMs with fixed seeds, once with the cost-based policy
/// and once with first fit without repair, prints group downtime and stranded
/// VMs of both, and asserts the target's bound: at most half of the baseline.
void comparePolicies(const std::string &Name, const PolicyScenario &Run);

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_SUPPORT_POLICY_FIGURES_H
