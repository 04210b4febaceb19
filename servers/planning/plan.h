#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_H

#include "servers/configuration/configuration_writer.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// One entry that a plan adds, changes or removes.
struct PlannedEntry {
  EntryId m_Id;
  ConfigurationRevision m_BaseRevision = 0;
  /// Canonical text before and after; empty where the entry does not exist.
  std::string m_Before;
  std::string m_After;
};

/// What a change will do to the running system, by the assignment at the time
/// of planning.
struct PlanEffects {
  std::vector<std::string> m_Groups;
  std::vector<std::string> m_Vms;
  std::int64_t m_RunningRequests = 0;
  /// Sum over the affected groups.
  double m_DowntimeSeconds = 0;
  std::int64_t m_StrandedAccelerators = 0;
  std::vector<std::string> m_Warnings;
};

/// An immutable plan, stored as `plan/<id>`.
struct Plan {
  std::string m_Id;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
  ConfigurationRevision m_BaseRevision = 0;
  std::vector<PlannedEntry> m_Entries;
  PlanEffects m_Effects;
};

std::string planKey(const std::string &PlanId);
Json toJson(const Plan &Plan);
std::string encodePlan(const Plan &Plan);
absl::StatusOr<Plan> decodePlan(const std::string &Text);
/// Returns what has to be accepted when the plan is confirmed by \p Operator.
AcceptRequest acceptRequestOf(const Plan &Plan, const std::string &Operator,
                              UnixSeconds Now);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_H
