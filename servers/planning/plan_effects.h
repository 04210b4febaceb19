#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_EFFECTS_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_EFFECTS_H

#include "servers/planning/assignment_summary.h"
#include "servers/planning/plan.h"

namespace fulmarwinch {

/// Estimates what \p Entries do to the groups and VMs of \p Assignment, with
/// \p After as the configuration that results. The estimate is for people; no
/// decision depends on it.
PlanEffects estimateEffects(const std::vector<PlannedEntry> &Entries,
                            const ConfigurationView &Before,
                            const ConfigurationView &After,
                            const AssignmentSummary &Assignment);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_EFFECTS_H
