// Takes replica groups apart: orders their members to leave and keeps them out
// of other groups while a head may serve.

#include "servers/replicas/replica_planner.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

HeadProcess processOf(const BackendServer &Head) {
  return {Head.m_Id, Head.m_Endpoint, Head.m_StartedAtMs};
}

} // namespace

void ReplicaPlanner::reviewGroupWithoutHead(const ReplicaPlannerInput &Input,
                                            const ReplicaGroup &Group) {
  // The entry of the head may have gone before this node held the lease.
  for (const BackendServer *Unlisted :
       Input.m_Fleet->membersWithoutEntry(Group.m_Key))
    if (Unlisted->m_Membership->m_Rank == 0)
      m_LastKnownHeads.emplace(Group.m_Key, *Unlisted);
  if (isAwaitingMembers(Input, Group.m_Key))
    return;
  const auto LastHead = m_LastKnownHeads.find(Group.m_Key);
  if (LastHead != m_LastKnownHeads.end()) {
    // A head that is listed without this group, or confirmed that it left, no
    // longer serves requests for it.
    const bool HasLeft = Input.m_Fleet->find(LastHead->second.m_Id) ||
                         m_GroupsLeftByHead.count(Group.m_Key) != 0 ||
                         hasSuccessor(processOf(LastHead->second));
    if (HasLeft) {
      disband(Input, Group, false);
      return;
    }
    MemberOrder Leave;
    Leave.m_Kind = MemberOrderKind::Leave;
    Leave.m_Server = LastHead->second.m_Id;
    Leave.m_Group = Group.m_Key;
    Leave.m_LastEndpoint = LastHead->second.m_Endpoint;
    issueOrder(Input, std::move(Leave));
  }
  // The members' entries may arrive before the entry of the head, and a head
  // that is only partitioned from the store may still respond to the leave
  // order. So the group is disbanded only after a delay.
  const MonotonicTime MissingSince =
      m_HeadMissingSince.emplace(Group.m_Key, Input.m_Now).first->second;
  if (Input.m_Now - MissingSince <= m_Settings.m_JoinResponseTimeout)
    return;
  // A group opens once all of its members are ready, and this holder opens one
  // only if it has seen its head.
  const bool WasNeverOpened = hasJoiningMember(Input, Group) ||
                              (LastHead == m_LastKnownHeads.end() &&
                               m_GroupKeys.isOfThisLease(Group.m_Key) &&
                               !m_Ledger.mayOpen(Group.m_Key));
  disband(Input, Group, !WasNeverOpened);
}

void ReplicaPlanner::onLeaveConfirmed(const MemberOrder &Order) {
  const auto Head = m_LastKnownHeads.find(Order.m_Group);
  if (Head == m_LastKnownHeads.end() || Head->second.m_Id != Order.m_Server)
    return;
  m_GroupsLeftByHead.insert(Order.m_Group);
  for (const auto &[Server, LastGroup] : m_LastGroupByServer)
    if (LastGroup == Order.m_Group)
      m_Quarantines.erase(Server);
}

bool ReplicaPlanner::mayStillOpen(const ReplicaPlannerInput &Input,
                                  const ReplicaGroup &Group) const {
  if (m_Ledger.mayOpen(Group.m_Key))
    return true;
  // The previous lease holder may have sent an open order once all members were
  // ready. Once the group was open, the precondition of that order is outdated.
  return !m_GroupKeys.isOfThisLease(Group.m_Key) &&
         m_GroupsSeenOpen.count(Group.m_Key) == 0 &&
         Group.m_Head->m_Membership->m_State == GroupMemberState::Ready &&
         !hasJoiningMember(Input, Group);
}

bool ReplicaPlanner::hasJoiningMember(const ReplicaPlannerInput &Input,
                                      const ReplicaGroup &Group) {
  return std::any_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&](const std::string &Id) {
                       const BackendServer *Server = Input.m_Fleet->find(Id);
                       return Server && Server->m_Membership &&
                              Server->m_Membership->m_State ==
                                  GroupMemberState::Joining;
                     });
}

void ReplicaPlanner::disbandUnopened(const ReplicaPlannerInput &Input,
                                     const ReplicaGroup &Group) {
  if (!mayStillOpen(Input, Group)) {
    disband(Input, Group, false);
    return;
  }
  // The other members stay in the group, and join no other, until its head has
  // left it.
  m_DisbandedGroups[Group.m_Key] = Input.m_Now;
  giveUpFormation(Input, Group.m_Key);
  MemberOrder Leave;
  Leave.m_Kind = MemberOrderKind::Leave;
  Leave.m_Server = Group.m_Head->m_Id;
  Leave.m_Group = Group.m_Key;
  issueOrder(Input, std::move(Leave));
}

void ReplicaPlanner::giveUpFormation(const ReplicaPlannerInput &Input,
                                     const GroupKey &Key) {
  const auto Own = m_Formations.find(Key);
  if (Own != m_Formations.end())
    Own->second.m_GiveUpTime = std::min(Own->second.m_GiveUpTime, Input.m_Now);
}

void ReplicaPlanner::disband(const ReplicaPlannerInput &Input,
                             const ReplicaGroup &Group, bool HeadMayServe) {
  m_DisbandedGroups[Group.m_Key] = Input.m_Now;
  giveUpFormation(Input, Group.m_Key);
  for (const std::string &Id : Group.m_Members) {
    if (Id.empty() || Input.m_UnreachableServers.count(Id) != 0 ||
        (!HeadMayServe && isJoiningAnother(Input, Id)))
      continue;
    if (HeadMayServe)
      quarantine(Input, Group, Id);
    MemberOrder Leave;
    Leave.m_HeadMayServe = HeadMayServe;
    Leave.m_Kind = MemberOrderKind::Leave;
    Leave.m_Server = Id;
    Leave.m_Group = Group.m_Key;
    issueOrder(Input, std::move(Leave));
  }
}

void ReplicaPlanner::quarantine(const ReplicaPlannerInput &Input,
                                const ReplicaGroup &Group,
                                const std::string &Member) {
  Quarantine &Active = m_Quarantines[Member];
  Active.m_Until = Input.m_Now + m_Settings.quarantineTime();
  const auto LastHead = m_LastKnownHeads.find(Group.m_Key);
  Active.m_Head = LastHead == m_LastKnownHeads.end()
                      ? HeadProcess{}
                      : processOf(LastHead->second);
}

} // namespace fulmarwinch
