#include "servers/groups/group_transitions.h"
#include "servers/groups/placement.h"
#include "servers/groups/serving_view.h"
#include "servers/groups/vm_transitions.h"

#include "fmt/format.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

const DeploymentSpec *specOf(const GroupEntry &Group, const DomainView &View) {
  const auto Found = View.m_Specs.find(Group.m_Deployment);
  return Found == View.m_Specs.end() ? nullptr : &Found->second;
}

bool isEnding(const GroupEntry &Group) {
  return Group.m_State == GroupState::Draining ||
         Group.m_State == GroupState::Disbanded;
}

bool mustLeave(const GroupEntry &Group, const DomainView &View) {
  return std::any_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&View](const GroupMember &Member) {
                       const auto Listed = View.m_Listed.find(Member.m_Vm);
                       return Listed != View.m_Listed.end() &&
                              (Listed->second.m_Leaving ||
                               Listed->second.m_Drained);
                     });
}

std::vector<std::size_t> missingMembers(const GroupEntry &Group,
                                        const DomainView &View) {
  std::vector<std::size_t> Missing;
  for (std::size_t Rank = 0; Rank < Group.m_Members.size(); ++Rank)
    if (!isMemberUsable(Group.m_Members[Rank], View))
      Missing.push_back(Rank);
  return Missing;
}

bool allReady(const std::string &Id, const GroupEntry &Group,
              const DomainView &View) {
  return std::all_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&](const GroupMember &Member) {
                       const auto Report = View.m_Reports.find(Member.m_Vm);
                       return Report != View.m_Reports.end() &&
                              isReadyFor(Report->second, Id, Group);
                     });
}

std::vector<std::string> eligibleVms(const Assignment &Next,
                                     const DomainView &View) {
  std::vector<std::string> Vms;
  for (const auto &[Name, Vm] : Next.m_Vms)
    if (isEligible(Next, Name, View))
      Vms.push_back(Name);
  return Vms;
}

/// Most valuable group first; ties are broken by the ID, so that all holders
/// agree.
bool precedes(const LoadCandidate &Left, const LoadCandidate &Right) {
  return std::tie(Right.m_Priority, Right.m_DowntimeWeight, Left.m_Group) <
         std::tie(Left.m_Priority, Left.m_DowntimeWeight, Right.m_Group);
}

/// True if \p Id may start to load: the groups that load already and those
/// that go first leave enough of the weight store's rate.
bool mayLoad(const std::string &Id, const GroupEntry &Group,
             const DomainView &View) {
  if (!View.m_Policy.ordersLoading())
    return true;
  const DeploymentSpec *Spec = specOf(Group, View);
  const LoadCandidate Own{Id, false, Spec != nullptr ? Spec->m_Priority : 0,
                          Spec != nullptr ? Spec->m_DowntimeWeight : 0,
                          Group.m_Members.size()};
  std::size_t Vms = 0;
  for (const LoadCandidate &Other : View.m_Loads)
    if (Other.m_Group != Id && (Other.m_Loading || precedes(Other, Own)))
      Vms += Other.m_Vms;
  return Vms == 0 ||
         Vms + Own.m_Vms <= View.m_Settings.m_WeightStore.loadingVms();
}

void replaceMembers(Assignment &Next, const std::string &Id,
                    const std::vector<std::size_t> &Missing,
                    const std::vector<std::string> &Spares,
                    const DomainView &View) {
  GroupEntry &Group = Next.m_Groups[Id];
  std::size_t Used = 0;
  for (const std::size_t Rank : Missing) {
    GroupMember &Member = Group.m_Members[Rank];
    releaseVm(Next, Member.m_Vm);
    VmEntry &Vm = Next.m_Vms[Spares[Used]];
    Vm.m_State = VmState::Assigned;
    Vm.m_Group = Id;
    Member = {Spares[Used], Vm.m_Incarnation};
    ++Used;
  }
  Group.m_Generation = View.m_NextGeneration;
  Group.m_State = GroupState::Forming;
}

} // namespace

void GroupTransitions::apply(Assignment &Next, const DomainView &View) {
  applyVmList(Next, View);
  std::vector<std::string> Ids;
  for (const auto &[Id, Group] : Next.m_Groups)
    Ids.push_back(Id);
  // Valuable groups choose their spares first.
  std::stable_sort(Ids.begin(), Ids.end(),
                   [&](const std::string &Left, const std::string &Right) {
                     const DeploymentSpec *A =
                         specOf(Next.m_Groups[Left], View);
                     const DeploymentSpec *B =
                         specOf(Next.m_Groups[Right], View);
                     return (A != nullptr ? A->m_Priority : 0) >
                            (B != nullptr ? B->m_Priority : 0);
                   });
  for (const std::string &Id : Ids)
    updateGroup(Next, Id, View);
  removeSurplus(Next, View);
  replaceOutdated(Next, View);
  formGroups(Next, View);
  // Last, so that a VM is stored as free before it is assigned again.
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
  if (specOf(Group, View) == nullptr || mustLeave(Group, View)) {
    drain(Next, Id, View);
    return;
  }
  if (!missingMembers(Group, View).empty()) {
    Group.m_State = GroupState::Broken;
    repair(Next, Id, View);
    return;
  }
  m_BrokenSince.erase(Id);
  m_Donors.erase(Id);
  if (allReady(Id, Group, View)) {
    Group.m_State = GroupState::Serving;
    return;
  }
  // A member lost its weights or loaded an old group: load again in turn.
  // Loading starts from the stored state Forming, which all holders see.
  if (Group.m_State == GroupState::Forming && mayLoad(Id, Group, View))
    Group.m_State = GroupState::Loading;
  else if (Group.m_State != GroupState::Loading)
    Group.m_State = GroupState::Forming;
}

void GroupTransitions::drain(Assignment &Next, const std::string &Id,
                             const DomainView &View) {
  GroupEntry &Group = Next.m_Groups[Id];
  // A monitor may offer the group while its stored state still says loading
  // or broken, so every group with a ready head finishes its work first.
  const auto Head = Group.m_Members.empty()
                        ? View.m_Reports.end()
                        : View.m_Reports.find(Group.m_Members.front().m_Vm);
  const bool MayWork =
      Head != View.m_Reports.end() && isReadyFor(Head->second, Id, Group);
  if (!MayWork && Group.m_State != GroupState::Serving) {
    disbandGroup(Next, Id, View);
    return;
  }
  Group.m_State = GroupState::Draining;
  m_DrainingSince[Id] = View.m_Now;
}

void GroupTransitions::finishDrain(Assignment &Next, const std::string &Id,
                                   const DomainView &View) {
  const MonotonicTime Since =
      m_DrainingSince.try_emplace(Id, View.m_Now).first->second;
  const MonotonicTime QuietAfter = Since + View.m_Settings.m_DrainQuiet;
  if (View.m_Now < QuietAfter)
    return;
  const GroupEntry &Group = Next.m_Groups[Id];
  for (const GroupMember &Member : Group.m_Members) {
    const auto Found = View.m_Reports.find(Member.m_Vm);
    if (Found == View.m_Reports.end() || !Found->second.m_Reachable)
      continue;
    const EngineReport &Report = Found->second;
    const bool Runs =
        Report.m_Group == Id && (Report.m_At < QuietAfter ||
                                 Report.m_Running > 0 || Report.m_Waiting > 0);
    if (Runs)
      return;
  }
  m_DrainingSince.erase(Id);
  disbandGroup(Next, Id, View);
}

bool GroupTransitions::waitsForDonor(const Assignment &Next,
                                     const std::string &Id) {
  const auto Found = m_Donors.find(Id);
  if (Found == m_Donors.end())
    return false;
  // A donor that is not leaving belongs to a write that did not take effect.
  const auto Donor = Next.m_Groups.find(Found->second);
  if (Donor != Next.m_Groups.end() && isEnding(Donor->second))
    return true;
  m_Donors.erase(Found);
  return false;
}

RepairSituation GroupTransitions::situationOf(const Assignment &Next,
                                              const std::string &Id,
                                              const MissingMembers &Missing,
                                              const DomainView &View) const {
  const GroupEntry &Group = Next.m_Groups.at(Id);
  const DeploymentSpec &Spec = *specOf(Group, View);
  RepairSituation Situation;
  Situation.m_Priority = Spec.m_Priority;
  Situation.m_DowntimeWeight = Spec.m_DowntimeWeight;
  Situation.m_StrandedWeight = Spec.m_StrandedWeight;
  Situation.m_Missing = Missing.size();
  Situation.m_Present = Group.m_Members.size() - Missing.size();
  const auto ReturnOf = [&View](const GroupEntry &Of) {
    Duration Longest{};
    for (const std::size_t Rank : missingMembers(Of, View))
      Longest = std::max(Longest, View.m_Health.expectedReturn(
                                      Of.m_Members[Rank].m_Vm, View.m_Now));
    return Longest;
  };
  Situation.m_ExpectedReturn = ReturnOf(Group);
  Situation.m_ReloadTime =
      View.m_Settings.m_WeightStore.reloadTime(Group.m_Members.size());
  for (const auto &[OtherId, Other] : Next.m_Groups) {
    const DeploymentSpec *OtherSpec = specOf(Other, View);
    if (OtherId == Id || isEnding(Other) || OtherSpec == nullptr ||
        m_Donors.count(OtherId) != 0)
      continue;
    Donor From{OtherId,
               Other.m_State == GroupState::Broken,
               OtherSpec->m_Priority,
               OtherSpec->m_DowntimeWeight,
               OtherSpec->m_StrandedWeight,
               0,
               ReturnOf(Other)};
    From.m_UsableVms =
        Other.m_Members.size() - missingMembers(Other, View).size();
    Situation.m_Donors.push_back(From);
  }
  return Situation;
}

void GroupTransitions::repair(Assignment &Next, const std::string &Id,
                              const DomainView &View) {
  const MonotonicTime Since =
      m_BrokenSince.try_emplace(Id, View.m_Now).first->second;
  if (View.m_Now - Since < View.m_Settings.m_RepairAfter)
    return;
  const MissingMembers Missing = missingMembers(Next.m_Groups[Id], View);
  const std::vector<std::string> Spares = eligibleVms(Next, View);
  RepairSituation Situation = situationOf(Next, Id, Missing, View);
  Situation.m_Spares = Spares.size();
  if (waitsForDonor(Next, Id))
    Situation.m_Donors.clear();
  const RepairDecision Decision = View.m_Policy.choose(Situation);
  switch (Decision.m_Choice) {
  case RepairChoice::Wait:
    return;
  case RepairChoice::Spare:
    replaceMembers(Next, Id, Missing, Spares, View);
    m_Donors.erase(Id);
    m_BrokenSince.erase(Id);
    return;
  case RepairChoice::Combine:
  case RepairChoice::Preempt:
    // The donor's VMs become spares after their engines are empty.
    m_Donors[Id] = Decision.m_Donor;
    drain(Next, Decision.m_Donor, View);
    return;
  }
}

void GroupTransitions::removeSurplus(Assignment &Next, const DomainView &View) {
  for (const auto &[Name, Change] : View.m_Placement) {
    if (Change >= 0)
      continue;
    const MonotonicTime Since =
        m_SurplusSince.try_emplace(Name, View.m_Now).first->second;
    if (View.m_Now - Since < View.m_Settings.m_SurplusAfter)
      continue;
    std::vector<std::pair<bool, std::string>> Groups;
    for (const auto &[Id, Group] : Next.m_Groups)
      if (Group.m_Deployment == Name && !isEnding(Group))
        Groups.emplace_back(Group.m_State == GroupState::Serving, Id);
    std::sort(Groups.begin(), Groups.end());
    const std::size_t Count =
        std::min(Groups.size(), static_cast<std::size_t>(-Change));
    for (std::size_t Index = 0; Index < Count; ++Index)
      drain(Next, Groups[Index].second, View);
  }
  for (auto Current = m_SurplusSince.begin();
       Current != m_SurplusSince.end();) {
    const auto Found = View.m_Placement.find(Current->first);
    const bool Ended = Found == View.m_Placement.end() || Found->second >= 0;
    Current = Ended ? m_SurplusSince.erase(Current) : std::next(Current);
  }
}

void GroupTransitions::replaceOutdated(Assignment &Next,
                                       const DomainView &View) {
  for (const auto &[Name, Spec] : View.m_Specs) {
    std::string Outdated;
    bool AllServing = true;
    for (const auto &[Id, Group] : Next.m_Groups) {
      if (Group.m_Deployment != Name)
        continue;
      const bool IsOld = Group.m_Model != Spec.m_Model ||
                         Group.m_Version != Spec.m_Version ||
                         Group.m_Members.size() != Spec.m_VmsPerGroup;
      if (IsOld && !isEnding(Group))
        Outdated = Id;
      else
        AllServing = AllServing && Group.m_State == GroupState::Serving;
    }
    // One group after another changes its version.
    if (!Outdated.empty() && AllServing)
      drain(Next, Outdated, View);
  }
}

void GroupTransitions::formGroups(Assignment &Next, const DomainView &View) {
  std::vector<std::string> Free = eligibleVms(Next, View);
  // VMs that a repair waits for are not given to new groups.
  std::size_t Reserved = 0;
  for (const auto &[Id, From] : m_Donors)
    if (const auto Group = Next.m_Groups.find(Id);
        Group != Next.m_Groups.end() && !Group->second.m_Members.empty())
      Reserved += missingMembers(Group->second, View).size();
  for (const DeploymentSpec *Spec : byValue(View.m_Specs)) {
    const auto Wanted = View.m_Placement.find(Spec->m_Name);
    if (Wanted == View.m_Placement.end())
      continue;
    for (int Index = 0; Index < Wanted->second; ++Index) {
      if (Free.size() < Reserved + Spec->m_VmsPerGroup)
        return;
      const std::string Id =
          fmt::format("{}.{}.{}-{}", Spec->m_Name, Next.m_Domain,
                      View.m_NextGeneration, Index);
      GroupEntry &Group = Next.m_Groups[Id];
      Group = {Spec->m_Name,        Spec->m_Model,         Spec->m_Version,
               GroupState::Forming, View.m_NextGeneration, {}};
      for (std::size_t Rank = 0; Rank < Spec->m_VmsPerGroup; ++Rank) {
        VmEntry &Vm = Next.m_Vms[Free.front()];
        Vm.m_State = VmState::Assigned;
        Vm.m_Group = Id;
        Group.m_Members.push_back({Free.front(), Vm.m_Incarnation});
        Free.erase(Free.begin());
      }
    }
  }
}

} // namespace fulmarwinch
