#ifndef FULMARWINCH_SERVERS_REPLICAS_DOMAIN_LAYOUT_H
#define FULMARWINCH_SERVERS_REPLICAS_DOMAIN_LAYOUT_H

#include "servers/routes/traffic_configuration.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Backend servers of one fabric domain, and the weights that they hold or
/// load.
struct DomainStock {
  std::string m_Zone;
  std::size_t m_Servers = 0;
  /// Servers by model; those without weights are in none.
  std::map<std::string, std::size_t> m_Holding;
};

/// Chooses one model for each fabric domain, so that the servers left over by
/// a lost member fit the next group of the domain. Where a domain holds both
/// models, the rest of each is stranded: groups of four and three leave 2.5
/// servers of a domain on average, groups of one size 1.5 or 1.
///
/// A domain keeps the model that most of its servers hold. The others get the
/// model that is furthest below its part of \p ServerShares, and the domains
/// of one availability zone different models where they can. The result is
/// empty if there are too few domains for that, and each domain then mixes.
/// \p MoreExpected tells that other domains have yet to appear.
std::map<std::string, std::string>
layOutDomains(const std::map<std::string, DomainStock> &Domains,
              const std::map<std::string, double> &ServerShares,
              bool MoreExpected);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_DOMAIN_LAYOUT_H
