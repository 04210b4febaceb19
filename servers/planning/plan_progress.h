#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_PROGRESS_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_PROGRESS_H

#include "servers/configuration/configuration_change.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Rollout state of a configuration revision, by node.
struct PlanProgress {
  ConfigurationRevision m_Revision = 0;
  std::vector<std::string> m_AppliedNodes;
  /// Nodes whose last reported revision is lower, or that have not reported
  /// any. They may have applied the revision since.
  std::vector<std::string> m_PendingNodes;
};

/// Returns the rollout state of \p Revision. \p ReportedRevisions maps each
/// known node to its last reported revision, or to 0 if it has not reported
/// any.
PlanProgress planProgress(
    ConfigurationRevision Revision,
    const std::map<std::string, ConfigurationRevision> &ReportedRevisions);
Json toJson(const PlanProgress &Progress);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_PROGRESS_H
