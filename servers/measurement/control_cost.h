#ifndef FULMARWINCH_SERVERS_MEASUREMENT_CONTROL_COST_H
#define FULMARWINCH_SERVERS_MEASUREMENT_CONTROL_COST_H

#include "servers/measurement/scenario.h"

namespace fulmarwinch {

/// Measures real time and heap use of the group controller with 100, 1,000 and
/// 10,000 VMs, and of configuration views with as many entries.
ScenarioResult runControlCost(const ScenarioOptions &Options);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_CONTROL_COST_H
