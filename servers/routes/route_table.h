#ifndef FULMARWINCH_SERVERS_ROUTES_ROUTE_TABLE_H
#define FULMARWINCH_SERVERS_ROUTES_ROUTE_TABLE_H

#include "servers/routes/traffic_configuration.h"

#include "absl/container/flat_hash_map.h"

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Lookups in one version of the configuration. Immutable, so that a request
/// keeps the version that it began with.
class RouteTable {
public:
  explicit RouteTable(TrafficConfiguration Configuration);

  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  /// \p Path may carry a query, and \p Host a port.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const ServiceSpec *findService(std::string_view Name) const;
  /// Returns the organisation that holds \p Key, or null.
  const OrganisationSpec *findOrganisation(std::string_view Key) const;
  /// True if requests need the key of an organisation.
  bool needsKeys() const { return !m_Configuration.m_Organisations.empty(); }

  const TrafficConfiguration &configuration() const { return m_Configuration; }

private:
  TrafficConfiguration m_Configuration;
  /// Key: host in lower case followed by the path prefix.
  absl::flat_hash_map<std::string, std::size_t> m_Routes;
  absl::flat_hash_map<std::string, std::size_t> m_Services;
  absl::flat_hash_map<std::string, std::size_t> m_Keys;
};

/// Returns the service for a request on \p On. \p Draw is uniform in [0, 1).
const std::string &chooseService(const Route &On, double Draw);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTES_ROUTE_TABLE_H
