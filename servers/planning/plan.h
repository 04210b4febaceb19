#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_H

#include "servers/configuration/configuration_writer.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// One configuration entry that a plan adds, changes or removes.
struct PlannedEntry {
  EntryId m_Id;
  /// Revision of the last change of this entry when the plan was made; 0 if the
  /// entry had never existed.
  ConfigurationRevision m_BaseRevision = 0;
  /// Canonical JSON text of the entry before and after the change; empty if the
  /// entry does not exist before or after it.
  std::string m_TextBefore;
  std::string m_TextAfter;
};

/// Estimated effects of a plan on the running system, based on the assignment
/// at the time of planning.
struct PlanEffects {
  /// IDs of the groups that are reloaded or stopped.
  std::vector<std::string> m_Groups;
  /// Names of the affected VMs.
  std::vector<std::string> m_Vms;
  /// Number of running requests of the affected groups.
  std::int64_t m_RunningRequests = 0;
  /// Sum of the expected reload times of the affected groups, in seconds.
  double m_DowntimeSeconds = 0;
  /// Number of accelerators in VMs that become idle because their group stops.
  std::int64_t m_StrandedAccelerators = 0;
  std::vector<std::string> m_Warnings;
};

/// An immutable plan of a configuration change, stored as the object
/// `plan/<id>`. It takes effect when an operator confirms it.
struct Plan {
  std::string m_Id;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
  /// Revision of the configuration from which the plan was made.
  ConfigurationRevision m_BaseRevision = 0;
  std::vector<PlannedEntry> m_Entries;
  PlanEffects m_Effects;
};

/// Returns the store key of a plan.
std::string planKey(const std::string &PlanId);
Json toJson(const Plan &Plan);
/// Returns the JSON text to store for \p Plan.
std::string encodePlan(const Plan &Plan);
/// Returns the stored plan, or an error if \p Text is malformed.
absl::StatusOr<Plan> decodePlan(const std::string &Text);
/// Returns the request to accept the change of \p Plan, confirmed by
/// \p Operator at \p Now.
ProposedChange makeProposedChange(const Plan &Plan, const std::string &Operator,
                                  UnixSeconds Now);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_H
