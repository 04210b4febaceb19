#include "servers/groups/group_transitions.h"
#include "servers/groups/placement.h"
#include "servers/groups/serving_view.h"
#include "servers/groups/vm_transitions.h"

#include "fmt/format.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

const DeploymentSpec *deploymentSpecOf(const GroupEntry &Group,
                                       const DomainView &View) {
  const auto Found = View.m_Specs.find(Group.m_Deployment);
  return Found == View.m_Specs.end() ? nullptr : &Found->second;
}

bool isDrainingOrDisbanded(const GroupEntry &Group) {
  return Group.m_State == GroupState::Draining ||
         Group.m_State == GroupState::Disbanded;
}

bool mustDrain(const GroupEntry &Group, const DomainView &View) {
  return std::any_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&View](const GroupMember &Member) {
                       const auto Listed = View.m_ListedVms.find(Member.m_Vm);
                       return Listed != View.m_ListedVms.end() &&
                              (Listed->second.m_RemovalAnnounced ||
                               Listed->second.m_Drained);
                     });
}

std::vector<std::size_t> missingRanks(const GroupEntry &Group,
                                      const DomainView &View) {
  std::vector<std::size_t> Missing;
  for (std::size_t Rank = 0; Rank < Group.m_Members.size(); ++Rank)
    if (!isMemberUsable(Group.m_Members[Rank], View))
      Missing.push_back(Rank);
  return Missing;
}

bool areAllMembersReady(const std::string &Id, const GroupEntry &Group,
                        const DomainView &View) {
  return std::all_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&](const GroupMember &Member) {
                       const auto Report = View.m_Reports.find(Member.m_Vm);
                       return Report != View.m_Reports.end() &&
                              isReadyFor(Report->second, Id, Group);
                     });
}

std::vector<std::string> spareVms(const Assignment &Next,
                                  const DomainView &View) {
  std::vector<std::string> Vms;
  for (const auto &[Name, Vm] : Next.m_Vms)
    if (isAssignable(Next, Name, View))
      Vms.push_back(Name);
  return Vms;
}

/// Orders groups by descending priority, then by descending downtime weight.
/// Ties are broken by the group ID, so that all lease holders compute the same
/// order.
bool precedesInLoadQueue(const LoadCandidate &Left,
                         const LoadCandidate &Right) {
  return std::tie(Right.m_Priority, Right.m_DowntimeWeight, Left.m_Group) <
         std::tie(Left.m_Priority, Left.m_DowntimeWeight, Right.m_Group);
}

/// True if the group \p Id may start to load: the weight store has enough
/// throughput for it in addition to the groups that are loading and those that
/// precede \p Id in the load queue.
bool mayStartLoading(const std::string &Id, const GroupEntry &Group,
                     const DomainView &View) {
  if (!View.m_Policy.limitsConcurrentLoads())
    return true;
  const DeploymentSpec *Spec = deploymentSpecOf(Group, View);
  const LoadCandidate Candidate{
      Id, false, Spec != nullptr ? Spec->m_Priority : 0,
      Spec != nullptr ? Spec->m_DowntimeWeight : 0, Group.m_Members.size()};
  std::size_t LoadingVms = 0;
  for (const LoadCandidate &Other : View.m_LoadCandidates)
    if (Other.m_Group != Id &&
        (Other.m_IsLoading || precedesInLoadQueue(Other, Candidate)))
      LoadingVms += Other.m_VmCount;
  return LoadingVms == 0 || LoadingVms + Candidate.m_VmCount <=
                                View.m_Settings.m_WeightStore.vmsAtFullRate();
}

void replaceMembers(Assignment &Next, const std::string &Id,
                    const std::vector<std::size_t> &MissingRanks,
                    const std::vector<std::string> &Spares,
                    const DomainView &View) {
  GroupEntry &Group = Next.m_Groups[Id];
  std::size_t NextSpare = 0;
  for (const std::size_t Rank : MissingRanks) {
    GroupMember &Member = Group.m_Members[Rank];
    releaseVm(Next, Member.m_Vm);
    VmEntry &Vm = Next.m_Vms[Spares[NextSpare]];
    Vm.m_State = VmState::Assigned;
    Vm.m_Group = Id;
    Member = {Spares[NextSpare], Vm.m_Incarnation};
    ++NextSpare;
  }
  Group.m_Generation = View.m_NextGeneration;
  Group.m_State = GroupState::Forming;
}

} // namespace

void GroupTransitions::applyDueTransitions(Assignment &Next,
                                           const DomainView &View) {
  applyVmList(Next, View);
  std::vector<std::string> Ids;
  for (const auto &[Id, Group] : Next.m_Groups)
    Ids.push_back(Id);
  // Groups of higher priority are updated first, so that they get spare VMs
  // first.
  std::stable_sort(Ids.begin(), Ids.end(),
                   [&](const std::string &Left, const std::string &Right) {
                     const DeploymentSpec *LeftSpec =
                         deploymentSpecOf(Next.m_Groups[Left], View);
                     const DeploymentSpec *RightSpec =
                         deploymentSpecOf(Next.m_Groups[Right], View);
                     return (LeftSpec != nullptr ? LeftSpec->m_Priority : 0) >
                            (RightSpec != nullptr ? RightSpec->m_Priority : 0);
                   });
  for (const std::string &Id : Ids)
    updateGroup(Next, Id, View);
  drainSurplusGroups(Next, View);
  drainOutdatedGroups(Next, View);
  formGroups(Next, View);
  // VMs are freed after all groups are formed and repaired, so that a VM is
  // stored as free in one write before a later write assigns it.
  freeReleasedVms(Next, View);
}

void GroupTransitions::updateGroup(Assignment &Next, const std::string &Id,
                                   const DomainView &View) {
  GroupEntry &Group = Next.m_Groups[Id];
  if (Group.m_State == GroupState::Disbanded)
    return;
  if (Group.m_State == GroupState::Draining) {
    finishDrain(Next, Id, View);
    return;
  }
  if (deploymentSpecOf(Group, View) == nullptr || mustDrain(Group, View)) {
    startDrain(Next, Id, View);
    return;
  }
  if (!missingRanks(Group, View).empty()) {
    Group.m_State = GroupState::Broken;
    repair(Next, Id, View);
    return;
  }
  m_BrokenSince.erase(Id);
  m_AwaitedDonors.erase(Id);
  if (areAllMembersReady(Id, Group, View)) {
    Group.m_State = GroupState::Serving;
    return;
  }
  // A member has no weights loaded, or those of an earlier group or generation,
  // so the group queues for loading again. It starts to load only from the
  // stored state Forming, because all lease holders have to see it in the load
  // queue.
  if (Group.m_State == GroupState::Forming && mayStartLoading(Id, Group, View))
    Group.m_State = GroupState::Loading;
  else if (Group.m_State != GroupState::Loading)
    Group.m_State = GroupState::Forming;
}

void GroupTransitions::startDrain(Assignment &Next, const std::string &Id,
                                  const DomainView &View) {
  GroupEntry &Group = Next.m_Groups[Id];
  // A monitor may report the group as serving while its stored state is still
  // Loading or Broken. Therefore every group with a ready head is drained
  // before it is disbanded.
  const auto Head = Group.m_Members.empty()
                        ? View.m_Reports.end()
                        : View.m_Reports.find(Group.m_Members.front().m_Vm);
  const bool MayHaveRequests =
      Head != View.m_Reports.end() && isReadyFor(Head->second, Id, Group);
  if (!MayHaveRequests && Group.m_State != GroupState::Serving) {
    disbandGroup(Next, Id, View);
    return;
  }
  Group.m_State = GroupState::Draining;
  m_DrainingSince[Id] = View.m_Now;
}

void GroupTransitions::finishDrain(Assignment &Next, const std::string &Id,
                                   const DomainView &View) {
  const MonotonicTime DrainingSince =
      m_DrainingSince.try_emplace(Id, View.m_Now).first->second;
  const MonotonicTime RoutersStoppedAt =
      DrainingSince + View.m_Settings.m_MaxRouterStopDelay;
  if (View.m_Now < RoutersStoppedAt)
    return;
  const GroupEntry &Group = Next.m_Groups[Id];
  for (const GroupMember &Member : Group.m_Members) {
    const auto Found = View.m_Reports.find(Member.m_Vm);
    if (Found == View.m_Reports.end() || !Found->second.m_Reachable)
      continue;
    const EngineReport &Report = Found->second;
    const bool MayHaveRequests =
        Report.m_Group == Id &&
        (Report.m_PolledAt < RoutersStoppedAt || Report.m_RunningRequests > 0 ||
         Report.m_QueuedRequests > 0);
    if (MayHaveRequests)
      return;
  }
  m_DrainingSince.erase(Id);
  disbandGroup(Next, Id, View);
}

bool GroupTransitions::isWaitingForDonor(const Assignment &Next,
                                         const std::string &Id) {
  const auto Found = m_AwaitedDonors.find(Id);
  if (Found == m_AwaitedDonors.end())
    return false;
  // If the donor is neither draining nor disbanded, the write that stored its
  // drain was not applied, and the group no longer waits for it.
  const auto Donor = Next.m_Groups.find(Found->second);
  if (Donor != Next.m_Groups.end() && isDrainingOrDisbanded(Donor->second))
    return true;
  m_AwaitedDonors.erase(Found);
  return false;
}

RepairSituation GroupTransitions::makeRepairSituation(
    const Assignment &Next, const std::string &Id, const MissingRanks &Missing,
    const DomainView &View) const {
  const GroupEntry &Group = Next.m_Groups.at(Id);
  const DeploymentSpec &Deployment = *deploymentSpecOf(Group, View);
  RepairSituation Situation;
  Situation.m_Priority = Deployment.m_Priority;
  Situation.m_DowntimeWeight = Deployment.m_DowntimeWeight;
  Situation.m_StrandedWeight = Deployment.m_StrandedWeight;
  Situation.m_MissingMembers = Missing.size();
  Situation.m_PresentMembers = Group.m_Members.size() - Missing.size();
  const auto LongestExpectedReturn = [&View](const GroupEntry &Incomplete) {
    Duration Longest{};
    for (const std::size_t Rank : missingRanks(Incomplete, View))
      Longest =
          std::max(Longest, View.m_Health.expectedRecoveryTime(
                                Incomplete.m_Members[Rank].m_Vm, View.m_Now));
    return Longest;
  };
  Situation.m_ExpectedRecoveryTime = LongestExpectedReturn(Group);
  Situation.m_ReloadTime =
      View.m_Settings.m_WeightStore.reloadTime(Group.m_Members.size());
  for (const auto &[OtherId, Other] : Next.m_Groups) {
    const DeploymentSpec *OtherSpec = deploymentSpecOf(Other, View);
    if (OtherId == Id || isDrainingOrDisbanded(Other) || OtherSpec == nullptr ||
        m_AwaitedDonors.count(OtherId) != 0)
      continue;
    Donor Candidate{OtherId,
                    Other.m_State == GroupState::Broken,
                    OtherSpec->m_Priority,
                    OtherSpec->m_DowntimeWeight,
                    OtherSpec->m_StrandedWeight,
                    0,
                    LongestExpectedReturn(Other)};
    Candidate.m_UsableVms =
        Other.m_Members.size() - missingRanks(Other, View).size();
    Situation.m_Donors.push_back(Candidate);
  }
  return Situation;
}

void GroupTransitions::repair(Assignment &Next, const std::string &Id,
                              const DomainView &View) {
  const MonotonicTime BrokenSince =
      m_BrokenSince.try_emplace(Id, View.m_Now).first->second;
  if (View.m_Now - BrokenSince < View.m_Settings.m_RepairDelay)
    return;
  const MissingRanks Missing = missingRanks(Next.m_Groups[Id], View);
  const std::vector<std::string> Spares = spareVms(Next, View);
  RepairSituation Situation = makeRepairSituation(Next, Id, Missing, View);
  Situation.m_SpareVms = Spares.size();
  if (isWaitingForDonor(Next, Id))
    Situation.m_Donors.clear();
  const RepairDecision Decision = View.m_Policy.chooseRepair(Situation);
  switch (Decision.m_Choice) {
  case RepairChoice::Wait:
    return;
  case RepairChoice::Spare:
    replaceMembers(Next, Id, Missing, Spares, View);
    m_AwaitedDonors.erase(Id);
    m_BrokenSince.erase(Id);
    return;
  case RepairChoice::Combine:
  case RepairChoice::Preempt:
    // The donor's VMs become spare VMs once their engines are unloaded.
    m_AwaitedDonors[Id] = Decision.m_DonorGroup;
    startDrain(Next, Decision.m_DonorGroup, View);
    return;
  }
}

void GroupTransitions::drainSurplusGroups(Assignment &Next,
                                          const DomainView &View) {
  for (const auto &[Deployment, Change] : View.m_PlacementChange) {
    if (Change >= 0)
      continue;
    const MonotonicTime SurplusSince =
        m_SurplusSince.try_emplace(Deployment, View.m_Now).first->second;
    if (View.m_Now - SurplusSince < View.m_Settings.m_SurplusRemovalDelay)
      continue;
    std::vector<std::pair<bool, std::string>> Candidates;
    for (const auto &[Id, Group] : Next.m_Groups)
      if (Group.m_Deployment == Deployment && !isDrainingOrDisbanded(Group))
        Candidates.emplace_back(Group.m_State == GroupState::Serving, Id);
    std::sort(Candidates.begin(), Candidates.end());
    const std::size_t DrainCount =
        std::min(Candidates.size(), static_cast<std::size_t>(-Change));
    for (std::size_t Index = 0; Index < DrainCount; ++Index)
      startDrain(Next, Candidates[Index].second, View);
  }
  for (auto Current = m_SurplusSince.begin();
       Current != m_SurplusSince.end();) {
    const auto Found = View.m_PlacementChange.find(Current->first);
    const bool HasEnded =
        Found == View.m_PlacementChange.end() || Found->second >= 0;
    Current = HasEnded ? m_SurplusSince.erase(Current) : std::next(Current);
  }
}

void GroupTransitions::drainOutdatedGroups(Assignment &Next,
                                           const DomainView &View) {
  for (const auto &[Deployment, Spec] : View.m_Specs) {
    std::string Outdated;
    bool AllOthersServe = true;
    for (const auto &[Id, Group] : Next.m_Groups) {
      if (Group.m_Deployment != Deployment)
        continue;
      const bool IsOutdated = Group.m_Model != Spec.m_Model ||
                              Group.m_Version != Spec.m_Version ||
                              Group.m_Members.size() != Spec.m_VmsPerGroup;
      if (IsOutdated && !isDrainingOrDisbanded(Group))
        Outdated = Id;
      else
        AllOthersServe = AllOthersServe && Group.m_State == GroupState::Serving;
    }
    // The groups of a deployment are replaced one at a time: a group is drained
    // only while all others serve.
    if (!Outdated.empty() && AllOthersServe)
      startDrain(Next, Outdated, View);
  }
}

void GroupTransitions::formGroups(Assignment &Next, const DomainView &View) {
  std::vector<std::string> Spares = spareVms(Next, View);
  // VMs that pending repairs need are reserved and not assigned to new groups.
  std::size_t Reserved = 0;
  for (const auto &[Id, Donor] : m_AwaitedDonors)
    if (const auto Group = Next.m_Groups.find(Id);
        Group != Next.m_Groups.end() && !Group->second.m_Members.empty())
      Reserved += missingRanks(Group->second, View).size();
  for (const DeploymentSpec *Spec : deploymentsByPriority(View.m_Specs)) {
    const auto Change = View.m_PlacementChange.find(Spec->m_Name);
    if (Change == View.m_PlacementChange.end())
      continue;
    for (int Index = 0; Index < Change->second; ++Index) {
      if (Spares.size() < Reserved + Spec->m_VmsPerGroup)
        return;
      const std::string Id =
          fmt::format("{}.{}.{}-{}", Spec->m_Name, Next.m_Domain,
                      View.m_NextGeneration, Index);
      GroupEntry &Group = Next.m_Groups[Id];
      Group = {Spec->m_Name,        Spec->m_Model,         Spec->m_Version,
               GroupState::Forming, View.m_NextGeneration, {}};
      for (std::size_t Rank = 0; Rank < Spec->m_VmsPerGroup; ++Rank) {
        VmEntry &Vm = Next.m_Vms[Spares.front()];
        Vm.m_State = VmState::Assigned;
        Vm.m_Group = Id;
        Group.m_Members.push_back({Spares.front(), Vm.m_Incarnation});
        Spares.erase(Spares.begin());
      }
    }
  }
}

} // namespace fulmarwinch
