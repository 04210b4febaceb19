#include "servers/groups/placement.h"
#include "core/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

std::size_t countOrZero(const std::map<std::string, std::size_t> &Counts,
                        const std::string &Name) {
  const auto Found = Counts.find(Name);
  return Found == Counts.end() ? 0 : Found->second;
}

/// Returns the rendezvous hashing weights that order equally suitable domains
/// for one deployment. They are computed once per deployment, because the
/// placement of each group compares all domains.
std::vector<std::uint64_t>
rendezvousWeightsOfDomains(const std::vector<DomainSummary> &Domains,
                           const DeploymentSpec &Spec) {
  std::vector<std::uint64_t> Weights;
  Weights.reserve(Domains.size());
  for (const DomainSummary &Domain : Domains)
    Weights.push_back(rendezvousWeight(Spec.m_Name, Domain.m_Domain));
  return Weights;
}

DomainSummary *bestDomainToForm(std::vector<DomainSummary> &Domains,
                                const DeploymentSpec &Spec,
                                const std::vector<std::uint64_t> &Weights) {
  std::size_t Best = Domains.size();
  const auto Preference = [&](std::size_t Index) {
    return std::make_tuple(Domains[Index].m_FreeVms, Weights[Index]);
  };
  for (std::size_t Index = 0; Index < Domains.size(); ++Index)
    if (!Domains[Index].m_InOutage &&
        Domains[Index].m_FreeVms >= Spec.m_VmsPerGroup &&
        (Best == Domains.size() || Preference(Index) > Preference(Best)))
      Best = Index;
  return Best == Domains.size() ? nullptr : &Domains[Best];
}

DomainSummary *bestDomainToRemove(std::vector<DomainSummary> &Domains,
                                  const DeploymentSpec &Spec,
                                  const std::vector<std::uint64_t> &Weights) {
  std::size_t Best = Domains.size();
  // Groups are removed first from the domain with the most groups that do not
  // serve.
  const auto Preference = [&](std::size_t Index) {
    const DomainSummary &Domain = Domains[Index];
    const std::size_t GroupCount =
        countOrZero(Domain.m_GroupCounts, Spec.m_Name);
    return std::make_tuple(
        GroupCount - countOrZero(Domain.m_ServingGroupCounts, Spec.m_Name),
        GroupCount, Weights[Index]);
  };
  for (std::size_t Index = 0; Index < Domains.size(); ++Index)
    if (!Domains[Index].m_InOutage &&
        countOrZero(Domains[Index].m_GroupCounts, Spec.m_Name) > 0 &&
        (Best == Domains.size() || Preference(Index) > Preference(Best)))
      Best = Index;
  return Best == Domains.size() ? nullptr : &Domains[Best];
}

} // namespace

DomainSummary summariseAssignment(const Assignment &Stored) {
  DomainSummary Summary;
  Summary.m_Domain = Stored.m_Domain;
  std::size_t BrokenCount = 0;
  std::size_t GroupCount = 0;
  for (const auto &[Id, Group] : Stored.m_Groups) {
    if (Group.m_State == GroupState::Draining ||
        Group.m_State == GroupState::Disbanded)
      continue;
    ++GroupCount;
    ++Summary.m_GroupCounts[Group.m_Deployment];
    if (Group.m_State == GroupState::Serving)
      ++Summary.m_ServingGroupCounts[Group.m_Deployment];
    if (Group.m_State == GroupState::Broken)
      ++BrokenCount;
  }
  for (const auto &[Name, Vm] : Stored.m_Vms)
    if (Vm.m_State == VmState::Free)
      ++Summary.m_FreeVms;
  // A domain with a single group is never in outage: if that group is broken,
  // it is repaired in the domain.
  Summary.m_InOutage = GroupCount > 1 && BrokenCount == GroupCount;
  return Summary;
}

std::vector<const DeploymentSpec *>
deploymentsByPriority(const DeploymentSpecs &Specs) {
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
  for (const DeploymentSpec *Spec : deploymentsByPriority(Specs)) {
    const std::string &Name = Spec->m_Name;
    const std::vector<std::uint64_t> Weights =
        rendezvousWeightsOfDomains(Domains, *Spec);
    std::size_t GroupCount = 0;
    for (const DomainSummary &Current : Domains)
      if (!Current.m_InOutage)
        GroupCount += countOrZero(Current.m_GroupCounts, Name);
    for (; GroupCount < Spec->m_Replicas; ++GroupCount) {
      DomainSummary *Target = bestDomainToForm(Domains, *Spec, Weights);
      if (Target == nullptr)
        break;
      Target->m_FreeVms -= Spec->m_VmsPerGroup;
      ++Target->m_GroupCounts[Name];
      ++Changes[Target->m_Domain][Name];
    }
    for (; GroupCount > Spec->m_Replicas; --GroupCount) {
      DomainSummary *Target = bestDomainToRemove(Domains, *Spec, Weights);
      if (Target == nullptr)
        break;
      --Target->m_GroupCounts[Name];
      std::size_t &Serving = Target->m_ServingGroupCounts[Name];
      Serving = std::min(Serving, Target->m_GroupCounts[Name]);
      --Changes[Target->m_Domain][Name];
    }
  }
  return Changes;
}

} // namespace fulmarwinch
