#include "servers/planning/plan_progress.h"

namespace fulmarwinch {

PlanProgress progressOf(
    ConfigurationRevision Revision,
    const std::map<std::string, ConfigurationRevision> &ReportedRevisions) {
  PlanProgress Progress;
  Progress.m_Revision = Revision;
  for (const auto &[Node, Reported] : ReportedRevisions)
    (Reported >= Revision ? Progress.m_Applied : Progress.m_NotYet)
        .push_back(Node);
  return Progress;
}

Json toJson(const PlanProgress &Progress) {
  return {{"revision", Progress.m_Revision},
          {"applied", Progress.m_Applied},
          {"notYet", Progress.m_NotYet}};
}

} // namespace fulmarwinch
