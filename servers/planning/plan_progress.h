#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_PROGRESS_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_PROGRESS_H

#include "servers/configuration/configuration_change.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Which nodes are known to have applied a revision.
struct PlanProgress {
  ConfigurationRevision m_Revision = 0;
  std::vector<std::string> m_Applied;
  /// Nodes last heard of at a lower revision or never heard of. They may have
  /// applied it since.
  std::vector<std::string> m_NotYet;
};

/// \p KnownRevisions holds every known node with the last revision heard of
/// from it, 0 if none.
PlanProgress
progressOf(ConfigurationRevision Revision,
           const std::map<std::string, ConfigurationRevision> &KnownRevisions);
Json toJson(const PlanProgress &Progress);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_PROGRESS_H
