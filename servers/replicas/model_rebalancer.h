#ifndef FULMARWINCH_SERVERS_REPLICAS_MODEL_REBALANCER_H
#define FULMARWINCH_SERVERS_REPLICAS_MODEL_REBALANCER_H

#include "servers/replicas/fleet_demand.h"
#include "servers/routes/traffic_configuration.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Replica groups and servers of one fabric domain that may serve requests.
struct DomainSupply {
  std::string m_Zone;
  /// Servers in no group that could join one.
  std::size_t m_FreeServers = 0;
  /// Number of groups that are open or forming, by model.
  std::map<std::string, std::size_t> m_GroupsByModel;
};

/// Decision to form one more group of a model in a fabric domain, from free
/// servers and those of groups of another model.
struct DomainConversion {
  std::string m_Domain;
  std::string m_Model;
  /// Model that gives up groups, and their number; it may be 0.
  std::string m_DonorModel;
  std::size_t m_DonorGroups = 0;
};

/// Chooses a domain in which the servers of one more group should load another
/// model, so that the models are supplied in proportion to \p Demand. Returns
/// nothing unless a model is short of groups and remains worse supplied than
/// the donor, so that no later decision reverses this one. \p Domains contains
/// only domains that accept requests; conversions in progress count as
/// finished.
std::optional<DomainConversion>
chooseConversion(const std::map<std::string, DomainSupply> &Domains,
                 const std::vector<ModelSpec> &Models,
                 const DemandByModel &Demand);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_MODEL_REBALANCER_H
