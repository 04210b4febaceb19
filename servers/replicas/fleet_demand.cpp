#include "servers/replicas/fleet_demand.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Weight of one request in the mean priority of its model.
constexpr double PriorityWeight = 0.02;

} // namespace

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

void raiseToBusyGroups(DemandByModel &Demand, const DemandByModel &BusyGroups) {
  for (const auto &[Model, Groups] : BusyGroups) {
    const auto Known = Demand.find(Model);
    if (Known != Demand.end())
      Known->second = std::max(Known->second, Groups);
  }
}

void ModelPriorities::recordRequest(const std::string &Model,
                                    unsigned Priority) {
  const double Value = Priority;
  const auto [Known, IsFirst] = m_MeanByModel.try_emplace(Model, Value);
  Known->second += (Value - Known->second) * PriorityWeight;
}

std::map<std::string, double> ModelPriorities::byModel() const {
  const bool AreEqual = std::all_of(
      m_MeanByModel.begin(), m_MeanByModel.end(), [&](const auto &Entry) {
        return Entry.second == m_MeanByModel.begin()->second;
      });
  return AreEqual ? std::map<std::string, double>() : m_MeanByModel;
}

} // namespace fulmarwinch
