#include "servers/groups/placement.h"
#include "servers/lease/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

std::size_t countOf(const std::map<std::string, std::size_t> &Counts,
                    const std::string &Name) {
  const auto Found = Counts.find(Name);
  return Found == Counts.end() ? 0 : Found->second;
}

DomainSummary *formingDomain(std::vector<DomainSummary> &Domains,
                             const DeploymentSpec &Spec) {
  DomainSummary *Best = nullptr;
  const auto Rank = [&Spec](const DomainSummary &Domain) {
    return std::make_tuple(Domain.m_FreeVms,
                           rendezvousWeight(Spec.m_Name, Domain.m_Domain));
  };
  for (DomainSummary &Domain : Domains)
    if (!Domain.m_Dark && Domain.m_FreeVms >= Spec.m_VmsPerGroup &&
        (Best == nullptr || Rank(Domain) > Rank(*Best)))
      Best = &Domain;
  return Best;
}

DomainSummary *removingDomain(std::vector<DomainSummary> &Domains,
                              const DeploymentSpec &Spec) {
  DomainSummary *Best = nullptr;
  // A domain with groups that don't serve loses one first.
  const auto Rank = [&Spec](const DomainSummary &Domain) {
    const std::size_t Groups = countOf(Domain.m_Groups, Spec.m_Name);
    return std::make_tuple(
        Groups - countOf(Domain.m_ServingGroups, Spec.m_Name), Groups,
        rendezvousWeight(Spec.m_Name, Domain.m_Domain));
  };
  for (DomainSummary &Domain : Domains)
    if (!Domain.m_Dark && countOf(Domain.m_Groups, Spec.m_Name) > 0 &&
        (Best == nullptr || Rank(Domain) > Rank(*Best)))
      Best = &Domain;
  return Best;
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

std::map<std::string, int>
placementChange(const DeploymentSpecs &Specs,
                const std::vector<DomainSummary> &Domains,
                const std::string &Domain) {
  std::vector<DomainSummary> Work = Domains;
  std::map<std::string, int> Change;
  for (const DeploymentSpec *Spec : byValue(Specs)) {
    std::size_t Have = 0;
    for (const DomainSummary &Current : Work)
      if (!Current.m_Dark)
        Have += countOf(Current.m_Groups, Spec->m_Name);
    for (; Have < Spec->m_Replicas; ++Have) {
      DomainSummary *Place = formingDomain(Work, *Spec);
      if (Place == nullptr)
        break;
      Place->m_FreeVms -= Spec->m_VmsPerGroup;
      ++Place->m_Groups[Spec->m_Name];
      if (Place->m_Domain == Domain)
        ++Change[Spec->m_Name];
    }
    for (; Have > Spec->m_Replicas; --Have) {
      DomainSummary *Place = removingDomain(Work, *Spec);
      if (Place == nullptr)
        break;
      --Place->m_Groups[Spec->m_Name];
      std::size_t &Serving = Place->m_ServingGroups[Spec->m_Name];
      Serving = std::min(Serving, Place->m_Groups[Spec->m_Name]);
      if (Place->m_Domain == Domain)
        --Change[Spec->m_Name];
    }
  }
  return Change;
}

} // namespace fulmarwinch
