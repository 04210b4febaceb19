#include "servers/groups/placement.h"
#include "core/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

std::size_t countOf(const std::map<std::string, std::size_t> &Counts,
                    const std::string &Name) {
  const auto Found = Counts.find(Name);
  return Found == Counts.end() ? 0 : Found->second;
}

/// Order of the domains for one deployment among equally suitable ones. It is
/// computed once, since each group that is placed compares all domains.
std::vector<std::uint64_t> weightsOf(const std::vector<DomainSummary> &Domains,
                                     const DeploymentSpec &Spec) {
  std::vector<std::uint64_t> Weights;
  Weights.reserve(Domains.size());
  for (const DomainSummary &Domain : Domains)
    Weights.push_back(rendezvousWeight(Spec.m_Name, Domain.m_Domain));
  return Weights;
}

DomainSummary *formingDomain(std::vector<DomainSummary> &Domains,
                             const DeploymentSpec &Spec,
                             const std::vector<std::uint64_t> &Weights) {
  std::size_t Best = Domains.size();
  const auto Rank = [&](std::size_t Index) {
    return std::make_tuple(Domains[Index].m_FreeVms, Weights[Index]);
  };
  for (std::size_t I = 0; I < Domains.size(); ++I)
    if (!Domains[I].m_Dark && Domains[I].m_FreeVms >= Spec.m_VmsPerGroup &&
        (Best == Domains.size() || Rank(I) > Rank(Best)))
      Best = I;
  return Best == Domains.size() ? nullptr : &Domains[Best];
}

DomainSummary *removingDomain(std::vector<DomainSummary> &Domains,
                              const DeploymentSpec &Spec,
                              const std::vector<std::uint64_t> &Weights) {
  std::size_t Best = Domains.size();
  // A domain with groups that don't serve loses one first.
  const auto Rank = [&](std::size_t Index) {
    const DomainSummary &Domain = Domains[Index];
    const std::size_t Groups = countOf(Domain.m_Groups, Spec.m_Name);
    return std::make_tuple(Groups -
                               countOf(Domain.m_ServingGroups, Spec.m_Name),
                           Groups, Weights[Index]);
  };
  for (std::size_t I = 0; I < Domains.size(); ++I)
    if (!Domains[I].m_Dark && countOf(Domains[I].m_Groups, Spec.m_Name) > 0 &&
        (Best == Domains.size() || Rank(I) > Rank(Best)))
      Best = I;
  return Best == Domains.size() ? nullptr : &Domains[Best];
}

} // namespace

DomainSummary summarise(const Assignment &Value) {
  DomainSummary Summary;
  Summary.m_Domain = Value.m_Domain;
  std::size_t Broken = 0;
  std::size_t Groups = 0;
  for (const auto &[Id, Group] : Value.m_Groups) {
    if (Group.m_State == GroupState::Draining ||
        Group.m_State == GroupState::Disbanded)
      continue;
    ++Groups;
    ++Summary.m_Groups[Group.m_Deployment];
    if (Group.m_State == GroupState::Serving)
      ++Summary.m_ServingGroups[Group.m_Deployment];
    if (Group.m_State == GroupState::Broken)
      ++Broken;
  }
  for (const auto &[Name, Vm] : Value.m_Vms)
    if (Vm.m_State == VmState::Free)
      ++Summary.m_FreeVms;
  // A single broken group is repaired in its domain.
  Summary.m_Dark = Groups > 1 && Broken == Groups;
  return Summary;
}

std::vector<const DeploymentSpec *> byValue(const DeploymentSpecs &Specs) {
  std::vector<const DeploymentSpec *> Ordered;
  for (const auto &[Name, Spec] : Specs)
    Ordered.push_back(&Spec);
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [](const DeploymentSpec *Left, const DeploymentSpec *Right) {
                     return std::tie(Left->m_Priority, Left->m_DowntimeWeight) >
                            std::tie(Right->m_Priority,
                                     Right->m_DowntimeWeight);
                   });
  return Ordered;
}

std::map<std::string, PlacementChange>
placementChanges(const DeploymentSpecs &Specs,
                 std::vector<DomainSummary> Domains) {
  std::map<std::string, PlacementChange> Changes;
  for (const DeploymentSpec *Spec : byValue(Specs)) {
    const std::string &Name = Spec->m_Name;
    const std::vector<std::uint64_t> Weights = weightsOf(Domains, *Spec);
    std::size_t Have = 0;
    for (const DomainSummary &Current : Domains)
      if (!Current.m_Dark)
        Have += countOf(Current.m_Groups, Name);
    for (; Have < Spec->m_Replicas; ++Have) {
      DomainSummary *Place = formingDomain(Domains, *Spec, Weights);
      if (Place == nullptr)
        break;
      Place->m_FreeVms -= Spec->m_VmsPerGroup;
      ++Place->m_Groups[Name];
      ++Changes[Place->m_Domain][Name];
    }
    for (; Have > Spec->m_Replicas; --Have) {
      DomainSummary *Place = removingDomain(Domains, *Spec, Weights);
      if (Place == nullptr)
        break;
      --Place->m_Groups[Name];
      std::size_t &Serving = Place->m_ServingGroups[Name];
      Serving = std::min(Serving, Place->m_Groups[Name]);
      --Changes[Place->m_Domain][Name];
    }
  }
  return Changes;
}

} // namespace fulmarwinch
