#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <optional>

namespace fulmarwinch {

namespace {

HeadProcess processOf(const BackendServer &Head) {
  return {Head.m_Id, Head.m_Endpoint, Head.m_StartedAtMs};
}

} // namespace

ReplicaPlanner::ReplicaPlanner(const ReplicaPlannerSettings &Settings,
                               GroupKeySequence &GroupKeys,
                               const QuarantineRecord &Quarantined,
                               MonotonicTime StartedAt)
    : m_Settings(Settings), m_GroupKeys(GroupKeys), m_StartedAt(StartedAt) {
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
  removeOutdatedState(Input);
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (Server.m_Membership)
      m_LastGroupByServer[Id] = Server.m_Membership->m_Group;
  for (const auto &[Key, Group] : m_Groups)
    reviewGroup(Input, Group);
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
  for (auto Entry = m_GroupsLeftByHead.begin();
       Entry != m_GroupsLeftByHead.end();)
    Entry = m_Groups.count(*Entry) == 0 ? m_GroupsLeftByHead.erase(Entry)
                                        : std::next(Entry);
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
  for (auto Entry = m_PendingOrders.begin(); Entry != m_PendingOrders.end();)
    Entry = Entry->second.m_RepeatAt <= Input.m_Now
                ? m_PendingOrders.erase(Entry)
                : std::next(Entry);
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
      disband(Input, Group, false);
    return;
  case GroupMemberState::Open:
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

void ReplicaPlanner::reviewGroupWithoutHead(const ReplicaPlannerInput &Input,
                                            const ReplicaGroup &Group) {
  // The entry of the head may have gone before this node held the lease.
  for (const BackendServer *Unlisted :
       Input.m_Fleet->membersWithoutEntry(Group.m_Key))
    if (Unlisted->m_Membership->m_Rank == 0)
      m_LastKnownHeads.emplace(Group.m_Key, *Unlisted);
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
  if (Input.m_Now - MissingSince > m_Settings.m_JoinResponseTimeout)
    disband(Input, Group, true);
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

void ReplicaPlanner::reviewFormingGroup(const ReplicaPlannerInput &Input,
                                        const ReplicaGroup &Group,
                                        const ModelSpec &Model) {
  if (m_RetiredGroups.count(Group.m_Key) != 0) {
    disband(Input, Group, false);
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
    disband(Input, Group, false);
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
  const bool StillJoining = !AllMembersUsable &&
                            Input.m_Now - m_FirstSeenAt[Group.m_Key] <=
                                m_Settings.m_ReportDelayMargin &&
                            !isReducedOnlyByDraining(Input, Group, Model);
  if ((StillJoining || AllMembersUsable) && Input.m_Now < GiveUpTime)
    return;
  disband(Input, Group, false);
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

void ReplicaPlanner::disband(const ReplicaPlannerInput &Input,
                             const ReplicaGroup &Group, bool HeadMayServe) {
  for (const std::string &Id : Group.m_Members) {
    if (Id.empty() || Input.m_UnreachableServers.count(Id) != 0)
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

void ReplicaPlanner::issueOrder(const ReplicaPlannerInput &Input,
                                MemberOrder Order) {
  PendingOrder &LastOrder = m_PendingOrders[Order.m_Server];
  if (LastOrder.m_RepeatAt > Input.m_Now && LastOrder.m_Kind == Order.m_Kind &&
      LastOrder.m_Group == Order.m_Group)
    return;
  LastOrder = {Order.m_Kind, Order.m_Group,
               Input.m_Now + m_Settings.m_OrderRepeatInterval};
  m_Orders.push_back(std::move(Order));
}

bool ReplicaPlanner::isFree(const ReplicaPlannerInput &Input,
                            const BackendServer &Server) const {
  const std::string &Id = Server.m_Id;
  if (Server.m_Service != Input.m_Service->m_Name || Server.m_Membership ||
      Server.m_FabricDomain.empty() || !Input.m_Fleet->acceptsNewWork(Server) ||
      Input.m_UnreachableServers.count(Id) != 0 || m_Quarantines.count(Id) != 0)
    return false;
  const auto LastOrder = m_PendingOrders.find(Id);
  if (LastOrder != m_PendingOrders.end() &&
      LastOrder->second.m_RepeatAt > Input.m_Now &&
      LastOrder->second.m_Kind == MemberOrderKind::Join)
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

ReplicaPlanner::GroupCandidate ReplicaPlanner::findCandidate(
    const ReplicaPlannerInput &Input, const ModelSpec &Model,
    const std::vector<const BackendServer *> &FreeServers) {
  GroupCandidate Result;
  if (FreeServers.size() < Model.m_GroupSize)
    return Result;
  Result.m_Model = &Model;
  Result.m_Members = FreeServers;
  std::stable_sort(Result.m_Members.begin(), Result.m_Members.end(),
                   [&](const BackendServer *Left, const BackendServer *Right) {
                     return Left->hasStagedWeights(Model.m_Name) >
                            Right->hasStagedWeights(Model.m_Name);
                   });
  // The first member is the head.
  const auto Head = std::find_if(
      Result.m_Members.begin(), Result.m_Members.end(),
      [&](const BackendServer *Server) {
        return Input.m_RateLimitedServers.count(Server->m_Id) == 0 &&
               Server->hasStagedWeights(Model.m_Name) ==
                   Result.m_Members.front()->hasStagedWeights(Model.m_Name);
      });
  if (Head != Result.m_Members.end())
    std::rotate(Result.m_Members.begin(), Head, std::next(Head));
  Result.m_Members.resize(Model.m_GroupSize);
  for (const BackendServer *Member : Result.m_Members)
    Result.m_LoadsNeeded += Member->hasStagedWeights(Model.m_Name) ? 0 : 1;
  return Result;
}

std::size_t
ReplicaPlanner::loadsInProgress(const ReplicaPlannerInput &Input) const {
  std::size_t Count = m_ActiveStagings.size();
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (Server.m_Membership &&
        Server.m_Membership->m_State == GroupMemberState::Joining &&
        !Server.hasStagedWeights(
            modelOfGroup(Server.m_Membership->m_Group.m_Name)))
      ++Count;
  for (const auto &[Key, PlannedFormation] : m_Formations)
    if (m_Groups.count(Key) == 0)
      Count += PlannedFormation.m_Members.size();
  return Count;
}

bool ReplicaPlanner::mayStartLoad(const ReplicaPlannerInput &Input) const {
  if (!Input.m_TrafficSeen &&
      m_ShareWithWeights >= m_Settings.m_ThrottledLoadShare)
    return true;
  return loadsInProgress(Input) <
         Input.m_Service->m_Engine.m_MaxConcurrentLoads;
}

void ReplicaPlanner::formGroups(const ReplicaPlannerInput &Input) {
  while (formNextGroup(Input)) {
  }
}

bool ReplicaPlanner::formNextGroup(const ReplicaPlannerInput &Input) {
  const auto FreeServers = freeServersByDomain(Input);
  for (const ModelSpec *Model : modelsByRisingSupply(Input)) {
    GroupCandidate BestCandidate;
    std::size_t BestSameModelGroups = 0;
    for (const auto &[Domain, Servers] : FreeServers) {
      const GroupCandidate DomainCandidate =
          findCandidate(Input, *Model, Servers);
      if (!DomainCandidate.m_Model)
        continue;
      // After the first request a load from the weight store takes longer than
      // any other way to replace a group, so only servers with staged weights
      // join a group.
      if (Input.m_TrafficSeen && DomainCandidate.m_LoadsNeeded > 0)
        continue;
      if (DomainCandidate.m_LoadsNeeded > 0 &&
          (!mayStartLoad(Input) || !isAllowedInDomain(*Model, Domain)))
        continue;
      std::size_t SameModelGroups = 0;
      for (const auto &[Key, Group] : m_Groups)
        SameModelGroups +=
            Group.m_FabricDomain == Domain && Group.m_Model == Model->m_Name;
      for (const auto &[Key, PlannedFormation] : m_Formations)
        if (m_Groups.count(Key) == 0 &&
            PlannedFormation.m_Model == Model->m_Name)
          SameModelGroups +=
              Input.m_Fleet->find(PlannedFormation.m_Members.front()) &&
              Input.m_Fleet->find(PlannedFormation.m_Members.front())
                      ->m_FabricDomain == Domain;
      // Spread the groups of one model over the fabric domains.
      if (!BestCandidate.m_Model || SameModelGroups < BestSameModelGroups ||
          (SameModelGroups == BestSameModelGroups &&
           DomainCandidate.m_LoadsNeeded < BestCandidate.m_LoadsNeeded)) {
        BestCandidate = DomainCandidate;
        BestSameModelGroups = SameModelGroups;
      }
    }
    if (BestCandidate.m_Model) {
      startFormation(Input, BestCandidate);
      return true;
    }
  }
  return false;
}

void ReplicaPlanner::startFormation(const ReplicaPlannerInput &Input,
                                    const GroupCandidate &SelectedCandidate) {
  MemberOrder Join;
  Join.m_Kind = MemberOrderKind::Join;
  Join.m_Model = SelectedCandidate.m_Model->m_Name;
  Join.m_Group = m_GroupKeys.next(Join.m_Model);
  for (const BackendServer *Member : SelectedCandidate.m_Members)
    Join.m_Members.push_back(Member->m_Id);
  const Duration ExpectedLoadTime =
      SelectedCandidate.m_LoadsNeeded > 0
          ? SelectedCandidate.m_Model->m_WeightStoreLoadTime
          : SelectedCandidate.m_Model->m_StagedLoadTime;
  m_Formations[Join.m_Group] = {Join.m_Model, Join.m_Members,
                                Input.m_Now + ExpectedLoadTime * 2 +
                                    m_Settings.m_ReportDelayMargin};
  for (const BackendServer *Member : SelectedCandidate.m_Members) {
    Join.m_Server = Member->m_Id;
    issueOrder(Input, Join);
  }
}

void ReplicaPlanner::onJoinFailed(const MemberOrder &Order, MonotonicTime Now) {
  const auto PlannedFormation = m_Formations.find(Order.m_Group);
  if (PlannedFormation != m_Formations.end())
    PlannedFormation->second.m_GiveUpTime = Now;
  m_PendingOrders[Order.m_Server] = {MemberOrderKind::Join, Order.m_Group,
                                     Now + m_Settings.m_JoinResponseTimeout};
}

} // namespace fulmarwinch
