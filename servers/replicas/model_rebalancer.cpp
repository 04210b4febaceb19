#include "servers/replicas/model_rebalancer.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

namespace {

/// A model is short of groups if it has fewer than this number for each group
/// that its requests keep busy. The surplus replaces groups that fail.
constexpr double ShortageRatio = 1.3;
/// A conversion must multiply the supply ratio of the worst supplied model by
/// at least this factor.
constexpr double MinImprovement = 1.1;
/// Demand in groups below which a model needs no conversion.
constexpr double MinDemand = 0.5;

using GroupCounts = std::map<std::string, double>;

double ratioOf(const GroupCounts &Groups, const DemandByModel &Demand,
               const std::string &Model) {
  const auto Demanded = Demand.find(Model);
  if (Demanded == Demand.end() || Demanded->second < MinDemand)
    return std::numeric_limits<double>::infinity();
  const auto Supplied = Groups.find(Model);
  return (Supplied == Groups.end() ? 0.0 : Supplied->second) / Demanded->second;
}

double lowestRatio(const GroupCounts &Groups, const DemandByModel &Demand,
                   const std::vector<ModelSpec> &Models) {
  double Lowest = std::numeric_limits<double>::infinity();
  for (const ModelSpec &Model : Models)
    Lowest = std::min(Lowest, ratioOf(Groups, Demand, Model.m_Name));
  return Lowest;
}

} // namespace

std::optional<DomainConversion>
chooseConversion(const std::map<std::string, DomainSupply> &Domains,
                 const std::vector<ModelSpec> &Models,
                 const DemandByModel &Demand) {
  GroupCounts Groups;
  std::map<std::string, std::map<std::string, std::size_t>> ModelDomainsOfZone;
  for (const auto &[Name, Domain] : Domains) {
    for (const auto &[Model, Count] : Domain.m_GroupsByModel)
      Groups[Model] += static_cast<double>(Count);
    ++ModelDomainsOfZone[Domain.m_Zone][Domain.m_Model];
  }
  const ModelSpec *Shortest = nullptr;
  for (const ModelSpec &Model : Models)
    if (!Shortest || ratioOf(Groups, Demand, Model.m_Name) <
                         ratioOf(Groups, Demand, Shortest->m_Name))
      Shortest = &Model;
  const double CurrentRatio = lowestRatio(Groups, Demand, Models);
  if (!Shortest || CurrentRatio >= ShortageRatio)
    return std::nullopt;
  std::optional<DomainConversion> Best;
  double BestRatio = CurrentRatio * MinImprovement;
  std::size_t BestZoneDomains = 0;
  for (const auto &[Name, Domain] : Domains) {
    if (Domain.m_Model == Shortest->m_Name)
      continue;
    GroupCounts After = Groups;
    for (const auto &[Model, Count] : Domain.m_GroupsByModel)
      After[Model] -= static_cast<double>(Count);
    const std::size_t NewGroups =
        Domain.m_UsableServers / Shortest->m_GroupSize;
    After[Shortest->m_Name] += static_cast<double>(NewGroups);
    const double Ratio = lowestRatio(After, Demand, Models);
    // Of equal domains, one in a zone with few groups of the model is
    // converted, so that the loss of a zone does not remove all of them.
    const std::size_t ZoneDomains =
        ModelDomainsOfZone[Domain.m_Zone][Shortest->m_Name];
    const bool IsBetter =
        Best ? Ratio > BestRatio ||
                   (Ratio >= BestRatio && ZoneDomains < BestZoneDomains)
             : Ratio > BestRatio;
    if (!IsBetter)
      continue;
    Best = DomainConversion{Name, Shortest->m_Name};
    BestRatio = Ratio;
    BestZoneDomains = ZoneDomains;
  }
  return Best;
}

} // namespace fulmarwinch
