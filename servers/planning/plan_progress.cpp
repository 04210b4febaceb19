#include "servers/planning/plan_progress.h"

namespace fulmarwinch {

PlanProgress planProgress(
    ConfigurationRevision Revision,
    const std::map<std::string, ConfigurationRevision> &ReportedRevisions) {
  PlanProgress Progress;
  Progress.m_Revision = Revision;
  for (const auto &[Node, Reported] : ReportedRevisions)
    (Reported >= Revision ? Progress.m_AppliedNodes : Progress.m_PendingNodes)
        .push_back(Node);
  return Progress;
}

Json toJson(const PlanProgress &Progress) {
  return {{"revision", Progress.m_Revision},
          {"applied", Progress.m_AppliedNodes},
          {"notYet", Progress.m_PendingNodes}};
}

} // namespace fulmarwinch
