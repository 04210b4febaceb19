#include "servers/replicas/model_rebalancer.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

namespace {

/// The donor must remain better supplied than the other model by this factor.
constexpr double DonorMargin = 1.05;
/// Demand in groups below which a model needs no conversion.
constexpr double MinDemand = 0.5;
/// Groups for each busy one that a donor with less urgent requests keeps.
constexpr double MinLessUrgentRatio = 0.5;
/// Groups for each busy one that a donor with more urgent requests keeps. The
/// margin above 1, up to which it receives groups itself, prevents conversions
/// to and fro.
constexpr double MinMoreUrgentRatio = 1.15;
/// Difference of the mean priorities from which one model counts as more
/// urgent.
constexpr double PriorityDifference = 0.5;

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

/// Returns the model that receives the next group, or null if none is short of
/// groups: of the models whose groups do not cover their demand the most urgent
/// one, otherwise the one with the fewest groups for its demand.
const ModelSpec *findShortModel(const GroupCounts &Groups,
                                const std::vector<ModelSpec> &Models,
                                const DemandByModel &Demand,
                                const ConversionPolicy &Policy) {
  const ModelSpec *Shortest = nullptr;
  double LowestRatio = Policy.m_ShortageRatio;
  for (const ModelSpec &Model : Models) {
    const double Ratio = ratioOf(Groups, Demand, Model.m_Name);
    if (Ratio >= Policy.m_ShortageRatio)
      continue;
    const bool AreBothUncovered = Shortest && Ratio < 1.0 && LowestRatio < 1.0;
    const bool GoesFirst =
        !Shortest ||
        (AreBothUncovered &&
         Policy.isMoreUrgent(Model.m_Name, Shortest->m_Name)) ||
        (Ratio < LowestRatio &&
         !(AreBothUncovered &&
           Policy.isMoreUrgent(Shortest->m_Name, Model.m_Name)));
    if (!GoesFirst)
      continue;
    Shortest = &Model;
    LowestRatio = Ratio;
  }
  return Shortest;
}

/// Lowest number of groups for each busy one that \p Donor must keep if it
/// gives up groups for \p Model, which has \p Ratio now and \p NewRatio then.
double minDonorRatio(const std::string &Donor, const std::string &Model,
                     double Ratio, double NewRatio,
                     const ConversionPolicy &Policy) {
  if (Ratio < 1.0 && Policy.isMoreUrgent(Model, Donor))
    return std::min(MinLessUrgentRatio, NewRatio * DonorMargin);
  if (Policy.isMoreUrgent(Donor, Model))
    return std::max(MinMoreUrgentRatio, NewRatio * DonorMargin);
  return NewRatio * DonorMargin;
}

} // namespace

bool ConversionPolicy::isMoreUrgent(const std::string &Model,
                                    const std::string &Other) const {
  const auto Own = m_PriorityByModel.find(Model);
  const auto Others = m_PriorityByModel.find(Other);
  return Own != m_PriorityByModel.end() && Others != m_PriorityByModel.end() &&
         Own->second + PriorityDifference <= Others->second;
}

double shortageRatioAfterZoneLoss(double Ratio, std::size_t Zones,
                                  std::size_t LostZones) {
  return LostZones >= Zones ? Ratio
                            : Ratio * static_cast<double>(Zones) /
                                  static_cast<double>(Zones - LostZones);
}

std::optional<DomainConversion>
chooseConversion(const std::map<std::string, DomainSupply> &Domains,
                 const std::vector<ModelSpec> &Models,
                 const DemandByModel &Demand, const ConversionPolicy &Policy) {
  GroupCounts Groups;
  std::map<std::string, GroupCounts> GroupsOfZone;
  for (const auto &[Name, Domain] : Domains)
    for (const auto &[Model, Count] : Domain.m_GroupsByModel) {
      Groups[Model] += static_cast<double>(Count);
      GroupsOfZone[Domain.m_Zone][Model] += static_cast<double>(Count);
    }
  const ModelSpec *Shortest = findShortModel(Groups, Models, Demand, Policy);
  if (!Shortest)
    return std::nullopt;
  const double Ratio = ratioOf(Groups, Demand, Shortest->m_Name);
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
      if (*DonorGroups > 0 && ratioOf(After, Demand, Donor.m_Name) <
                                  minDonorRatio(Donor.m_Name, Shortest->m_Name,
                                                Ratio, NewRatio, Policy))
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
