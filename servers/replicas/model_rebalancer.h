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

/// What decides, besides the demand, which model is short of groups and which
/// one gives some up.
struct ConversionPolicy {
  /// A model is short of groups if it has fewer than this number for each group
  /// that its requests keep busy. The surplus replaces groups that fail.
  double m_ShortageRatio = 1.3;
  /// Mean priority of the requests of each model, 0 for the most urgent. Empty
  /// if all requests have the same priority.
  std::map<std::string, double> m_PriorityByModel;

  /// True if the requests of \p Model are more urgent than those of \p Other.
  bool isMoreUrgent(const std::string &Model, const std::string &Other) const;
};

/// Returns the shortage ratio at which the groups that remain after the loss of
/// \p LostZones of \p Zones availability zones still have the surplus \p Ratio.
double shortageRatioAfterZoneLoss(double Ratio, std::size_t Zones,
                                  std::size_t LostZones);

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
///
/// If the groups do not suffice for all models, for example after the loss of
/// an availability zone, the model with the more urgent requests is supplied
/// first: it receives groups until they cover its demand, and a donor with less
/// urgent requests keeps half of its own.
std::optional<DomainConversion>
chooseConversion(const std::map<std::string, DomainSupply> &Domains,
                 const std::vector<ModelSpec> &Models,
                 const DemandByModel &Demand,
                 const ConversionPolicy &Policy = {});

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_MODEL_REBALANCER_H
