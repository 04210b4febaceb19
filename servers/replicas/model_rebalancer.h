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
  /// Model that is assigned to the domain.
  std::string m_Model;
  /// Servers that are neither draining nor unreachable.
  std::size_t m_UsableServers = 0;
  /// Number of groups that are open or forming, by model.
  std::map<std::string, std::size_t> m_GroupsByModel;
};

/// Decision to give the servers of a fabric domain another model.
struct DomainConversion {
  std::string m_Domain;
  std::string m_Model;
};

/// Chooses a domain whose servers should load another model, so that the models
/// are supplied in proportion to \p Demand. Returns nothing unless a model is
/// short of groups and the conversion clearly improves the supply of the worst
/// supplied model: each conversion costs one load from the weight store for
/// each server, and groups that stop serving meanwhile. \p Domains contains
/// only domains that accept requests; those that are being converted count as
/// if the conversion had finished.
std::optional<DomainConversion>
chooseConversion(const std::map<std::string, DomainSupply> &Domains,
                 const std::vector<ModelSpec> &Models,
                 const DemandByModel &Demand);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_MODEL_REBALANCER_H
