#ifndef FULMARWINCH_SERVERS_PLANNING_PLANNER_H
#define FULMARWINCH_SERVERS_PLANNING_PLANNER_H

#include "servers/planning/assignment_summary.h"
#include "servers/planning/plan.h"

#include <string>

namespace fulmarwinch {

/// Who asks for a plan, and under which ID it is to be stored. The ID must be
/// unique, for example the node's ID, its start time and a counter.
struct PlanRequest {
  std::string m_PlanId;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
};

/// Turns an intent into a plan. An intent is
/// `{"entries":[{"kind":…,"name":…,…}, {"kind":…,"name":…,"remove":true}]}`.
class Planner {
public:
  /// Returns the plan, or an error that names the path of the wrong value. An
  /// intent that changes nothing is an error, since a confirm of it would have
  /// no effect that could be recognised.
  static absl::StatusOr<Plan> plan(const Json &Intent,
                                   const ConfigurationView &View,
                                   const AssignmentSummary &Assignment,
                                   const PlanRequest &Request);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLANNER_H
