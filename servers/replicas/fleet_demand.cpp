#include "servers/replicas/fleet_demand.h"

namespace fulmarwinch {

void FleetDemand::setPeerDemand(const std::string &Peer, DemandByModel Demand,
                                MonotonicTime Now) {
  // Peers that were replaced never report again, so their entries are removed
  // here.
  for (auto Entry = m_Peers.begin(); Entry != m_Peers.end();)
    Entry = Now - Entry->second.m_ReceivedAt > MaxReportAge
                ? m_Peers.erase(Entry)
                : std::next(Entry);
  m_Peers[Peer] = {std::move(Demand), Now};
}

DemandByModel FleetDemand::total(const DemandByModel &Own,
                                 MonotonicTime Now) const {
  DemandByModel Total = Own;
  for (const auto &[Peer, Report] : m_Peers)
    if (Now - Report.m_ReceivedAt <= MaxReportAge)
      for (const auto &[Model, Groups] : Report.m_Demand)
        Total[Model] += Groups;
  return Total;
}

} // namespace fulmarwinch
