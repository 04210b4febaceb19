#ifndef FULMARWINCH_SERVERS_MEASUREMENT_DECISION_COST_H
#define FULMARWINCH_SERVERS_MEASUREMENT_DECISION_COST_H

#include "servers/measurement/scenario.h"

namespace fulmarwinch {

/// Measures the real time of one routing decision and the memory of the routing
/// table with 100, 1,000 and 10,000 groups. Each is measured with all groups
/// and with the subset of groups that one node uses.
ScenarioResult runDecisionCost(const ScenarioOptions &Options);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_DECISION_COST_H
