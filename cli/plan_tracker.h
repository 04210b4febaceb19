#ifndef FULMARWINCH_CLI_PLAN_TRACKER_H
#define FULMARWINCH_CLI_PLAN_TRACKER_H

#include "core/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Progress of a confirmed plan.
struct PlanRolloutProgress {
  std::int64_t m_Revision = 0;
  std::size_t m_NodesApplied = 0;
  /// Live nodes that have not reported that they applied the revision.
  std::vector<std::string> m_PendingNodes;
  /// Nodes that have not applied the revision and are dead or have left the
  /// cluster. The plan counts as carried out without them.
  std::vector<std::string> m_UnavailableNodes;
  std::size_t m_GroupsServing = 0;
  std::size_t m_GroupsRequired = 0;
  /// Affected groups that still run their old generation, are not serving, or
  /// are in an availability zone that the plan takes out of service.
  std::vector<std::string> m_PendingGroups;

  /// Returns true if the plan is carried out on all live nodes and groups.
  bool isDone() const {
    return m_Revision > 0 && m_PendingNodes.empty() &&
           m_PendingGroups.empty() && m_GroupsServing >= m_GroupsRequired;
  }
};

/// Computes the progress of one plan from responses of the operator API.
class PlanTracker {
public:
  /// \p Plan and \p Status are responses from before the confirm. If the plan
  /// was already accepted by then, the old generations of its groups are not
  /// known and progress() only checks that the groups are serving.
  PlanTracker(const Json &Plan, const Json &Status);

  /// Returns the progress according to the given responses.
  PlanRolloutProgress progress(const Json &Plan, const Json &Status) const;

private:
  /// Generation of each affected group before the confirm, by group name.
  std::map<std::string, std::int64_t> m_GenerationBefore;
};

/// Returns the progress as one line for the terminal.
std::string toText(const PlanRolloutProgress &Progress);
Json toJson(const PlanRolloutProgress &Progress);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_PLAN_TRACKER_H
