#include "servers/replicas/replica_planner.h"
#include "core/text.h"

#include <algorithm>
#include <optional>

namespace fulmarwinch {

namespace {

/// Formations of one holder before its epochs would reach the next holder's.
constexpr std::uint64_t EpochsPerHolder = 100000;

} // namespace

ReplicaPlanner::ReplicaPlanner(const ReplicaPlannerSettings &Settings,
                               std::uint64_t LeaseEpoch,
                               const std::set<std::string> &Quarantined,
                               MonotonicTime StartedAt)
    : m_Settings(Settings), m_LeaseEpoch(LeaseEpoch), m_StartedAt(StartedAt) {
  for (const std::string &Server : Quarantined)
    m_QuarantinedUntil[Server] =
        StartedAt + m_Settings.m_StallTime + m_Settings.m_ReportMargin;
}

std::set<std::string> ReplicaPlanner::quarantined() const {
  std::set<std::string> Servers;
  for (const auto &[Server, Until] : m_QuarantinedUntil)
    Servers.insert(Server);
  return Servers;
}

std::vector<MemberOrder>
ReplicaPlanner::plan(const ReplicaPlannerInput &Input) {
  m_Orders.clear();
  m_Groups = Input.m_Fleet->groups();
  forgetGone(Input);
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (Server.m_Membership)
      m_LastGroup[Id] = Server.m_Membership->m_Group;
  for (const auto &[Key, Group] : m_Groups)
    reviewGroup(Input, Group);
  layOut(Input);
  formGroups(Input);
  stageSpares(Input);
  return std::move(m_Orders);
}

void ReplicaPlanner::forgetGone(const ReplicaPlannerInput &Input) {
  const auto IsPast = [&](const auto &Entry) {
    return Entry.second <= Input.m_Now;
  };
  for (auto Entry = m_QuarantinedUntil.begin();
       Entry != m_QuarantinedUntil.end();)
    Entry = IsPast(*Entry) ? m_QuarantinedUntil.erase(Entry) : std::next(Entry);
  for (auto Entry = m_Staging.begin(); Entry != m_Staging.end();) {
    const BackendServer *Server = Input.m_Fleet->find(Entry->first);
    const bool Done = !Server || Entry->second.second <= Input.m_Now ||
                      Server->hasStaged(Entry->second.first);
    Entry = Done ? m_Staging.erase(Entry) : std::next(Entry);
  }
  const auto ForgetEnded = [&](auto &ByGroup) {
    for (auto Entry = ByGroup.begin(); Entry != ByGroup.end();)
      Entry = m_Groups.count(Entry->first) == 0 ? ByGroup.erase(Entry)
                                                : std::next(Entry);
  };
  ForgetEnded(m_FirstSeen);
  ForgetEnded(m_LastHeads);
  ForgetEnded(m_HeadMissingSince);
  for (auto Entry = m_ReleasedHeads.begin(); Entry != m_ReleasedHeads.end();)
    Entry = m_Groups.count(*Entry) == 0 ? m_ReleasedHeads.erase(Entry)
                                        : std::next(Entry);
  for (auto Entry = m_Formations.begin(); Entry != m_Formations.end();) {
    Formation &Formed = Entry->second;
    const bool IsThere = m_Groups.count(Entry->first) != 0;
    Formed.m_WasSeen = Formed.m_WasSeen || IsThere;
    // A group that was seen and is gone again loads nothing any more.
    const bool Ended =
        !IsThere && (Formed.m_WasSeen || Formed.m_GiveUpAt <= Input.m_Now);
    Entry = Ended ? m_Formations.erase(Entry) : std::next(Entry);
  }
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();)
    Entry = Entry->second.m_RepeatAt <= Input.m_Now ? m_Pending.erase(Entry)
                                                    : std::next(Entry);
}

bool ReplicaPlanner::isComplete(const ReplicaPlannerInput &Input,
                                const ReplicaGroup &Group,
                                const ModelSpec &Model) const {
  return workingMembers(Input, Group) == Model.m_GroupSize;
}

std::size_t ReplicaPlanner::workingMembers(const ReplicaPlannerInput &Input,
                                           const ReplicaGroup &Group) const {
  return static_cast<std::size_t>(
      std::count_if(Group.m_Members.begin(), Group.m_Members.end(),
                    [&](const std::string &Id) {
                      const BackendServer *Server = Input.m_Fleet->find(Id);
                      return Server && !Server->m_Draining &&
                             Input.m_Unreachable.count(Id) == 0;
                    }));
}

bool ReplicaPlanner::mayStayOpen(const ReplicaPlannerInput &Input,
                                 const ReplicaGroup &Group,
                                 const ModelSpec &Model) const {
  std::size_t Members = workingMembers(Input, Group);
  for (const BackendServer *Unlisted :
       Input.m_Fleet->unlistedMembers(Group.m_Key))
    Members += Input.m_AnswersUnlisted.count(Unlisted->m_Id);
  return Members == Model.m_GroupSize;
}

bool ReplicaPlanner::losesOnlyToDrain(const ReplicaPlannerInput &Input,
                                      const ReplicaGroup &Group,
                                      const ModelSpec &Model) const {
  if (Group.m_Members.size() != Model.m_GroupSize)
    return false;
  return std::all_of(Group.m_Members.begin(), Group.m_Members.end(),
                     [&](const std::string &Id) {
                       return Input.m_Fleet->find(Id) &&
                              Input.m_Unreachable.count(Id) == 0;
                     });
}

void ReplicaPlanner::reviewGroup(const ReplicaPlannerInput &Input,
                                 const ReplicaGroup &Group) {
  m_FirstSeen.emplace(Group.m_Key, Input.m_Now);
  const ModelSpec *Model = Input.m_Service->m_Engine.findModel(Group.m_Model);
  if (!Group.m_Head) {
    reviewHeadless(Input, Group);
    return;
  }
  m_LastHeads.insert_or_assign(Group.m_Key, *Group.m_Head);
  const MemberState State = Group.m_Head->m_Membership->m_State;
  // A head that answers nobody may be cut off and go on serving.
  if (Input.m_Unreachable.count(Group.m_Head->m_Id) != 0 &&
      State != MemberState::Broken) {
    disband(Input, Group, true);
    return;
  }
  switch (State) {
  case MemberState::Broken:
    disband(Input, Group, false);
    return;
  case MemberState::Joining:
  case MemberState::Ready:
    if (Model)
      reviewUnopened(Input, Group, *Model);
    else
      disband(Input, Group, false);
    return;
  case MemberState::Open:
    if (!Model || !mayStayOpen(Input, Group, *Model)) {
      MemberOrder Close;
      Close.m_Kind = OrderKind::Close;
      Close.m_Server = Group.m_Head->m_Id;
      Close.m_Group = Group.m_Key;
      Close.m_CloseMode = Model && losesOnlyToDrain(Input, Group, *Model)
                              ? CloseMode::FinishWork
                              : CloseMode::PreemptWork;
      order(Input, std::move(Close));
    }
    return;
  case MemberState::Closing:
    return;
  }
}

void ReplicaPlanner::reviewHeadless(const ReplicaPlannerInput &Input,
                                    const ReplicaGroup &Group) {
  const auto Last = m_LastHeads.find(Group.m_Key);
  if (Last != m_LastHeads.end()) {
    // A head that is listed outside the group, or said that it left, does not
    // serve for it any more.
    const bool HasLeft = Input.m_Fleet->find(Last->second.m_Id) ||
                         m_ReleasedHeads.count(Group.m_Key) != 0;
    if (HasLeft) {
      disband(Input, Group, false);
      return;
    }
    MemberOrder Leave;
    Leave.m_Kind = OrderKind::Leave;
    Leave.m_Server = Last->second.m_Id;
    Leave.m_Group = Group.m_Key;
    Leave.m_LastEndpoint = Last->second.m_Endpoint;
    order(Input, std::move(Leave));
  }
  // The entries of the members may arrive before that of the head, and a head
  // that was only cut off from the store may still answer.
  const MonotonicTime Since =
      m_HeadMissingSince.emplace(Group.m_Key, Input.m_Now).first->second;
  if (Input.m_Now - Since > m_Settings.m_JoinAnswerWait)
    disband(Input, Group, true);
}

void ReplicaPlanner::onLeft(const MemberOrder &Order) {
  const auto Head = m_LastHeads.find(Order.m_Group);
  if (Head == m_LastHeads.end() || Head->second.m_Id != Order.m_Server)
    return;
  m_ReleasedHeads.insert(Order.m_Group);
  for (const auto &[Server, Last] : m_LastGroup)
    if (Last == Order.m_Group)
      m_QuarantinedUntil.erase(Server);
}

void ReplicaPlanner::reviewUnopened(const ReplicaPlannerInput &Input,
                                    const ReplicaGroup &Group,
                                    const ModelSpec &Model) {
  const auto Formed = m_Formations.find(Group.m_Key);
  const MonotonicTime GiveUpAt = Formed != m_Formations.end()
                                     ? Formed->second.m_GiveUpAt
                                     : m_FirstSeen[Group.m_Key] +
                                           Model.m_LoadTime +
                                           m_Settings.m_ReportMargin;
  const bool Complete = isComplete(Input, Group, Model);
  const bool AllReady =
      Complete &&
      std::all_of(Group.m_Members.begin(), Group.m_Members.end(),
                  [&](const std::string &Id) {
                    return Input.m_Fleet->find(Id)->m_Membership->m_State ==
                           MemberState::Ready;
                  });
  if (AllReady) {
    MemberOrder Open;
    Open.m_Kind = OrderKind::Open;
    Open.m_Server = Group.m_Head->m_Id;
    Open.m_Group = Group.m_Key;
    order(Input, std::move(Open));
    return;
  }
  // Members report one after the other, so a short formation may still grow.
  const bool StillJoining =
      !Complete &&
      Input.m_Now - m_FirstSeen[Group.m_Key] <= m_Settings.m_ReportMargin &&
      !losesOnlyToDrain(Input, Group, Model);
  if ((StillJoining || Complete) && Input.m_Now < GiveUpAt)
    return;
  disband(Input, Group, false);
}

void ReplicaPlanner::disband(const ReplicaPlannerInput &Input,
                             const ReplicaGroup &Group, bool HeadUnknown) {
  for (const std::string &Id : Group.m_Members) {
    if (Id.empty() || Input.m_Unreachable.count(Id) != 0)
      continue;
    if (HeadUnknown)
      m_QuarantinedUntil[Id] =
          Input.m_Now + m_Settings.m_StallTime + m_Settings.m_ReportMargin;
    MemberOrder Leave;
    Leave.m_HeadLost = HeadUnknown;
    Leave.m_Kind = OrderKind::Leave;
    Leave.m_Server = Id;
    Leave.m_Group = Group.m_Key;
    order(Input, std::move(Leave));
  }
}

void ReplicaPlanner::order(const ReplicaPlannerInput &Input,
                           MemberOrder Order) {
  Pending &Last = m_Pending[Order.m_Server];
  if (Last.m_RepeatAt > Input.m_Now && Last.m_Kind == Order.m_Kind &&
      Last.m_Group == Order.m_Group)
    return;
  Last = {Order.m_Kind, Order.m_Group, Input.m_Now + m_Settings.m_OrderRepeat};
  m_Orders.push_back(std::move(Order));
}

bool ReplicaPlanner::isFree(const ReplicaPlannerInput &Input,
                            const BackendServer &Server) const {
  const std::string &Id = Server.m_Id;
  if (Server.m_Service != Input.m_Service->m_Name || Server.m_Membership ||
      Server.m_Domain.empty() || !Input.m_Fleet->takesWork(Server) ||
      Input.m_Unreachable.count(Id) != 0 || m_QuarantinedUntil.count(Id) != 0)
    return false;
  const auto LastOrder = m_Pending.find(Id);
  if (LastOrder != m_Pending.end() &&
      LastOrder->second.m_RepeatAt > Input.m_Now &&
      LastOrder->second.m_Kind == OrderKind::Join)
    return false;
  const auto Last = m_LastGroup.find(Id);
  if (Last == m_LastGroup.end())
    return true;
  // The head of the last group may still serve in the name of this server.
  const auto Group = m_Groups.find(Last->second);
  if (Group == m_Groups.end() || !Group->second.m_Head)
    return true;
  const MemberState State = Group->second.m_Head->m_Membership->m_State;
  return State != MemberState::Open && State != MemberState::Closing;
}

std::map<std::string, std::vector<const BackendServer *>>
ReplicaPlanner::freeByDomain(const ReplicaPlannerInput &Input) const {
  std::map<std::string, std::vector<const BackendServer *>> Free;
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (isFree(Input, Server))
      Free[Server.m_Domain].push_back(&Server);
  return Free;
}

ReplicaPlanner::Candidate ReplicaPlanner::candidateFor(
    const ModelSpec &Model,
    const std::vector<const BackendServer *> &Free) const {
  Candidate Result;
  if (Free.size() < Model.m_GroupSize)
    return Result;
  Result.m_Model = &Model;
  Result.m_Members = Free;
  std::stable_sort(Result.m_Members.begin(), Result.m_Members.end(),
                   [&](const BackendServer *Left, const BackendServer *Right) {
                     return Left->hasStaged(Model.m_Name) >
                            Right->hasStaged(Model.m_Name);
                   });
  Result.m_Members.resize(Model.m_GroupSize);
  for (const BackendServer *Member : Result.m_Members)
    Result.m_Loads += Member->hasStaged(Model.m_Name) ? 0 : 1;
  return Result;
}

std::size_t
ReplicaPlanner::loadsInProgress(const ReplicaPlannerInput &Input) const {
  std::size_t Count = m_Staging.size();
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (Server.m_Membership &&
        Server.m_Membership->m_State == MemberState::Joining &&
        !Server.hasStaged(modelOfGroup(Server.m_Membership->m_Group.m_Name)))
      ++Count;
  for (const auto &[Key, Formed] : m_Formations)
    if (m_Groups.count(Key) == 0)
      Count += Formed.m_Members.size();
  return Count;
}

bool ReplicaPlanner::mayLoad(const ReplicaPlannerInput &Input) const {
  if (!Input.m_TrafficSeen && m_HoldingShare >= m_Settings.m_OrderlyLoadShare)
    return true;
  return loadsInProgress(Input) < Input.m_Service->m_Engine.m_ConcurrentLoads;
}

void ReplicaPlanner::formGroups(const ReplicaPlannerInput &Input) {
  while (formOne(Input)) {
  }
}

bool ReplicaPlanner::formOne(const ReplicaPlannerInput &Input) {
  const auto Free = freeByDomain(Input);
  for (const ModelSpec *Model : modelsByNeed(Input)) {
    Candidate Best;
    std::size_t BestGroups = 0;
    for (const auto &[Domain, Servers] : Free) {
      const Candidate Found = candidateFor(*Model, Servers);
      if (!Found.m_Model)
        continue;
      // After the first request a load takes longer than any other way to
      // replace a group, so only staged servers join.
      if (Input.m_TrafficSeen && Found.m_Loads > 0)
        continue;
      if (Found.m_Loads > 0 && (!mayLoad(Input) || !mayLoadFor(*Model, Domain)))
        continue;
      std::size_t Same = 0;
      for (const auto &[Key, Group] : m_Groups)
        Same += Group.m_Domain == Domain && Group.m_Model == Model->m_Name;
      for (const auto &[Key, Formed] : m_Formations)
        if (m_Groups.count(Key) == 0 && Formed.m_Model == Model->m_Name)
          Same +=
              Input.m_Fleet->find(Formed.m_Members.front()) &&
              Input.m_Fleet->find(Formed.m_Members.front())->m_Domain == Domain;
      // Groups of one model are spread over the domains.
      if (!Best.m_Model || Same < BestGroups ||
          (Same == BestGroups && Found.m_Loads < Best.m_Loads)) {
        Best = Found;
        BestGroups = Same;
      }
    }
    if (Best.m_Model) {
      form(Input, Best);
      return true;
    }
  }
  return false;
}

void ReplicaPlanner::form(const ReplicaPlannerInput &Input,
                          const Candidate &Chosen) {
  const std::uint64_t Number = m_NextNumber++;
  MemberOrder Join;
  Join.m_Kind = OrderKind::Join;
  Join.m_Model = Chosen.m_Model->m_Name;
  Join.m_Group.m_Epoch = m_LeaseEpoch * EpochsPerHolder + Number;
  Join.m_Group.m_Name = concat(Join.m_Model, ".", m_LeaseEpoch, ".", Number);
  for (const BackendServer *Member : Chosen.m_Members)
    Join.m_Members.push_back(Member->m_Id);
  const Duration Expected = Chosen.m_Loads > 0 ? Chosen.m_Model->m_LoadTime
                                               : Chosen.m_Model->m_WarmLoadTime;
  m_Formations[Join.m_Group] = {Join.m_Model, Join.m_Members,
                                Input.m_Now + Expected * 2 +
                                    m_Settings.m_ReportMargin};
  for (const BackendServer *Member : Chosen.m_Members) {
    Join.m_Server = Member->m_Id;
    order(Input, Join);
  }
}

void ReplicaPlanner::onJoinFailed(const MemberOrder &Order, MonotonicTime Now) {
  const auto Formed = m_Formations.find(Order.m_Group);
  if (Formed != m_Formations.end())
    Formed->second.m_GiveUpAt = Now;
  m_Pending[Order.m_Server] = {OrderKind::Join, Order.m_Group,
                               Now + m_Settings.m_JoinAnswerWait};
}

} // namespace fulmarwinch
