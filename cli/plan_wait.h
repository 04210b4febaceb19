#ifndef FULMARWINCH_CLI_PLAN_WAIT_H
#define FULMARWINCH_CLI_PLAN_WAIT_H

#include "core/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// How far a confirmed plan is carried out.
struct PlanWaitState {
  std::int64_t m_Revision = 0;
  std::size_t m_NodesApplied = 0;
  /// Nodes that are not known to have applied the revision and are not dead.
  std::vector<std::string> m_NodesMissing;
  /// They cannot apply anything, so a wait does not include them.
  std::vector<std::string> m_NodesDead;
  std::size_t m_GroupsServing = 0;
  std::size_t m_GroupsWanted = 0;
  /// Affected groups that have not changed yet or do not serve again.
  std::vector<std::string> m_GroupsMissing;

  bool isDone() const {
    return m_Revision > 0 && m_NodesMissing.empty() &&
           m_GroupsMissing.empty() && m_GroupsServing >= m_GroupsWanted;
  }
};

/// Follows one plan from the responses of the operator API.
class PlanWait {
public:
  /// \p Plan and \p Status are the responses from before the confirm. If the
  /// plan was accepted earlier, the earlier state of its groups is not known
  /// and only their present service counts.
  PlanWait(const Json &Plan, const Json &Status);

  PlanWaitState state(const Json &Plan, const Json &Status) const;

private:
  /// Generation of each affected group before the confirm.
  std::map<std::string, std::int64_t> m_Before;
};

std::string toText(const PlanWaitState &State);
Json toJson(const PlanWaitState &State);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_PLAN_WAIT_H
