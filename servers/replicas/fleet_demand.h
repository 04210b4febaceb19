#ifndef FULMARWINCH_SERVERS_REPLICAS_FLEET_DEMAND_H
#define FULMARWINCH_SERVERS_REPLICAS_FLEET_DEMAND_H

#include "core/time.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Number of replica groups that traffic keeps busy, by model.
using DemandByModel = std::map<std::string, double>;

/// Demand of all nodes: that of this node and what its peers reported.
class FleetDemand {
public:
  /// Time after which the report of a peer is no longer used. Its clients then
  /// use other nodes, which report them.
  static constexpr Duration MaxReportAge = std::chrono::seconds(4);

  void setPeerDemand(const std::string &Peer, DemandByModel Demand,
                     MonotonicTime Now);
  /// Returns the sum of \p Own and the recent reports of the peers.
  DemandByModel total(const DemandByModel &Own, MonotonicTime Now) const;

private:
  struct PeerReport {
    DemandByModel m_Demand;
    MonotonicTime m_ReceivedAt{};
  };

  std::map<std::string, PeerReport> m_Peers;
};

/// Raises the demand of each model to \p BusyGroups, the number of its groups
/// that the requests in flight fill. The estimate from the sizes of requests
/// assumes full batches and is too low while requests queue at the groups.
void raiseToBusyGroups(DemandByModel &Demand, const DemandByModel &BusyGroups);

/// Mean priority of the recent requests of each model on this node.
class ModelPriorities {
public:
  void recordRequest(const std::string &Model, unsigned Priority);
  /// Returns the means, or nothing if all are equal.
  std::map<std::string, double> byModel() const;

private:
  std::map<std::string, double> m_MeanByModel;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_FLEET_DEMAND_H
