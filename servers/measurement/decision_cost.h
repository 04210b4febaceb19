#ifndef FULMARWINCH_SERVERS_MEASUREMENT_DECISION_COST_H
#define FULMARWINCH_SERVERS_MEASUREMENT_DECISION_COST_H

#include "servers/measurement/scenario.h"

namespace fulmarwinch {

/// Measures the real time and the memory of one routing decision at several
/// numbers of servers, and with the subset of groups that a node uses at the
/// target size.
ScenarioResult runDecisionCost(const ScenarioOptions &Options);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_DECISION_COST_H
