#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fulmarwinch {

ReplicaPlanner::ReplicaPlanner(const ReplicaPlannerSettings &Settings,
                               GroupKeySequence &GroupKeys,
                               const QuarantineRecord &Quarantined,
                               MonotonicTime StartedAt)
    : m_Settings(Settings), m_GroupKeys(GroupKeys), m_StartedAt(StartedAt),
      m_Ledger(Settings.m_MaxOrderDelay) {
  for (const auto &[Server, Head] : Quarantined)
    m_Quarantines[Server] = {StartedAt + m_Settings.quarantineTime(), Head};
}

QuarantineRecord ReplicaPlanner::quarantineRecord(MonotonicTime Now) const {
  QuarantineRecord Record;
  for (const auto &[Server, Active] : m_Quarantines)
    if (Active.m_Until > Now)
      Record.emplace(Server, Active.m_Head);
  return Record;
}

std::vector<MemberOrder>
ReplicaPlanner::plan(const ReplicaPlannerInput &Input) {
  m_Orders.clear();
  m_Groups = Input.m_Fleet->groups();
  indexAddresses(Input);
  removeEndedMembers(Input);
  m_Ledger.update(*Input.m_Fleet, Input.m_Now);
  removeOutdatedState(Input);
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (Server.m_Membership)
      m_LastGroupByServer[Id] = Server.m_Membership->m_Group;
  for (const auto &[Key, Group] : m_Groups)
    reviewGroup(Input, Group);
  for (auto &[Key, Formation] : m_Formations)
    sendJoins(Input, Key, Formation);
  updateDomainModels(Input);
  formGroups(Input);
  stageSpares(Input);
  convertDomains(Input);
  return std::move(m_Orders);
}

void ReplicaPlanner::removeOutdatedState(const ReplicaPlannerInput &Input) {
  // The members of a group share a head.
  std::map<std::string, bool> HasSuccessorByHead;
  const auto HasEnded = [&](const Quarantine &Active) {
    if (Active.m_Until <= Input.m_Now)
      return true;
    const auto [Known, IsNew] =
        HasSuccessorByHead.emplace(Active.m_Head.m_Id, false);
    if (IsNew)
      Known->second = hasSuccessor(Active.m_Head);
    return Known->second;
  };
  for (auto Entry = m_Quarantines.begin(); Entry != m_Quarantines.end();) {
    const BackendServer *Server = Input.m_Fleet->find(Entry->first);
    // The record of the previous lease holder has the servers of all services.
    const bool IsOfOtherService =
        Server && Server->m_Service != Input.m_Service->m_Name;
    Entry = IsOfOtherService || HasEnded(Entry->second)
                ? m_Quarantines.erase(Entry)
                : std::next(Entry);
  }
  for (auto Entry = m_ActiveStagings.begin();
       Entry != m_ActiveStagings.end();) {
    const BackendServer *Server = Input.m_Fleet->find(Entry->first);
    const bool IsFinished = !Server || Entry->second.second <= Input.m_Now ||
                            Server->hasStagedWeights(Entry->second.first);
    Entry = IsFinished ? m_ActiveStagings.erase(Entry) : std::next(Entry);
  }
  const auto EraseEndedGroups = [&](auto &ByGroup) {
    for (auto Entry = ByGroup.begin(); Entry != ByGroup.end();)
      Entry = m_Groups.count(Entry->first) == 0 ? ByGroup.erase(Entry)
                                                : std::next(Entry);
  };
  EraseEndedGroups(m_FirstSeenAt);
  EraseEndedGroups(m_LastKnownHeads);
  EraseEndedGroups(m_HeadMissingSince);
  for (std::set<GroupKey> *Groups : {&m_GroupsLeftByHead, &m_GroupsSeenOpen})
    for (auto Entry = Groups->begin(); Entry != Groups->end();)
      Entry =
          m_Groups.count(*Entry) == 0 ? Groups->erase(Entry) : std::next(Entry);
  for (auto Entry = m_Formations.begin(); Entry != m_Formations.end();) {
    GroupFormation &PlannedFormation = Entry->second;
    const bool IsListed = m_Groups.count(Entry->first) != 0;
    PlannedFormation.m_WasReported = PlannedFormation.m_WasReported || IsListed;
    // A group that was reported and has disappeared again has ended, so its
    // members no longer load weights for it.
    const bool IsOver =
        !IsListed && (PlannedFormation.m_WasReported ||
                      PlannedFormation.m_GiveUpTime <= Input.m_Now);
    Entry = IsOver ? m_Formations.erase(Entry) : std::next(Entry);
  }
  removeOutdatedOrderState(Input);
}

void ReplicaPlanner::removeOutdatedOrderState(
    const ReplicaPlannerInput &Input) {
  for (auto Entry = m_PendingOrders.begin(); Entry != m_PendingOrders.end();)
    Entry = Entry->second.m_RepeatAt <= Input.m_Now
                ? m_PendingOrders.erase(Entry)
                : std::next(Entry);
  for (auto Entry = m_DisbandedGroups.begin();
       Entry != m_DisbandedGroups.end();) {
    if (m_Groups.count(Entry->first) != 0)
      Entry->second = Input.m_Now;
    Entry = Input.m_Now - Entry->second > m_Settings.m_MaxOrderDelay
                ? m_DisbandedGroups.erase(Entry)
                : std::next(Entry);
  }
  for (auto Entry = m_ConflictCounts.begin(); Entry != m_ConflictCounts.end();)
    Entry = Input.m_Fleet->find(Entry->first) ? std::next(Entry)
                                              : m_ConflictCounts.erase(Entry);
  for (auto Entry = m_LastStateRequests.begin();
       Entry != m_LastStateRequests.end();)
    Entry = Entry->second.m_RepeatAt > Input.m_Now
                ? std::next(Entry)
                : m_LastStateRequests.erase(Entry);
}

bool ReplicaPlanner::isComplete(const ReplicaPlannerInput &Input,
                                const ReplicaGroup &Group,
                                const ModelSpec &Model) const {
  return countUsableMembers(Input, Group) == Model.m_GroupSize;
}

std::size_t
ReplicaPlanner::countUsableMembers(const ReplicaPlannerInput &Input,
                                   const ReplicaGroup &Group) const {
  return static_cast<std::size_t>(
      std::count_if(Group.m_Members.begin(), Group.m_Members.end(),
                    [&](const std::string &Id) {
                      const BackendServer *Server = Input.m_Fleet->find(Id);
                      return Server && !Server->m_Draining &&
                             Input.m_UnreachableServers.count(Id) == 0;
                    }));
}

bool ReplicaPlanner::isCompleteWithUnlisted(const ReplicaPlannerInput &Input,
                                            const ReplicaGroup &Group,
                                            const ModelSpec &Model) const {
  std::size_t MemberCount = countUsableMembers(Input, Group);
  for (const BackendServer *Unlisted :
       Input.m_Fleet->membersWithoutEntry(Group.m_Key))
    MemberCount += Input.m_UnlistedButResponding.count(Unlisted->m_Id);
  return MemberCount == Model.m_GroupSize;
}

bool ReplicaPlanner::isReducedOnlyByDraining(const ReplicaPlannerInput &Input,
                                             const ReplicaGroup &Group,
                                             const ModelSpec &Model) const {
  if (Group.m_Members.size() != Model.m_GroupSize)
    return false;
  return std::all_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&](const std::string &Id) {
                       return Input.m_Fleet->find(Id) &&
                              Input.m_UnreachableServers.count(Id) == 0;
                     });
}

void ReplicaPlanner::reviewGroup(const ReplicaPlannerInput &Input,
                                 const ReplicaGroup &Group) {
  m_FirstSeenAt.emplace(Group.m_Key, Input.m_Now);
  const ModelSpec *Model = Input.m_Service->m_Engine.findModel(Group.m_Model);
  if (!Group.m_Head) {
    reviewGroupWithoutHead(Input, Group);
    return;
  }
  m_LastKnownHeads.insert_or_assign(Group.m_Key, *Group.m_Head);
  const GroupMemberState State = Group.m_Head->m_Membership->m_State;
  // An unreachable head may be partitioned from this node and still serve.
  if (Input.m_UnreachableServers.count(Group.m_Head->m_Id) != 0 &&
      State != GroupMemberState::Broken) {
    disband(Input, Group, true);
    return;
  }
  switch (State) {
  case GroupMemberState::Broken:
    disband(Input, Group, false);
    return;
  case GroupMemberState::Joining:
  case GroupMemberState::Ready:
    if (Model)
      reviewFormingGroup(Input, Group, *Model);
    else
      disbandUnopened(Input, Group);
    return;
  case GroupMemberState::Open:
    m_GroupsSeenOpen.insert(Group.m_Key);
    if (!Model || m_RetiredGroups.count(Group.m_Key) != 0 ||
        !isCompleteWithUnlisted(Input, Group, *Model)) {
      MemberOrder Close;
      Close.m_Kind = MemberOrderKind::Close;
      Close.m_Server = Group.m_Head->m_Id;
      Close.m_Group = Group.m_Key;
      Close.m_CloseMode = Model && isReducedOnlyByDraining(Input, Group, *Model)
                              ? CloseMode::FinishRequests
                              : CloseMode::PreemptRequests;
      issueOrder(Input, std::move(Close));
    }
    return;
  case GroupMemberState::Closing:
    return;
  }
}

void ReplicaPlanner::reviewFormingGroup(const ReplicaPlannerInput &Input,
                                        const ReplicaGroup &Group,
                                        const ModelSpec &Model) {
  // A member may have received or carried out a leave order, or may still carry
  // out a join of another group. The head checks none of its members.
  if (m_RetiredGroups.count(Group.m_Key) != 0 ||
      m_DisbandedGroups.count(Group.m_Key) != 0 || mayJoinLaterGroup(Group)) {
    disbandUnopened(Input, Group);
    return;
  }
  const auto PlannedFormation = m_Formations.find(Group.m_Key);
  const MonotonicTime GiveUpTime = PlannedFormation != m_Formations.end()
                                       ? PlannedFormation->second.m_GiveUpTime
                                       : m_FirstSeenAt[Group.m_Key] +
                                             Model.m_WeightStoreLoadTime +
                                             m_Settings.m_ReportDelayMargin;
  const bool AllMembersUsable = isComplete(Input, Group, Model);
  const bool AllReady =
      AllMembersUsable &&
      std::all_of(Group.m_Members.begin(), Group.m_Members.end(),
                  [&](const std::string &Id) {
                    return Input.m_Fleet->find(Id)->m_Membership->m_State ==
                           GroupMemberState::Ready;
                  });
  // The members name their limits in the responses to their orders. The same
  // servers form a group with another head sooner than one is replaced that
  // takes too few requests.
  if (AllReady && hasBetterHead(Input, Group)) {
    disbandUnopened(Input, Group);
    return;
  }
  if (AllReady) {
    MemberOrder Open;
    Open.m_Kind = MemberOrderKind::Open;
    Open.m_Server = Group.m_Head->m_Id;
    Open.m_Group = Group.m_Key;
    issueOrder(Input, std::move(Open));
    return;
  }
  // Members report one after the other, so an incomplete group may still become
  // complete.
  const bool StillJoining = isAwaitingMembers(Input, Group.m_Key) ||
                            (!AllMembersUsable &&
                             Input.m_Now - m_FirstSeenAt[Group.m_Key] <=
                                 m_Settings.m_ReportDelayMargin &&
                             !isReducedOnlyByDraining(Input, Group, Model));
  if ((StillJoining || AllMembersUsable) && Input.m_Now < GiveUpTime)
    return;
  disbandUnopened(Input, Group);
}

bool ReplicaPlanner::hasBetterHead(const ReplicaPlannerInput &Input,
                                   const ReplicaGroup &Group) {
  const auto IsLimited = [&](const std::string &Server) {
    return Input.m_RateLimitedServers.count(Server) != 0;
  };
  return IsLimited(Group.m_Head->m_Id) &&
         !std::all_of(Group.m_Members.begin(), Group.m_Members.end(),
                      IsLimited);
}

void ReplicaPlanner::indexAddresses(const ReplicaPlannerInput &Input) {
  m_LatestByAddress.clear();
  for (const auto &[Id, Server] : Input.m_Fleet->servers()) {
    if (Server.m_Endpoint.m_Ip.empty())
      continue;
    const BackendServer *&Latest = m_LatestByAddress[Server.m_Endpoint];
    if (!Latest || Latest->m_StartedAtMs < Server.m_StartedAtMs)
      Latest = &Server;
  }
}

bool ReplicaPlanner::hasSuccessor(const HeadProcess &Head) const {
  const auto Latest = m_LatestByAddress.find(Head.m_Endpoint);
  return Latest != m_LatestByAddress.end() &&
         Latest->second->m_StartedAtMs > Head.m_StartedAtMs;
}

bool ReplicaPlanner::hasEnded(const BackendServer &Server) const {
  const auto Latest = m_LatestByAddress.find(Server.m_Endpoint);
  // The start times are those of the servers' clocks. A server that lives
  // changes its entry after the last change of one that has ended.
  return Latest != m_LatestByAddress.end() &&
         Latest->second->m_StartedAtMs > Server.m_StartedAtMs &&
         Latest->second->m_Position > Server.m_Position;
}

void ReplicaPlanner::removeEndedMembers(const ReplicaPlannerInput &Input) {
  for (auto &[Key, Group] : m_Groups) {
    if (Group.m_Head && hasEnded(*Group.m_Head)) {
      m_LastKnownHeads.insert_or_assign(Key, *Group.m_Head);
      Group.m_Head = nullptr;
    }
    for (std::string &Member : Group.m_Members) {
      const BackendServer *Server = Input.m_Fleet->find(Member);
      if (Server && hasEnded(*Server))
        Member.clear();
    }
  }
}

bool ReplicaPlanner::issueOrder(const ReplicaPlannerInput &Input,
                                MemberOrder Order) {
  const auto Pending = m_PendingOrders.find(Order.m_Server);
  if (Pending != m_PendingOrders.end() &&
      Pending->second.m_RepeatAt > Input.m_Now &&
      Pending->second.m_Kind == Order.m_Kind &&
      Pending->second.m_Group == Order.m_Group)
    return false;
  const BackendServer *Server = Input.m_Fleet->find(Order.m_Server);
  const auto LastHead = m_LastKnownHeads.find(Order.m_Group);
  if (!Server && LastHead != m_LastKnownHeads.end() &&
      LastHead->second.m_Id == Order.m_Server)
    Server = &LastHead->second;
  if (!Server)
    return false;
  const OrderState *State = m_Ledger.stateFor(*Server, Order.m_Kind);
  if (!State) {
    requestState(Input, *Server);
    return false;
  }
  Order.m_StartedAtMs = Server->m_StartedAtMs;
  Order.m_Precondition = State->m_OrderCount;
  m_PendingOrders[Order.m_Server] = {Order.m_Kind, Order.m_Group,
                                     Input.m_Now +
                                         m_Settings.m_OrderRepeatInterval};
  m_Ledger.onSent(Order, Input.m_Now);
  m_Orders.push_back(std::move(Order));
  return true;
}

void ReplicaPlanner::requestState(const ReplicaPlannerInput &Input,
                                  const BackendServer &Server) {
  StateRequest &Last = m_LastStateRequests[Server.m_Id];
  const bool HasChanged = Last.m_Position != Server.m_Position;
  if (!HasChanged && Last.m_RepeatAt > Input.m_Now)
    return;
  Last = {Server.m_Position, Input.m_Now + m_Settings.m_StateRequestInterval};
  m_StateRequests.push_back(Server);
}

std::vector<BackendServer> ReplicaPlanner::takeStateRequests() {
  return std::exchange(m_StateRequests, {});
}

bool ReplicaPlanner::hasPendingOrder(const ReplicaPlannerInput &Input,
                                     const std::string &Server) const {
  const auto Pending = m_PendingOrders.find(Server);
  return Pending != m_PendingOrders.end() &&
         Pending->second.m_RepeatAt > Input.m_Now;
}

bool ReplicaPlanner::isFree(const ReplicaPlannerInput &Input,
                            const BackendServer &Server) const {
  const std::string &Id = Server.m_Id;
  if (Server.m_Service != Input.m_Service->m_Name || Server.m_Membership ||
      Server.m_FabricDomain.empty() || !Input.m_Fleet->acceptsNewWork(Server) ||
      Input.m_UnreachableServers.count(Id) != 0 || m_Quarantines.count(Id) != 0)
    return false;
  if (isReservedForFormation(Input, Id) ||
      (hasPendingOrder(Input, Id) &&
       m_PendingOrders.at(Id).m_Kind == MemberOrderKind::Join))
    return false;
  const auto LastGroup = m_LastGroupByServer.find(Id);
  if (LastGroup == m_LastGroupByServer.end())
    return true;
  // The head of the server's last group may still be serving with this server
  // as a member.
  const auto Group = m_Groups.find(LastGroup->second);
  if (Group == m_Groups.end() || !Group->second.m_Head)
    return true;
  const GroupMemberState State = Group->second.m_Head->m_Membership->m_State;
  return State != GroupMemberState::Open && State != GroupMemberState::Closing;
}

std::map<std::string, std::vector<const BackendServer *>>
ReplicaPlanner::freeServersByDomain(const ReplicaPlannerInput &Input) const {
  std::map<std::string, std::vector<const BackendServer *>> FreeServers;
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (isFree(Input, Server) && !isReservedForConversion(Server))
      FreeServers[Server.m_FabricDomain].push_back(&Server);
  return FreeServers;
}

} // namespace fulmarwinch
