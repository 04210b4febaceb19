#include "servers/dispatch/server_selector.h"
#include "core/rendezvous.h"

#include <algorithm>

namespace fulmarwinch {

ServerSelector::ServerSelector(const SelectorSettings &Settings)
    : m_Settings(Settings) {}

std::optional<ChosenServer> ServerSelector::choose(const FleetView &Fleet,
                                                   const ServerQuery &Query) {
  std::vector<Rating> Rated;
  m_Reason = NoServerReason::NoneAlive;
  for (const auto &[Id, Server] : Fleet.servers()) {
    if (!fits(Fleet, Query, Server))
      continue;
    const auto Paused = m_PausedUntil.find(Id);
    const double Fill = fill(Server, Query);
    if (Fill >= m_Settings.m_MaxFill ||
        (Paused != m_PausedUntil.end() && Paused->second > Query.m_Now)) {
      m_Reason = NoServerReason::AllFull;
      continue;
    }
    if (!mayTakeCold(Fleet, Query, Server)) {
      m_Reason = NoServerReason::AllCold;
      continue;
    }
    Rated.push_back({&Server, Fill, m_Backlog.left(Id, Query.m_Now)});
  }
  if (Rated.empty())
    return std::nullopt;
  m_Reason = NoServerReason::None;
  keepShortestBacklogs(Rated);
  // The better one of two random candidates: nodes whose views agree would
  // otherwise all send to the same server until their views are renewed.
  const std::size_t Count = Rated.size();
  const double Place = Query.m_Draw * static_cast<double>(Count);
  const auto First = static_cast<std::size_t>(Place) % Count;
  const double Rest = Place - static_cast<double>(First);
  const std::size_t Second =
      Count == 1
          ? First
          : (First + 1 +
             static_cast<std::size_t>(Rest * static_cast<double>(Count - 1)) %
                 (Count - 1)) %
                Count;
  const BackendServer &Best = Rated[First].m_Fill <= Rated[Second].m_Fill
                                  ? *Rated[First].m_Server
                                  : *Rated[Second].m_Server;
  ChosenServer Result{Best.m_Id, Best.m_StartedAtMs, Best.m_Endpoint,
                      Best.m_Zone, std::nullopt};
  if (Best.m_Membership)
    Result.m_Group = Best.m_Membership->m_Group;
  return Result;
}

/// A long prompt delays every stream of its batch, and the next prompt most of
/// all, so the reading to be done goes before the number of streams.
void ServerSelector::keepShortestBacklogs(std::vector<Rating> &Rated) const {
  const Duration Least =
      std::min_element(Rated.begin(), Rated.end(),
                       [](const Rating &Left, const Rating &Right) {
                         return Left.m_Backlog < Right.m_Backlog;
                       })
          ->m_Backlog;
  Rated.erase(std::remove_if(Rated.begin(), Rated.end(),
                             [&](const Rating &Each) {
                               return Each.m_Backlog >
                                      Least + m_Settings.m_SameBacklog;
                             }),
              Rated.end());
}

bool ServerSelector::fits(const FleetView &Fleet, const ServerQuery &Query,
                          const BackendServer &Server) const {
  if (Server.m_Service != Query.m_Service->m_Name ||
      Query.m_Tried.count(Server.m_Id) != 0 || !Fleet.takesWork(Server) ||
      isSuspected(Server, Query.m_Now))
    return false;
  if (!Query.m_Service->hasGroups())
    return true;
  if (!Server.m_Membership || Server.m_Membership->m_Rank != 0 ||
      Server.m_Membership->m_State != MemberState::Open)
    return false;
  const ReplicaGroup &Group = Fleet.groups().at(Server.m_Membership->m_Group);
  if (Group.m_Model != Query.m_Model)
    return false;
  // A head goes on accepting requests when a member has gone, and stalls.
  const ModelSpec *Model = Query.m_Service->m_Engine.findModel(Group.m_Model);
  if (!Model)
    return false;
  // A member that is only cut off from the store works on. The lease holder
  // asks it and closes the group if it does not answer.
  std::size_t Members = Fleet.unlistedMembers(Group.m_Key).size();
  for (const std::string &Id : Group.m_Members) {
    const BackendServer *Member = Fleet.find(Id);
    if (Member && Member->m_Draining)
      return false;
    Members += Member ? 1 : 0;
  }
  return Members == Model->m_GroupSize;
}

double ServerSelector::fill(const BackendServer &Server,
                            const ServerQuery &Query) const {
  const ServiceSpec &Service = *Query.m_Service;
  const unsigned Slots = Service.hasGroups() ? Service.m_Engine.m_Slots
                                             : std::max(1U, Server.m_Slots);
  const double Own = ownLoad(Server.m_Id);
  double Others = 0.0;
  for (const auto &[Peer, Load] : m_PeerLoads) {
    const auto Entry = Load.find(Server.m_Id);
    Others += Entry == Load.end() ? 0.0 : Entry->second;
  }
  const auto Unheard = static_cast<double>(std::count_if(
      m_UnheardSince.begin(), m_UnheardSince.end(), [&](const auto &Entry) {
        return Query.m_Now - Entry.second < m_Settings.m_UnheardCounts;
      }));
  return (Own * (1.0 + Unheard) + Others) / Slots;
}

bool ServerSelector::mayTakeCold(const FleetView &Fleet,
                                 const ServerQuery &Query,
                                 const BackendServer &Server) const {
  if (Query.m_Service->m_ColdRequestsPerSecond <= 0.0 ||
      Fleet.coldFor(Server.m_Id, Query.m_Now) == Duration::zero())
    return true;
  // A few nodes share the server. If each of all nodes had a share, the shares
  // would be below one request a second, and the nodes could use them in the
  // same second.
  const double Rate = Query.m_Service->m_ColdRequestsPerSecond;
  const auto Sharers = std::max<std::size_t>(
      1, static_cast<std::size_t>(Rate / m_Settings.m_ColdPerNode));
  if (m_Nodes.size() > Sharers &&
      rendezvousRank(Server.m_Id, m_Nodes, m_Node) >= Sharers)
    return false;
  const auto Last = m_LastDispatch.find(Server.m_Id);
  if (Last == m_LastDispatch.end())
    return true;
  const std::size_t Users =
      std::max<std::size_t>(1, std::min(Sharers, m_Nodes.size()));
  const auto Spacing = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Users) / Rate));
  return Query.m_Now - Last->second >= Spacing;
}

void ServerSelector::onDispatched(const std::string &Server,
                                  MonotonicTime Now) {
  ++m_Own[Server];
  m_LastDispatch[Server] = Now;
}

void ServerSelector::onEnded(const std::string &Server) {
  const auto Load = m_Own.find(Server);
  if (Load == m_Own.end())
    return;
  if (--Load->second == 0)
    m_Own.erase(Load);
}

void ServerSelector::onFull(const std::string &Server, MonotonicTime Now) {
  m_PausedUntil[Server] = Now + m_Settings.m_FullPause;
}

void ServerSelector::onUnreachable(const std::string &Server,
                                   MonotonicTime Now) {
  constexpr unsigned MaxDoublings = 4;
  const unsigned Failures = std::min(MaxDoublings, m_ConnectFailures[Server]++);
  m_PausedUntil[Server] =
      Now + m_Settings.m_UnreachablePause * (1U << Failures);
}

void ServerSelector::onSuspected(const std::string &Server,
                                 const std::optional<GroupKey> &Group,
                                 MonotonicTime Now) {
  m_Suspicions[Server] = {Group, Now + m_Settings.m_SuspectPause};
}

void ServerSelector::onAnswered(const std::string &Server) {
  m_ConnectFailures.erase(Server);
  m_Suspicions.erase(Server);
}

void ServerSelector::setPeerLoad(const std::string &Peer,
                                 std::map<std::string, unsigned> Load) {
  m_PeerLoads[Peer] = std::move(Load);
  m_UnheardSince.erase(Peer);
}

void ServerSelector::forgetPeer(const std::string &Peer, MonotonicTime Now) {
  m_PeerLoads.erase(Peer);
  m_UnheardSince.emplace(Peer, Now);
}

void ServerSelector::setNodes(std::string Own, std::vector<std::string> All,
                              MonotonicTime Now) {
  m_Node = std::move(Own);
  m_Nodes = std::move(All);
  std::map<std::string, MonotonicTime> Before;
  Before.swap(m_UnheardSince);
  for (const std::string &Node : m_Nodes) {
    if (Node == m_Node || m_PeerLoads.count(Node) != 0)
      continue;
    const auto Known = Before.find(Node);
    m_UnheardSince[Node] = Known == Before.end() ? Now : Known->second;
  }
}

bool ServerSelector::isSuspected(const BackendServer &Server,
                                 MonotonicTime Now) const {
  return isSuspected(Server.m_Id,
                     Server.m_Membership
                         ? std::optional<GroupKey>(Server.m_Membership->m_Group)
                         : std::nullopt,
                     Now);
}

bool ServerSelector::isSuspected(const ChosenServer &Server,
                                 MonotonicTime Now) const {
  return isSuspected(Server.m_Id, Server.m_Group, Now);
}

bool ServerSelector::isSuspected(const std::string &Server,
                                 const std::optional<GroupKey> &Group,
                                 MonotonicTime Now) const {
  const auto Entry = m_Suspicions.find(Server);
  if (Entry == m_Suspicions.end() || Entry->second.m_Until <= Now)
    return false;
  // A new formation under the same head is not the one that stalled.
  const std::optional<GroupKey> &Suspect = Entry->second.m_Group;
  return !Suspect || !Group || *Group == *Suspect;
}

unsigned ServerSelector::ownLoad(const std::string &Server) const {
  const auto Load = m_Own.find(Server);
  return Load == m_Own.end() ? 0 : Load->second;
}

} // namespace fulmarwinch
