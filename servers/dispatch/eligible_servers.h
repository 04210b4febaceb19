#ifndef FULMARWINCH_SERVERS_DISPATCH_ELIGIBLE_SERVERS_H
#define FULMARWINCH_SERVERS_DISPATCH_ELIGIBLE_SERVERS_H

#include "servers/fleet/fleet_view.h"
#include "servers/routes/traffic_configuration.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fulmarwinch {

/// True if \p Server serves \p Model of \p Service with all members of its
/// group, whether or not it may be sent requests now.
bool isEligible(const FleetView &Fleet, const ServiceSpec &Service,
                const std::string &Model, const BackendServer &Server);

/// Caches the servers that serve a model of a service until the fleet view
/// changes. Each check looks up all members of the group, and requests are
/// more frequent than changes.
class EligibleServers {
public:
  /// Returns the eligible servers, ordered by ID. The result is valid until the
  /// next call and the next change of \p Fleet.
  const std::vector<const BackendServer *> &find(const FleetView &Fleet,
                                                 const ServiceSpec &Service,
                                                 const std::string &Model);

private:
  struct Entry {
    const FleetView *m_Fleet = nullptr;
    std::uint64_t m_ChangeCount = 0;
    unsigned m_GroupSize = 0;
    std::vector<const BackendServer *> m_Servers;
  };

  /// By service and model.
  std::map<std::pair<std::string, std::string>, Entry> m_Entries;
  std::vector<const BackendServer *> m_None;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_ELIGIBLE_SERVERS_H
