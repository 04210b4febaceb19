#ifndef FULMARWINCH_SERVERS_GROUPS_PLACEMENT_H
#define FULMARWINCH_SERVERS_GROUPS_PLACEMENT_H

#include "servers/groups/assignment.h"
#include "servers/groups/deployment_spec.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// What placement knows of one domain.
struct DomainSummary {
  std::string m_Domain;
  /// Groups by deployment, without those that are leaving.
  std::map<std::string, std::size_t> m_Groups;
  std::map<std::string, std::size_t> m_ServingGroups;
  std::size_t m_FreeVms = 0;
  /// All groups are broken: others may form replacements.
  bool m_Dark = false;
};

/// Summarises a stored assignment.
DomainSummary summarise(const Assignment &Value);

/// Returns, by deployment, how many groups the domain \p Domain forms
/// (positive) or removes (negative). Existing groups stay where they are, so
/// that the result does not depend on the order of failures. All holders
/// compute the same result from the same summaries.
std::map<std::string, int>
placementChange(const DeploymentSpecs &Specs,
                const std::vector<DomainSummary> &Domains,
                const std::string &Domain);

/// Deployments, the most valuable first.
std::vector<const DeploymentSpec *> byValue(const DeploymentSpecs &Specs);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_PLACEMENT_H
