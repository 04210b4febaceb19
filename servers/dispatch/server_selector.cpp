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
  keepLowestCosts(Candidates);
  // Choose the less loaded of two random candidates. If each node chose the
  // least loaded server, nodes with the same view would all send to that server
  // until their views are updated.
  const std::size_t CandidateCount = Candidates.size();
  const double ScaledDraw =
      Query.m_RandomDraw * static_cast<double>(CandidateCount);
  const auto First = static_cast<std::size_t>(ScaledDraw) % CandidateCount;
  const double Fraction = ScaledDraw - static_cast<double>(First);
  const double ScaledFraction =
      Fraction * static_cast<double>(CandidateCount - 1);
  const auto Offset = static_cast<std::size_t>(ScaledFraction);
  const std::size_t Second =
      CandidateCount == 1
          ? First
          : (First + 1 + Offset % (CandidateCount - 1)) % CandidateCount;
  const bool IsProbe = ScaledFraction - static_cast<double>(Offset) >=
                       1.0 - m_Settings.m_ProbeShare;
  const auto Fullness = [&](const Candidate &Each) {
    return IsProbe ? Each.m_SlotUsage : Each.m_Fullness;
  };
  const Candidate &Best =
      Fullness(Candidates[First]) <= Fullness(Candidates[Second])
          ? Candidates[First]
          : Candidates[Second];
  m_ChosenEstimate = Best.m_Estimate;
  const BackendServer &Chosen = *Best.m_Server;
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
  m_PassedOverForTokens = 0;
  const double NodesWithoutReport = nodesWithoutReport(Query.m_Now);
  const std::vector<const BackendServer *> &Eligible =
      m_EligibleServers.find(Fleet, *Query.m_Service, Query.m_Model);
  Candidates.reserve(Eligible.size());
  const double CommonSlowness = commonSlowness(Eligible, Query.m_Now);
  const PlacementEstimator Estimator(*Query.m_Service, Query.m_Model,
                                     Query.m_Request);
  for (const BackendServer *Each : Eligible) {
    const BackendServer &Server = *Each;
    if (Query.m_TriedServers.count(Server.m_Id) != 0)
      continue;
    const Unavailability Reason =
        m_Availability.check(Fleet, Server, Query.m_Now);
    ++m_PassedOver[static_cast<std::size_t>(Reason)];
    if (isOutOfService(Reason))
      continue;
    if (Reason == Unavailability::PauseRequested ||
        Reason == Unavailability::RateLimited) {
      recordHeldBack(Server, Reason, Query.m_Now);
      continue;
    }
    const OtherRequests Others{
        static_cast<double>(m_PeerLoad.inFlight(Server.m_Id)),
        NodesWithoutReport};
    const double InFlight = inFlight(Server, Others);
    const unsigned Slots = slotsOf(Server, *Query.m_Service);
    const double SlotUsage = InFlight / Slots;
    const double Slowness = relativeSlowness(Server, CommonSlowness);
    if (SlotUsage * Slowness >=
            std::min(m_Settings.m_MaxSlotUsage, Query.m_MaxSlotUsage) ||
        Reason == Unavailability::BackedOff ||
        Reason == Unavailability::Resuming) {
      m_NoServerReason = NoServerReason::AllFull;
      continue;
    }
    if (!fitsTokens(Server, Query, Others)) {
      ++m_PassedOverForTokens;
      m_NoServerReason = NoServerReason::AllFull;
      continue;
    }
    if (!allowsColdRequest(Fleet, Query, Server)) {
      m_NoServerReason = NoServerReason::AllCold;
      continue;
    }
    Candidates.push_back(
        {&Server, SlotUsage, (InFlight + 1.0) / Slots * Slowness,
         estimate(Estimator, Server.m_Id, InFlight, Slowness, Query.m_Now)});
  }
  return Candidates;
}

double ServerSelector::relativeSlowness(const BackendServer &Server,
                                        double CommonSlowness) const {
  return estimatesPlacement()
             ? std::max(1.0, m_Speed.slowness(Server) / CommonSlowness)
             : 1.0;
}

bool ServerSelector::fitsTokens(const BackendServer &Server,
                                const ServerQuery &Query,
                                const OtherRequests &Others) const {
  return !estimatesPlacement() ||
         m_HeldTokens.fits(Query.m_Service->m_Engine.m_KvCapacityTokens,
                           Server.m_Id, Query.m_Model, Others,
                           Query.m_Request.tokens());
}

PlacementEstimate ServerSelector::estimate(const PlacementEstimator &Estimator,
                                           const std::string &Server,
                                           double InFlight, double Slowness,
                                           MonotonicTime Now) const {
  const Duration Backlog = m_Backlog.remainingPrefillTime(Server, Now);
  PlacementEstimate Result = Estimator.estimate({InFlight, Backlog, Slowness});
  if (!estimatesPlacement())
    Result.m_Cost = Backlog;
  return Result;
}

void ServerSelector::recordHeldBack(const BackendServer &Server,
                                    Unavailability Reason, MonotonicTime Now) {
  m_NextRequestAt =
      std::min(m_NextRequestAt, m_Availability.nextRequestAt(Server, Now));
  m_NoServerReason =
      std::max(m_NoServerReason, Reason == Unavailability::PauseRequested
                                     ? NoServerReason::AllPaused
                                     : NoServerReason::AllRateLimited);
}

std::string ServerSelector::passedOver() const {
  std::string Result;
  for (const EnumName<Unavailability> &Entry : UnavailabilityNames) {
    const unsigned Count =
        m_PassedOver[static_cast<std::size_t>(Entry.m_Value)];
    if (Entry.m_Value != Unavailability::None && Count > 0)
      append(Result, Result.empty() ? "" : " ", Entry.m_Name, ":", Count);
  }
  if (m_PassedOverForTokens > 0)
    append(Result, Result.empty() ? "" : " ", "tokens:", m_PassedOverForTokens);
  return Result;
}

GroupSupply ServerSelector::groupSupply(const FleetView &Fleet,
                                        const ServerQuery &Query) const {
  GroupSupply Result;
  const double NodesWithoutReport = nodesWithoutReport(Query.m_Now);
  for (const BackendServer *Server :
       m_EligibleServers.find(Fleet, *Query.m_Service, Query.m_Model)) {
    if (Query.m_TriedServers.count(Server->m_Id) != 0 ||
        isOutOfService(m_Availability.check(Fleet, *Server, Query.m_Now)))
      continue;
    ++Result.m_Groups;
    const OtherRequests Others{
        static_cast<double>(m_PeerLoad.inFlight(Server->m_Id)),
        NodesWithoutReport};
    Result.m_MeanSlotUsage +=
        inFlight(*Server, Others) / slotsOf(*Server, *Query.m_Service);
  }
  if (Result.m_Groups > 0)
    Result.m_MeanSlotUsage /= static_cast<double>(Result.m_Groups);
  if (!m_Nodes.empty())
    Result.m_CountedNodeShare =
        std::min(1.0, (1.0 + static_cast<double>(m_PeerLoad.reportCount()) +
                       NodesWithoutReport) /
                          static_cast<double>(m_Nodes.size()));
  return Result;
}

/// The cost takes precedence over the slot usage: a long prompt delays every
/// stream of its batch, and delays the next prompt even more.
void ServerSelector::keepLowestCosts(std::vector<Candidate> &Candidates) const {
  const Duration Lowest =
      std::min_element(Candidates.begin(), Candidates.end(),
                       [](const Candidate &Left, const Candidate &Right) {
                         return Left.m_Estimate.m_Cost <
                                Right.m_Estimate.m_Cost;
                       })
          ->m_Estimate.m_Cost;
  Candidates.erase(std::remove_if(Candidates.begin(), Candidates.end(),
                                  [&](const Candidate &Other) {
                                    return Other.m_Estimate.m_Cost >
                                           Lowest + m_Settings.m_CostTolerance;
                                  }),
                   Candidates.end());
}

double ServerSelector::commonSlowness(
    const std::vector<const BackendServer *> &Servers, MonotonicTime Now) {
  m_Speed.refresh(Now);
  if (Servers.empty() || m_Speed.slowServerCount() * 2 <= Servers.size())
    return 1.0;
  std::vector<double> Values;
  Values.reserve(Servers.size());
  for (const BackendServer *Server : Servers)
    Values.push_back(m_Speed.slowness(*Server));
  // With an even number the lower one of the middle, so that one of two servers
  // can be slow.
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

double ServerSelector::nodesWithoutReport(MonotonicTime Now) const {
  return static_cast<double>(std::count_if(
      m_NoReportSince.begin(), m_NoReportSince.end(), [&](const auto &Entry) {
        return Now - Entry.second < m_Settings.m_MissingReportGrace;
      }));
}

double ServerSelector::inFlight(const BackendServer &Server,
                                const OtherRequests &Others) const {
  return ownInFlight(Server.m_Id) * (1.0 + Others.m_UnknownNodes) +
         Others.m_Reported;
}

unsigned ServerSelector::slotsOf(const BackendServer &Server,
                                 const ServiceSpec &Service) {
  return Service.hasReplicaGroups() ? Service.m_Engine.m_Slots
                                    : std::max(1U, Server.m_Slots);
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

void ServerSelector::onDispatched(const std::string &Server, MonotonicTime Now,
                                  const std::string &Model,
                                  std::uint64_t Tokens) {
  ++m_OwnInFlight[Server];
  m_HeldTokens.onDispatched(Server, Model, Tokens);
  m_LastDispatch[Server] = Now;
  m_Availability.onDispatched(Server, Now);
}

void ServerSelector::onRequestEnded(const std::string &Server,
                                    std::uint64_t Tokens) {
  m_HeldTokens.onEnded(Server, Tokens);
  const auto Load = m_OwnInFlight.find(Server);
  if (Load == m_OwnInFlight.end())
    return;
  if (--Load->second == 0)
    m_OwnInFlight.erase(Load);
}

void ServerSelector::setPeerInFlight(const std::string &Peer,
                                     PeerLoad::Report Load) {
  const bool IsNew = m_PeerLoad.setReport(Peer, std::move(Load));
  m_NoReportSince.erase(Peer);
  if (IsNew)
    updateLiveNodes();
}

void ServerSelector::onPeerReportsStopped(const std::string &Peer,
                                          MonotonicTime Now) {
  m_PeerLoad.removeReport(Peer);
  m_Speed.removePeer(Peer);
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
    if (Node == m_OwnNode || m_PeerLoad.hasReport(Node))
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
    if (Node == m_OwnNode || m_PeerLoad.hasReport(Node))
      LiveNodes.push_back(Node);
  m_Availability.rateLimits().setNodes(m_OwnNode, m_Nodes.size(),
                                       std::move(LiveNodes));
}

unsigned ServerSelector::ownInFlight(const std::string &Server) const {
  const auto Load = m_OwnInFlight.find(Server);
  return Load == m_OwnInFlight.end() ? 0 : Load->second;
}

} // namespace fulmarwinch
