#ifndef FULMARWINCH_SERVERS_ROUTES_ROUTE_TABLE_H
#define FULMARWINCH_SERVERS_ROUTES_ROUTE_TABLE_H

#include "servers/routes/traffic_configuration.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Index of routes, services and API keys in one version of the configuration.
/// Immutable, so that a request uses one version from start to end.
class RouteTable {
public:
  explicit RouteTable(TrafficConfiguration Configuration);

  /// Returns the route of \p Host whose path prefix is the longest one that
  /// matches \p Path, or null. \p Path may contain a query, and \p Host a port.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  /// Returns the service with the name \p Name, or null.
  const ServiceSpec *findService(std::string_view Name) const;
  /// Returns the organisation to which the API key \p Key belongs, or null.
  const OrganisationSpec *findOrganisation(std::string_view Key) const;
  /// True if the requests for the service \p Name differ in priority.
  bool hasPriorities(const std::string &Name) const {
    return m_PrioritisedServices.contains(Name);
  }
  /// True if requests must present the API key of an organisation.
  bool requiresApiKeys() const { return m_Configuration.m_RequiresApiKeys; }

  const TrafficConfiguration &configuration() const { return m_Configuration; }

private:
  TrafficConfiguration m_Configuration;
  /// Index of each route by its host in lower case followed by its path prefix.
  absl::flat_hash_map<std::string, std::size_t> m_Routes;
  /// Index of each service by its name.
  absl::flat_hash_map<std::string, std::size_t> m_Services;
  /// Index of each organisation by its API keys.
  absl::flat_hash_map<std::string, std::size_t> m_OrganisationByApiKey;
  absl::flat_hash_set<std::string> m_PrioritisedServices;
};

/// Returns the priority of a request. That of the organisation takes precedence
/// over that of the route; \p Organisation may be null. The result is at most
/// 9, the lowest priority that servers know.
unsigned requestPriority(const Route &MatchedRoute,
                         const OrganisationSpec *Organisation);

/// Chooses the service for a request on \p MatchedRoute at random, according to
/// the weights. \p Draw is uniform in [0, 1).
const std::string &chooseService(const Route &MatchedRoute, double Draw);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTES_ROUTE_TABLE_H
