#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_EFFECTS_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_EFFECTS_H

#include "servers/planning/assignment_summary.h"
#include "servers/planning/plan.h"

namespace fulmarwinch {

/// Estimates the effects of \p Entries on the groups and VMs of \p Assignment.
/// \p Before and \p After are the configurations without and with the change.
/// The estimate is only shown to operators; no decision of the system depends
/// on it.
PlanEffects estimateEffects(const std::vector<PlannedEntry> &Entries,
                            const ConfigurationView &Before,
                            const ConfigurationView &After,
                            const AssignmentSummary &Assignment);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_EFFECTS_H
