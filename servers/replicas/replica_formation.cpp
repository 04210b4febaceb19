// Forms replica groups: selects their members and orders them to join.

#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Number of conflicts in a row from which a server stands aside longer and
/// longer.
constexpr unsigned ToleratedConflicts = 1;
/// Number of times that the delay after a conflict doubles at most.
constexpr unsigned MaxConflictDoublings = 4;

} // namespace

ReplicaPlanner::GroupCandidate ReplicaPlanner::findCandidate(
    const ReplicaPlannerInput &Input, const ModelSpec &Model,
    const std::vector<const BackendServer *> &FreeServers) const {
  GroupCandidate Result;
  if (FreeServers.size() < Model.m_GroupSize)
    return Result;
  Result.m_Model = &Model;
  Result.m_Members = FreeServers;
  // Servers that have not answered a join come last among those alike.
  const auto SortKey = [&](const BackendServer *Server) {
    return std::make_pair(!Server->hasStagedWeights(Model.m_Name),
                          m_Ledger.hasUnansweredJoin(Server->m_Id));
  };
  std::stable_sort(Result.m_Members.begin(), Result.m_Members.end(),
                   [&](const BackendServer *Left, const BackendServer *Right) {
                     return SortKey(Left) < SortKey(Right);
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
  const ModelSpec &Model = *SelectedCandidate.m_Model;
  GroupFormation Formation;
  Formation.m_Model = Model.m_Name;
  for (const BackendServer *Member : SelectedCandidate.m_Members)
    Formation.m_Members.push_back(Member->m_Id);
  Formation.m_JoinsToSend.insert(Formation.m_Members.begin(),
                                 Formation.m_Members.end());
  const Duration ExpectedLoadTime = SelectedCandidate.m_LoadsNeeded > 0
                                        ? Model.m_WeightStoreLoadTime
                                        : Model.m_StagedLoadTime;
  Formation.m_JoinAllowance =
      ExpectedLoadTime * 2 + m_Settings.m_ReportDelayMargin;
  Formation.m_GiveUpTime = Input.m_Now + Formation.m_JoinAllowance;
  const GroupKey Key = m_GroupKeys.next(Model.m_Name);
  sendJoins(Input, Key, m_Formations[Key] = std::move(Formation));
}

void ReplicaPlanner::sendJoins(const ReplicaPlannerInput &Input,
                               const GroupKey &Key, GroupFormation &Formation) {
  if (Formation.m_GiveUpTime <= Input.m_Now)
    return;
  const std::set<std::string> Members = Formation.m_JoinsToSend;
  for (const std::string &Id : Members) {
    const BackendServer *Server = Input.m_Fleet->find(Id);
    const bool HasJoined =
        Server && Server->m_Membership && Server->m_Membership->m_Group == Key;
    if (!Server || !isUsable(Input, *Server) || HasJoined) {
      Formation.m_JoinsToSend.erase(Id);
      continue;
    }
    // A server that is ready in another group leaves that group first: its head
    // may be about to serve.
    if (Server->m_Membership && !isJoiningAnother(Input, Id))
      continue;
    MemberOrder Join;
    Join.m_Kind = MemberOrderKind::Join;
    Join.m_Server = Id;
    Join.m_Group = Key;
    Join.m_Model = Formation.m_Model;
    Join.m_Members = Formation.m_Members;
    if (issueOrder(Input, std::move(Join)))
      Formation.m_JoinsToSend.erase(Id);
  }
}

bool ReplicaPlanner::isAwaitingMembers(const ReplicaPlannerInput &Input,
                                       const GroupKey &Key) const {
  const auto Planned = m_Formations.find(Key);
  if (Planned == m_Formations.end() ||
      Planned->second.m_GiveUpTime <= Input.m_Now)
    return false;
  const GroupFormation &Formation = Planned->second;
  return std::all_of(
      Formation.m_Members.begin(), Formation.m_Members.end(),
      [&](const std::string &Id) {
        const BackendServer *Server = Input.m_Fleet->find(Id);
        if (!Server || !isUsable(Input, *Server) || hasEnded(*Server))
          return false;
        return (Server->m_Membership && Server->m_Membership->m_Group == Key) ||
               m_Ledger.hasUnansweredJoin(Id) ||
               Formation.m_JoinsToSend.count(Id) != 0;
      });
}

bool ReplicaPlanner::isJoiningAnother(const ReplicaPlannerInput &Input,
                                      const std::string &Id) const {
  const BackendServer *Server = Input.m_Fleet->find(Id);
  return Server && Server->m_Membership &&
         Server->m_Membership->m_State == GroupMemberState::Joining &&
         isReservedForFormation(Input, Id);
}

bool ReplicaPlanner::isReservedForFormation(const ReplicaPlannerInput &Input,
                                            const std::string &Server) const {
  return std::any_of(
      m_Formations.begin(), m_Formations.end(), [&](const auto &KeyAndPlanned) {
        const GroupFormation &Formation = KeyAndPlanned.second;
        return Formation.m_GiveUpTime > Input.m_Now &&
               (m_Ledger.hasUnansweredJoin(Server) ||
                Formation.m_JoinsToSend.count(Server) != 0) &&
               std::find(Formation.m_Members.begin(), Formation.m_Members.end(),
                         Server) != Formation.m_Members.end();
      });
}

bool ReplicaPlanner::mayJoinLaterGroup(const ReplicaGroup &Group) const {
  return std::any_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&](const std::string &Id) {
                       return m_Ledger.mayJoinLaterGroup(Id, Group.m_Key);
                     });
}

void ReplicaPlanner::onStateUnavailable(const std::string &Id,
                                        MonotonicTime Now) {
  for (const auto &[Key, Formation] : m_Formations)
    if (Formation.m_GiveUpTime > Now && Formation.m_JoinsToSend.count(Id) != 0)
      onJoinFailed(Key, Id, Now);
}

void ReplicaPlanner::onOrderEnded(const MemberOrder &Order, OrderResult Result,
                                  MonotonicTime Now) {
  m_Ledger.onEnded(Order, Result);
  m_LastStateRequests.erase(Order.m_Server);
  const bool IsDone =
      Result == OrderResult::Begun || Result == OrderResult::Done;
  if (IsDone)
    m_ConflictCounts.erase(Order.m_Server);
  if (Result == OrderResult::Conflict)
    ++m_ConflictCounts[Order.m_Server];
  if (Order.m_Kind == MemberOrderKind::Leave && IsDone)
    onLeaveConfirmed(Order);
  if (Order.m_Kind == MemberOrderKind::Join) {
    onJoinEnded(Order, Result, Now);
    return;
  }
  if (Order.m_Kind == MemberOrderKind::Stage && !IsDone &&
      Result != OrderResult::Unanswered)
    m_ActiveStagings.erase(Order.m_Server);
  const auto Pending = m_PendingOrders.find(Order.m_Server);
  if (Pending == m_PendingOrders.end() ||
      Pending->second.m_Kind != Order.m_Kind ||
      !(Pending->second.m_Group == Order.m_Group))
    return;
  if (Result == OrderResult::Conflict)
    Pending->second.m_RepeatAt = Now + conflictDelay(Order.m_Server);
  // The entry shows the effect of an order long before the call times out.
  else if (Result == OrderResult::Unanswered &&
           Order.m_Kind != MemberOrderKind::Stage)
    Pending->second.m_RepeatAt = Now;
}

void ReplicaPlanner::onJoinEnded(const MemberOrder &Order, OrderResult Result,
                                 MonotonicTime Now) {
  const auto Planned = m_Formations.find(Order.m_Group);
  const bool IsLive =
      Planned != m_Formations.end() && Planned->second.m_GiveUpTime > Now;
  if (Result == OrderResult::Begun || Result == OrderResult::Done) {
    if (IsLive)
      Planned->second.m_GiveUpTime = std::max(
          Planned->second.m_GiveUpTime, Now + Planned->second.m_JoinAllowance);
    return;
  }
  // A repeated join is harmless wherever the first one has got to, while
  // another group of the same servers would compete with it.
  const bool MayRepeat =
      Result == OrderResult::Unanswered ||
      (Result == OrderResult::Conflict &&
       m_ConflictCounts[Order.m_Server] <= ToleratedConflicts);
  if (!IsLive || !MayRepeat) {
    onJoinFailed(Order.m_Group, Order.m_Server, Now);
    return;
  }
  Planned->second.m_JoinsToSend.insert(Order.m_Server);
  m_PendingOrders.erase(Order.m_Server);
}

Duration ReplicaPlanner::conflictDelay(const std::string &Server) const {
  const auto Conflicts = m_ConflictCounts.find(Server);
  if (Conflicts == m_ConflictCounts.end() ||
      Conflicts->second <= ToleratedConflicts)
    return Duration::zero();
  const unsigned Doublings = std::min(
      Conflicts->second - ToleratedConflicts - 1, MaxConflictDoublings);
  return m_Settings.m_JoinResponseTimeout * (1U << Doublings);
}

void ReplicaPlanner::onJoinFailed(const MemberOrder &Order, MonotonicTime Now) {
  onJoinFailed(Order.m_Group, Order.m_Server, Now);
}

void ReplicaPlanner::onJoinFailed(const GroupKey &Group,
                                  const std::string &Server,
                                  MonotonicTime Now) {
  const auto PlannedFormation = m_Formations.find(Group);
  if (PlannedFormation != m_Formations.end())
    PlannedFormation->second.m_GiveUpTime = Now;
  m_PendingOrders[Server] = {
      MemberOrderKind::Join, Group,
      Now + std::max(m_Settings.m_JoinResponseTimeout, conflictDelay(Server))};
}

} // namespace fulmarwinch
