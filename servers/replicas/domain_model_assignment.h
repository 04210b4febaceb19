#ifndef FULMARWINCH_SERVERS_REPLICAS_DOMAIN_MODEL_ASSIGNMENT_H
#define FULMARWINCH_SERVERS_REPLICAS_DOMAIN_MODEL_ASSIGNMENT_H

#include "servers/routes/traffic_configuration.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Backend servers of one fabric domain, counted by the model whose weights
/// they have loaded or are loading.
struct DomainInventory {
  std::string m_Zone;
  std::size_t m_ServerCount = 0;
  /// Number of servers by model. Servers that have not begun to load weights
  /// are not counted.
  std::map<std::string, std::size_t> m_ServersByModel;
};

/// Assigns one model to each fabric domain, so that the servers that remain
/// when a group loses a member can join the next group of the same domain. In a
/// domain with two models, servers of both are left over: with groups of four
/// and three servers, 2.5 servers of a domain are in no group on average, but
/// only 1.5 or 1 if all groups have one size.
///
/// A domain keeps the model that most of its servers have loaded. Each other
/// domain gets the model whose number of domains is furthest below its share in
/// \p ServerShares; the domains of one availability zone get different models
/// where possible. The result is empty if there are too few domains for the
/// number of models, and each domain may then run groups of every model.
/// \p MoreDomainsExpected is true while further domains may still register; the
/// number of domains is then not checked.
std::map<std::string, std::string>
assignModelsToDomains(const std::map<std::string, DomainInventory> &Domains,
                      const std::map<std::string, double> &ServerShares,
                      bool MoreDomainsExpected);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_DOMAIN_MODEL_ASSIGNMENT_H
