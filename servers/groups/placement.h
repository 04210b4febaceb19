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

/// How many groups a domain forms (positive) or removes (negative), by
/// deployment.
using PlacementChange = std::map<std::string, int>;

/// Returns the changes of all domains that have any, by domain. Existing
/// groups stay where they are, so that the result does not depend on the order
/// of failures. All holders compute the same result from the same summaries.
std::map<std::string, PlacementChange>
placementChanges(const DeploymentSpecs &Specs,
                 std::vector<DomainSummary> Domains);

/// Deployments, the most valuable first.
std::vector<const DeploymentSpec *> byValue(const DeploymentSpecs &Specs);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_PLACEMENT_H
