#ifndef FULMARWINCH_SERVERS_PLANNING_PLANNER_H
#define FULMARWINCH_SERVERS_PLANNING_PLANNER_H

#include "servers/planning/assignment_summary.h"
#include "servers/planning/plan.h"

#include <string>

namespace fulmarwinch {

/// Operator and time of a plan request, and the ID of the new plan. The ID must
/// be unique, for example composed of the node ID, its start time and a
/// counter.
struct PlanRequest {
  std::string m_PlanId;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
};

/// Validates an intent and makes a plan from it. An intent is
/// `{"entries":[{"kind":…,"name":…,…}, {"kind":…,"name":…,"remove":true}]}`.
class Planner {
public:
  /// Returns the plan, or an InvalidArgument error with the path of the invalid
  /// value. An intent that changes nothing is an error, because nothing would
  /// show that its confirmation took effect.
  static absl::StatusOr<Plan> plan(const Json &Intent,
                                   const ConfigurationView &View,
                                   const AssignmentSummary &Assignment,
                                   const PlanRequest &Request);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLANNER_H
