#ifndef FULMARWINCH_SERVERS_GROUPS_PLACEMENT_H
#define FULMARWINCH_SERVERS_GROUPS_PLACEMENT_H

#include "servers/groups/assignment.h"
#include "servers/groups/deployment_spec.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Summary of the assignment of one fabric domain, from which placement is
/// computed.
struct DomainSummary {
  std::string m_Domain;
  /// Number of groups by deployment, without draining and disbanded groups.
  std::map<std::string, std::size_t> m_GroupCounts;
  /// Number of serving groups by deployment.
  std::map<std::string, std::size_t> m_ServingGroupCounts;
  std::size_t m_FreeVms = 0;
  /// The domain has more than one group, and all of them are broken. Placement
  /// does not count the groups of such a domain, so that other domains form
  /// replacements.
  bool m_InOutage = false;
};

/// Returns the summary of a stored assignment.
DomainSummary summariseAssignment(const Assignment &Stored);

/// Number of groups that a domain has to form (positive) or to remove
/// (negative), by deployment.
using PlacementChange = std::map<std::string, int>;

/// Returns the placement changes by domain, without domains that have none.
/// Existing groups are not moved, so that the result does not depend on the
/// order of failures. The result depends only on the arguments, so that all
/// lease holders compute the same one.
std::map<std::string, PlacementChange>
placementChanges(const DeploymentSpecs &Specs,
                 std::vector<DomainSummary> Domains);

/// Returns the deployments by descending priority, then by descending downtime
/// weight.
std::vector<const DeploymentSpec *>
deploymentsByPriority(const DeploymentSpecs &Specs);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_PLACEMENT_H
