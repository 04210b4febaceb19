#include "servers/replicas/model_rebalancer.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

namespace {

/// A model is short of groups if it has fewer than this number for each group
/// that its requests keep busy. The surplus replaces groups that fail.
constexpr double ShortageRatio = 1.3;
/// The donor must remain better supplied than the other model by this factor.
constexpr double DonorMargin = 1.05;
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

/// Number of groups of \p Donor that must end so that a group of \p Model can
/// form, or nothing if the domain is too small.
std::optional<std::size_t> donorGroupsFor(const DomainSupply &Domain,
                                          const ModelSpec &Model,
                                          const ModelSpec &Donor) {
  const std::size_t Missing =
      Model.m_GroupSize -
      std::min<std::size_t>(Model.m_GroupSize, Domain.m_FreeServers);
  const std::size_t Needed =
      (Missing + Donor.m_GroupSize - 1) / Donor.m_GroupSize;
  const auto Groups = Domain.m_GroupsByModel.find(Donor.m_Name);
  const std::size_t Available =
      Groups == Domain.m_GroupsByModel.end() ? 0 : Groups->second;
  if (Needed > Available)
    return std::nullopt;
  return Needed;
}

} // namespace

std::optional<DomainConversion>
chooseConversion(const std::map<std::string, DomainSupply> &Domains,
                 const std::vector<ModelSpec> &Models,
                 const DemandByModel &Demand) {
  GroupCounts Groups;
  std::map<std::string, GroupCounts> GroupsOfZone;
  for (const auto &[Name, Domain] : Domains)
    for (const auto &[Model, Count] : Domain.m_GroupsByModel) {
      Groups[Model] += static_cast<double>(Count);
      GroupsOfZone[Domain.m_Zone][Model] += static_cast<double>(Count);
    }
  const ModelSpec *Shortest = nullptr;
  for (const ModelSpec &Model : Models)
    if (!Shortest || ratioOf(Groups, Demand, Model.m_Name) <
                         ratioOf(Groups, Demand, Shortest->m_Name))
      Shortest = &Model;
  if (!Shortest || ratioOf(Groups, Demand, Shortest->m_Name) >= ShortageRatio)
    return std::nullopt;
  GroupCounts After = Groups;
  After[Shortest->m_Name] += 1.0;
  const double NewRatio = ratioOf(After, Demand, Shortest->m_Name);
  std::optional<DomainConversion> Best;
  std::pair<double, double> BestCost;
  for (const auto &[Name, Domain] : Domains)
    for (const ModelSpec &Donor : Models) {
      const auto DonorGroups = donorGroupsFor(Domain, *Shortest, Donor);
      if (Donor.m_Name == Shortest->m_Name || !DonorGroups)
        continue;
      After = Groups;
      After[Donor.m_Name] -= static_cast<double>(*DonorGroups);
      if (*DonorGroups > 0 &&
          ratioOf(After, Demand, Donor.m_Name) < NewRatio * DonorMargin)
        continue;
      // Of equal domains, one in a zone with few groups of the model is chosen,
      // so that the loss of a zone does not remove all of them.
      const std::pair<double, double> Cost{
          static_cast<double>(*DonorGroups),
          GroupsOfZone[Domain.m_Zone][Shortest->m_Name]};
      if (Best && Cost >= BestCost)
        continue;
      Best =
          DomainConversion{Name, Shortest->m_Name, Donor.m_Name, *DonorGroups};
      BestCost = Cost;
    }
  return Best;
}

} // namespace fulmarwinch
