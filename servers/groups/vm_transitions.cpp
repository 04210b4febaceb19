#include "servers/groups/vm_transitions.h"

#include <set>

namespace fulmarwinch {

namespace {

void applyNewIncarnation(Assignment &Next, const std::string &Name,
                         std::uint64_t Incarnation, const DomainView &View) {
  VmEntry &Vm = Next.m_Vms[Name];
  Vm.m_Incarnation = Incarnation;
  if (Vm.m_State != VmState::Assigned) {
    Vm.m_State = VmState::Releasing;
    return;
  }
  GroupEntry &Group = Next.m_Groups[Vm.m_Group];
  Group.m_Generation = View.m_NextGeneration;
  for (GroupMember &Member : Group.m_Members)
    if (Member.m_Vm == Name)
      Member.m_Incarnation = Incarnation;
}

} // namespace

void applyVmList(Assignment &Next, const DomainView &View) {
  for (const auto &[Name, Listed] : View.m_ListedVms) {
    const auto Found = Next.m_Vms.find(Name);
    if (Found == Next.m_Vms.end()) {
      if (!Listed.m_RemovalAnnounced)
        Next.m_Vms[Name] = {Listed.m_Incarnation, VmState::Releasing, ""};
      continue;
    }
    // The VM list may be stale, so an older incarnation in it is ignored.
    if (Listed.m_Incarnation > Found->second.m_Incarnation)
      applyNewIncarnation(Next, Name, Listed.m_Incarnation, View);
  }
  for (auto Current = Next.m_Vms.begin(); Current != Next.m_Vms.end();) {
    const bool IsRemoved = Current->second.m_State != VmState::Assigned &&
                           View.m_ListedVms.count(Current->first) == 0;
    Current = IsRemoved ? Next.m_Vms.erase(Current) : std::next(Current);
  }
}

void freeReleasedVms(Assignment &Next, const DomainView &View) {
  std::set<std::string> GroupsWithReleasingVms;
  for (auto &[Name, Vm] : Next.m_Vms) {
    if (Vm.m_State == VmState::Releasing &&
        View.m_FencedEmptyVms.count(Name) != 0)
      Vm = {Vm.m_Incarnation, VmState::Free, ""};
    if (Vm.m_State == VmState::Releasing)
      GroupsWithReleasingVms.insert(Vm.m_Group);
  }
  for (auto Group = Next.m_Groups.begin(); Group != Next.m_Groups.end();) {
    const bool CanRemove = Group->second.m_State == GroupState::Disbanded &&
                           GroupsWithReleasingVms.count(Group->first) == 0;
    Group = CanRemove ? Next.m_Groups.erase(Group) : std::next(Group);
  }
}

void releaseVm(Assignment &Next, const std::string &Vm) {
  Next.m_Vms[Vm].m_State = VmState::Releasing;
}

void disbandGroup(Assignment &Next, const std::string &Id,
                  const DomainView &View) {
  GroupEntry &Group = Next.m_Groups[Id];
  for (const GroupMember &Member : Group.m_Members)
    releaseVm(Next, Member.m_Vm);
  Group.m_Members.clear();
  Group.m_State = GroupState::Disbanded;
  Group.m_Generation = View.m_NextGeneration;
}

bool isAssignable(const Assignment &Next, const std::string &Vm,
                  const DomainView &View) {
  const auto Entry = Next.m_Vms.find(Vm);
  const auto Listed = View.m_ListedVms.find(Vm);
  return Entry != Next.m_Vms.end() && Listed != View.m_ListedVms.end() &&
         Entry->second.m_State == VmState::Free &&
         Entry->second.m_Incarnation == Listed->second.m_Incarnation &&
         !Listed->second.m_RemovalAnnounced && !Listed->second.m_Drained &&
         View.m_FencedEmptyVms.count(Vm) != 0 &&
         View.m_Health.isUsable(Vm, View.m_Now);
}

bool isMemberUsable(const GroupMember &Member, const DomainView &View) {
  const auto Listed = View.m_ListedVms.find(Member.m_Vm);
  return Listed != View.m_ListedVms.end() &&
         Listed->second.m_Incarnation == Member.m_Incarnation &&
         View.m_Health.isUsable(Member.m_Vm, View.m_Now);
}

} // namespace fulmarwinch
