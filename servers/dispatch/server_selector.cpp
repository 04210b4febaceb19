#include "servers/dispatch/server_selector.h"
#include "core/rendezvous.h"
#include "core/text.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// True if the server is not expected back within the time for which a request
/// may wait for a server.
bool isOutOfService(Unavailability Reason) {
  return Reason == Unavailability::Draining ||
         Reason == Unavailability::Evacuated ||
         Reason == Unavailability::Suspected;
}

} // namespace

ServerSelector::ServerSelector(const SelectorSettings &Settings,
                               const AvailabilitySettings &Availability)
    : m_Settings(Settings), m_Availability(Availability) {}

std::optional<ChosenServer> ServerSelector::choose(const FleetView &Fleet,
                                                   const ServerQuery &Query) {
  std::vector<Candidate> Candidates = findCandidates(Fleet, Query);
  if (Candidates.empty())
    return std::nullopt;
  m_NoServerReason = NoServerReason::None;
  keepShortestPrefillBacklogs(Candidates);
  // Choose the less loaded of two random candidates. If each node chose the
  // least loaded server, nodes with the same view would all send to that server
  // until their views are updated.
  const std::size_t CandidateCount = Candidates.size();
  const double ScaledDraw =
      Query.m_RandomDraw * static_cast<double>(CandidateCount);
  const auto First = static_cast<std::size_t>(ScaledDraw) % CandidateCount;
  const double Fraction = ScaledDraw - static_cast<double>(First);
  const std::size_t Second =
      CandidateCount == 1
          ? First
          : (First + 1 +
             static_cast<std::size_t>(Fraction *
                                      static_cast<double>(CandidateCount - 1)) %
                 (CandidateCount - 1)) %
                CandidateCount;
  const BackendServer &Chosen =
      Candidates[First].m_SlotUsage <= Candidates[Second].m_SlotUsage
          ? *Candidates[First].m_Server
          : *Candidates[Second].m_Server;
  ChosenServer Result{Chosen.m_Id, Chosen.m_StartedAtMs, Chosen.m_Endpoint,
                      Chosen.m_Zone, std::nullopt};
  if (Chosen.m_Membership)
    Result.m_Group = Chosen.m_Membership->m_Group;
  return Result;
}

std::vector<ServerSelector::Candidate>
ServerSelector::findCandidates(const FleetView &Fleet,
                               const ServerQuery &Query) {
  std::vector<Candidate> Candidates;
  m_NoServerReason = NoServerReason::NoneEligible;
  m_NextRequestAt = MonotonicTime::max();
  m_PassedOver.fill(0);
  for (const auto &[Id, Server] : Fleet.servers()) {
    if (!isEligible(Fleet, Query, Server))
      continue;
    const Unavailability Reason =
        m_Availability.check(Fleet, Server, Query.m_Now);
    ++m_PassedOver[static_cast<std::size_t>(Reason)];
    if (isOutOfService(Reason))
      continue;
    if (Reason == Unavailability::PauseRequested ||
        Reason == Unavailability::RateLimited) {
      m_NextRequestAt = std::min(
          m_NextRequestAt, m_Availability.nextRequestAt(Server, Query.m_Now));
      m_NoServerReason =
          std::max(m_NoServerReason, Reason == Unavailability::PauseRequested
                                         ? NoServerReason::AllPaused
                                         : NoServerReason::AllRateLimited);
      continue;
    }
    const double SlotUsage = slotUsage(Server, Query);
    if (SlotUsage >= m_Settings.m_MaxSlotUsage ||
        Reason == Unavailability::BackedOff ||
        Reason == Unavailability::Resuming) {
      m_NoServerReason = NoServerReason::AllFull;
      continue;
    }
    if (!allowsColdRequest(Fleet, Query, Server)) {
      m_NoServerReason = NoServerReason::AllCold;
      continue;
    }
    Candidates.push_back(
        {&Server, SlotUsage, m_Backlog.remainingPrefillTime(Id, Query.m_Now)});
  }
  return Candidates;
}

std::string ServerSelector::passedOver() const {
  std::string Result;
  for (const EnumName<Unavailability> &Entry : UnavailabilityNames) {
    const unsigned Count =
        m_PassedOver[static_cast<std::size_t>(Entry.m_Value)];
    if (Entry.m_Value != Unavailability::None && Count > 0)
      append(Result, Result.empty() ? "" : " ", Entry.m_Name, ":", Count);
  }
  return Result;
}

GroupSupply ServerSelector::groupSupply(const FleetView &Fleet,
                                        const ServerQuery &Query) const {
  GroupSupply Result;
  const auto Add = [&](const BackendServer &Server) {
    if (!isEligible(Fleet, Query, Server) ||
        isOutOfService(m_Availability.check(Fleet, Server, Query.m_Now)))
      return;
    ++Result.m_Groups;
    Result.m_MeanSlotUsage += slotUsage(Server, Query);
  };
  if (Query.m_Service->hasReplicaGroups()) {
    for (const auto &[Key, Group] : Fleet.groups())
      if (Group.m_Model == Query.m_Model && Group.m_Head)
        Add(*Group.m_Head);
  } else {
    for (const auto &[Id, Server] : Fleet.servers())
      if (Server.m_Service == Query.m_Service->m_Name)
        Add(Server);
  }
  if (Result.m_Groups > 0)
    Result.m_MeanSlotUsage /= static_cast<double>(Result.m_Groups);
  if (!m_Nodes.empty())
    Result.m_CountedNodeShare =
        std::min(1.0, static_cast<double>(1 + m_PeerInFlight.size() +
                                          nodesWithoutReport(Query.m_Now)) /
                          static_cast<double>(m_Nodes.size()));
  return Result;
}

/// The prefill backlog takes precedence over the slot usage: a long prompt
/// delays every stream of its batch, and delays the next prompt even more.
void ServerSelector::keepShortestPrefillBacklogs(
    std::vector<Candidate> &Candidates) const {
  const Duration Shortest =
      std::min_element(Candidates.begin(), Candidates.end(),
                       [](const Candidate &Left, const Candidate &Right) {
                         return Left.m_Backlog < Right.m_Backlog;
                       })
          ->m_Backlog;
  Candidates.erase(std::remove_if(Candidates.begin(), Candidates.end(),
                                  [&](const Candidate &Other) {
                                    return Other.m_Backlog >
                                           Shortest +
                                               m_Settings.m_BacklogTolerance;
                                  }),
                   Candidates.end());
}

bool ServerSelector::isEligible(const FleetView &Fleet,
                                const ServerQuery &Query,
                                const BackendServer &Server) const {
  if (Server.m_Service != Query.m_Service->m_Name ||
      Query.m_TriedServers.count(Server.m_Id) != 0)
    return false;
  if (!Query.m_Service->hasReplicaGroups())
    return true;
  if (!Server.m_Membership || Server.m_Membership->m_Rank != 0 ||
      Server.m_Membership->m_State != GroupMemberState::Open)
    return false;
  const ReplicaGroup &Group = Fleet.groups().at(Server.m_Membership->m_Group);
  if (Group.m_Model != Query.m_Model)
    return false;
  // The head of a group that has lost a member still accepts requests, but its
  // streams stall.
  const ModelSpec *Model = Query.m_Service->m_Engine.findModel(Group.m_Model);
  if (!Model)
    return false;
  // A member that is only partitioned from the store continues to work, so
  // members without a store entry count. The lease holder probes them and
  // closes the group if one does not respond.
  std::size_t MemberCount = Fleet.membersWithoutEntry(Group.m_Key).size();
  for (const std::string &Id : Group.m_Members) {
    const BackendServer *Member = Fleet.find(Id);
    if (Member && Member->m_Draining)
      return false;
    MemberCount += Member ? 1 : 0;
  }
  return MemberCount == Model->m_GroupSize;
}

double ServerSelector::slotUsage(const BackendServer &Server,
                                 const ServerQuery &Query) const {
  const ServiceSpec &Service = *Query.m_Service;
  const unsigned Slots = Service.hasReplicaGroups()
                             ? Service.m_Engine.m_Slots
                             : std::max(1U, Server.m_Slots);
  const double OwnInFlight = ownInFlight(Server.m_Id);
  double PeerInFlight = 0.0;
  for (const auto &[Peer, InFlight] : m_PeerInFlight) {
    const auto Entry = InFlight.find(Server.m_Id);
    PeerInFlight += Entry == InFlight.end() ? 0.0 : Entry->second;
  }
  const auto NodesWithoutReport =
      static_cast<double>(nodesWithoutReport(Query.m_Now));
  return (OwnInFlight * (1.0 + NodesWithoutReport) + PeerInFlight) / Slots;
}

std::size_t ServerSelector::nodesWithoutReport(MonotonicTime Now) const {
  return static_cast<std::size_t>(std::count_if(
      m_NoReportSince.begin(), m_NoReportSince.end(), [&](const auto &Entry) {
        return Now - Entry.second < m_Settings.m_MissingReportGrace;
      }));
}

bool ServerSelector::allowsColdRequest(const FleetView &Fleet,
                                       const ServerQuery &Query,
                                       const BackendServer &Server) const {
  if (Query.m_Service->m_MaxColdRequestsPerSecond <= 0.0 ||
      Fleet.remainingColdTime(Server.m_Id, Query.m_Now) == Duration::zero())
    return true;
  // Only a few nodes may send to a cold server. If its rate were divided among
  // all nodes, each share would be below one request per second, and all nodes
  // could use their shares in the same second.
  const double Rate = Query.m_Service->m_MaxColdRequestsPerSecond;
  const auto MaxSenders = std::max<std::size_t>(
      1, static_cast<std::size_t>(Rate /
                                  m_Settings.m_ColdRequestsPerSecondPerNode));
  if (m_Nodes.size() > MaxSenders &&
      rendezvousRank(Server.m_Id, m_Nodes, m_OwnNode) >= MaxSenders)
    return false;
  const auto LastDispatch = m_LastDispatch.find(Server.m_Id);
  if (LastDispatch == m_LastDispatch.end())
    return true;
  const std::size_t SenderCount =
      std::max<std::size_t>(1, std::min(MaxSenders, m_Nodes.size()));
  const auto MinInterval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(SenderCount) / Rate));
  return Query.m_Now - LastDispatch->second >= MinInterval;
}

void ServerSelector::onDispatched(const std::string &Server,
                                  MonotonicTime Now) {
  ++m_OwnInFlight[Server];
  m_LastDispatch[Server] = Now;
  m_Availability.onDispatched(Server, Now);
}

void ServerSelector::onRequestEnded(const std::string &Server) {
  const auto Load = m_OwnInFlight.find(Server);
  if (Load == m_OwnInFlight.end())
    return;
  if (--Load->second == 0)
    m_OwnInFlight.erase(Load);
}

void ServerSelector::setPeerInFlight(const std::string &Peer,
                                     std::map<std::string, unsigned> Load) {
  const auto [Known, IsNew] =
      m_PeerInFlight.insert_or_assign(Peer, std::move(Load));
  m_NoReportSince.erase(Peer);
  if (IsNew)
    updateLiveNodes();
}

void ServerSelector::onPeerReportsStopped(const std::string &Peer,
                                          MonotonicTime Now) {
  m_PeerInFlight.erase(Peer);
  m_NoReportSince.emplace(Peer, Now);
  updateLiveNodes();
}

void ServerSelector::setNodes(std::string OwnName,
                              std::vector<std::string> AllNames,
                              MonotonicTime Now) {
  m_OwnNode = std::move(OwnName);
  m_Nodes = std::move(AllNames);
  std::map<std::string, MonotonicTime> PreviousNoReportSince;
  PreviousNoReportSince.swap(m_NoReportSince);
  for (const std::string &Node : m_Nodes) {
    if (Node == m_OwnNode || m_PeerInFlight.count(Node) != 0)
      continue;
    const auto Known = PreviousNoReportSince.find(Node);
    m_NoReportSince[Node] =
        Known == PreviousNoReportSince.end() ? Now : Known->second;
  }
  updateLiveNodes();
}

void ServerSelector::updateLiveNodes() {
  std::vector<std::string> LiveNodes;
  for (const std::string &Node : m_Nodes)
    if (Node == m_OwnNode || m_PeerInFlight.count(Node) != 0)
      LiveNodes.push_back(Node);
  m_Availability.rateLimits().setNodes(m_OwnNode, m_Nodes.size(),
                                       std::move(LiveNodes));
}

unsigned ServerSelector::ownInFlight(const std::string &Server) const {
  const auto Load = m_OwnInFlight.find(Server);
  return Load == m_OwnInFlight.end() ? 0 : Load->second;
}

} // namespace fulmarwinch
