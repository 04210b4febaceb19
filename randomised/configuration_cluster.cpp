#include "randomised/configuration_cluster.h"

#include "fmt/format.h"
#include "xxhash.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr Duration PingInterval = std::chrono::milliseconds(500);
constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration PeerUpdateInterval = std::chrono::seconds(1);
/// Membership suspects a silent peer after 2 s and declares it dead 5 s later
/// (design page, 4.1).
constexpr Duration PeerDeadAfter = std::chrono::seconds(7);
constexpr Duration StoreTimeout = std::chrono::milliseconds(300);
/// Overhead of the websocket frame of each message.
constexpr std::size_t FrameBytes = 8;
/// A node must not count as fresh while it misses a revision that was accepted
/// longer ago than this.
constexpr Duration FreshAgeLimit = std::chrono::milliseconds(2500);
/// A peer's report of a store outage counts for 3 s; the other 1 s covers its
/// delivery.
constexpr Duration OutageReportLimit = std::chrono::seconds(4);

} // namespace

ConfigurationCluster::ConfigurationCluster(ConfigurationClusterOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_Nodes(Options.m_NodeCount) {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    m_Nodes[Index].m_Name = fmt::format("n{}", Index);
    m_Nodes[Index].m_Zone = fmt::format("z{}", Index % m_Options.m_ZoneCount);
  }
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    startNode(Index);
}

Duration ConfigurationCluster::randomMessageDelay() {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      m_Options.m_MinMessageDelay.count(),
      m_Options.m_MaxMessageDelay.count())(m_Random));
}

void ConfigurationCluster::scheduleAt(MonotonicTime Time,
                                      std::function<void()> Action) {
  m_Events.push({Time, ++m_LastSequenceNumber, std::move(Action)});
}

void ConfigurationCluster::scheduleOnNode(std::size_t Node, Duration Delay,
                                          std::function<void()> Action) {
  const std::uint64_t Incarnation = m_Nodes[Node].m_Incarnation;
  scheduleAt(m_Now + Delay,
             [this, Node, Incarnation, Action = std::move(Action)] {
               if (!isUp(Node) || m_Nodes[Node].m_Incarnation != Incarnation)
                 return;
               Action();
               checkInvariants(Node);
             });
}

void ConfigurationCluster::runFor(Duration Length) {
  const MonotonicTime End = m_Now + Length;
  while (!m_Events.empty() && m_Events.top().m_DueAt <= End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_DueAt;
    ++m_Usage.m_ExecutedEvents;
    Next.m_Action();
  }
  m_Now = End;
}

bool ConfigurationCluster::areConnected(std::size_t First,
                                        std::size_t Second) const {
  return isUp(First) && isUp(Second) &&
         m_Nodes[First].m_Partition == m_Nodes[Second].m_Partition;
}

bool ConfigurationCluster::isStoreReachable(std::size_t Node) const {
  return m_Nodes[Node].m_Partition == 0;
}

void ConfigurationCluster::setPartition(std::size_t Node, int Partition) {
  m_Nodes[Node].m_Partition = Partition;
  m_PartitionsChangedAt = m_Now;
}

void ConfigurationCluster::healPartitions() {
  for (Node &HealedNode : m_Nodes)
    HealedNode.m_Partition = 0;
  m_PartitionsChangedAt = m_Now;
}

void ConfigurationCluster::stopNode(std::size_t Node) {
  m_Nodes[Node].m_Replica.reset();
  m_Nodes[Node].m_Writers.clear();
}

void ConfigurationCluster::startNode(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  ConfigurationReplicaOptions Options;
  Options.m_Node = Self.m_Name;
  Options.m_Zone = Self.m_Zone;
  Options.m_WatchTimeout = m_Options.m_WatchTimeout;
  Options.m_Freshness.m_ExpectedZoneCount = m_Options.m_ZoneCount;
  Self.m_Replica = std::make_unique<ConfigurationReplica>(Options, m_Now);
  ++Self.m_Incarnation;
  Self.m_LastCheckedRevision = 0;
  Self.m_Writers.clear();
  Self.m_LastReachedAt.clear();
  Self.m_Peers.clear();
  Self.m_Neighbours.clear();
  // Timers of different nodes run with random phases, since processes do not
  // start at the same moment.
  const auto RandomPhase = [this](Duration Interval) {
    return Duration(
        1 + static_cast<Duration::rep>(
                m_Random() % static_cast<std::uint64_t>(Interval.count())));
  };
  scheduleOnNode(Node, Duration(1), [this, Node] { updatePeers(Node, true); });
  scheduleOnNode(Node, RandomPhase(TickInterval),
                 [this, Node] { tickNode(Node); });
  scheduleOnNode(Node, RandomPhase(PingInterval),
                 [this, Node] { pingNeighbours(Node); });
}

void ConfigurationCluster::chooseNeighbours(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  std::vector<std::size_t> SameZonePeers;
  std::vector<std::size_t> OtherZonePeers;
  for (const ConfigurationPeer &Peer : Self.m_Peers)
    if (Peer.m_IsAlive)
      (Peer.m_Zone == Self.m_Zone ? SameZonePeers : OtherZonePeers)
          .push_back(nodeIndex(Peer.m_Node));
  const auto IsNoLongerAlive = [&](std::size_t Index) {
    return std::count(SameZonePeers.begin(), SameZonePeers.end(), Index) +
               std::count(OtherZonePeers.begin(), OtherZonePeers.end(),
                          Index) ==
           0;
  };
  auto &Neighbours = Self.m_Neighbours;
  Neighbours.erase(
      std::remove_if(Neighbours.begin(), Neighbours.end(), IsNoLongerAlive),
      Neighbours.end());
  std::shuffle(SameZonePeers.begin(), SameZonePeers.end(), m_Random);
  std::shuffle(OtherZonePeers.begin(), OtherZonePeers.end(), m_Random);
  const auto AddNeighbours = [&](const std::vector<std::size_t> &Candidates,
                                 std::size_t Limit) {
    for (const std::size_t Index : Candidates)
      if (Neighbours.size() < Limit &&
          std::count(Neighbours.begin(), Neighbours.end(), Index) == 0)
        Neighbours.push_back(Index);
  };
  const bool HasOtherZone =
      std::any_of(Neighbours.begin(), Neighbours.end(), [&](std::size_t Index) {
        return m_Nodes[Index].m_Zone != Self.m_Zone;
      });
  // Each node needs at least one neighbour in another availability zone.
  AddNeighbours(OtherZonePeers, HasOtherZone ? 0 : Neighbours.size() + 1);
  AddNeighbours(SameZonePeers, m_Options.m_NeighboursPerNode);
  AddNeighbours(OtherZonePeers, m_Options.m_NeighboursPerNode);
}

std::size_t ConfigurationCluster::nodeIndex(const std::string &Name) const {
  return std::stoul(Name.substr(1));
}

void ConfigurationCluster::updatePeers(std::size_t Node, bool Always) {
  auto &Self = m_Nodes[Node];
  for (std::size_t Peer = 0; Peer < m_Nodes.size(); ++Peer)
    if (Peer != Node && areConnected(Node, Peer))
      Self.m_LastReachedAt[Peer] = m_Now;
  std::vector<ConfigurationPeer> Peers;
  bool Changed = Always || Peers.size() != Self.m_Peers.size();
  for (const auto &[Peer, LastReachedAt] : Self.m_LastReachedAt) {
    Peers.push_back({m_Nodes[Peer].m_Name, m_Nodes[Peer].m_Zone,
                     m_Now - LastReachedAt < PeerDeadAfter});
    const std::size_t LastIndex = Peers.size() - 1;
    Changed |= LastIndex >= Self.m_Peers.size() ||
               Self.m_Peers[LastIndex].m_Node != Peers[LastIndex].m_Node ||
               Self.m_Peers[LastIndex].m_IsAlive != Peers[LastIndex].m_IsAlive;
  }
  scheduleOnNode(Node, PeerUpdateInterval,
                 [this, Node] { updatePeers(Node, false); });
  if (!Changed)
    return;
  Self.m_Peers = std::move(Peers);
  chooseNeighbours(Node);
  std::vector<std::string> Names;
  for (const std::size_t Neighbour : Self.m_Neighbours)
    Names.push_back(m_Nodes[Neighbour].m_Name);
  execute(Node, Self.m_Replica->setPeers(Self.m_Peers, Names, m_Now));
}

void ConfigurationCluster::tickNode(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  scheduleOnNode(Node, TickInterval, [this, Node] { tickNode(Node); });
  execute(Node, Self.m_Replica->onTick(m_Now, m_Random));
  for (std::size_t Index = 0; Index < Self.m_Writers.size(); ++Index)
    if (Self.m_Writers[Index])
      advanceWriter(Node, Index, Self.m_Writers[Index]->onTick(m_Now));
  ++m_Usage.m_FreshnessSamples;
  if (!Self.m_Replica->freshness().mayAcceptNewWork(m_Now))
    ++m_Usage.m_SamplesRefusingNewWork;
}

void ConfigurationCluster::sendMessage(std::size_t From, std::size_t To,
                                       const Json &Message,
                                       std::function<void()> Action) {
  if (m_Options.m_CountPeerBytes)
    m_Usage.m_PeerBytes += Json::to_cbor(Message).size() + FrameBytes;
  if (m_Options.m_MessageLossProbability > 0 &&
      std::bernoulli_distribution(m_Options.m_MessageLossProbability)(m_Random))
    return;
  if (!isUp(To))
    return;
  scheduleOnNode(To, randomMessageDelay(),
                 [this, From, To, Action = std::move(Action)] {
                   if (areConnected(From, To))
                     Action();
                 });
}

void ConfigurationCluster::pingNeighbours(std::size_t Node) {
  scheduleOnNode(Node, PingInterval, [this, Node] { pingNeighbours(Node); });
  const MonotonicTime PingedAt = m_Now;
  const std::uint64_t Incarnation = m_Nodes[Node].m_Incarnation;
  for (const std::size_t Peer : m_Nodes[Node].m_Neighbours)
    sendMessage(Node, Peer, {{"t", "ping"}, {"n", 0}}, [=] {
      const Json Response =
          toJson(m_Nodes[Peer].m_Replica->freshness().pingAnswer(m_Now));
      sendMessage(Peer, Node, {{"t", "pong"}, {"n", 0}, {"c", Response}}, [=] {
        if (m_Nodes[Node].m_Incarnation != Incarnation)
          return;
        execute(Node, m_Nodes[Node].m_Replica->onPingAnswer(
                          m_Nodes[Peer].m_Name, *parseFreshnessAnswer(Response),
                          PingedAt, m_Now));
      });
    });
}

void ConfigurationCluster::execute(std::size_t Node,
                                   ConfigurationReplica::Actions Actions) {
  for (const ConfigurationReplicaAction &Action : Actions)
    std::visit([&](const auto &Call) { execute(Node, Call); }, Action);
}

void ConfigurationCluster::execute(std::size_t Node, const GetObject &Call) {
  const bool IsReachable = isStoreReachable(Node);
  const GetCompleted Response =
      IsReachable ? m_Store.get(Call, m_Random)
                  : GetCompleted{Call.m_Id, StoreOutcome::Unavailable, 0, ""};
  scheduleOnNode(
      Node,
      IsReachable ? randomMessageDelay() + randomMessageDelay() : StoreTimeout,
      [this, Node, Response] {
        execute(Node, m_Nodes[Node].m_Replica->onGet(Response, m_Now));
      });
}

void ConfigurationCluster::execute(std::size_t Node, const ListHead &Call) {
  scheduleOnNode(Node, randomMessageDelay(), [this, Node, Call] {
    ++m_Store.m_ReadCount;
    ListCompleted Response{Call.m_Id, StoreOutcome::Unavailable, 0, 0};
    if (isStoreReachable(Node) && !m_Store.m_IsUnavailable)
      Response = {Call.m_Id, StoreOutcome::Succeeded, m_Store.revision(),
                  m_Store.versionOf(ConfigurationHeadKey)};
    scheduleOnNode(Node, randomMessageDelay(), [this, Node, Response] {
      execute(Node, m_Nodes[Node].m_Replica->onList(Response, m_Now));
    });
  });
}

void ConfigurationCluster::execute(std::size_t Node, const WatchHead &Call) {
  ++m_Store.m_ReadCount;
  scheduleOnNode(Node, randomMessageDelay(), [this, Node, Call] {
    completeWatch(Node, Call, m_Now + Call.m_Timeout);
  });
}

void ConfigurationCluster::completeWatch(std::size_t Node,
                                         const WatchHead &Call,
                                         MonotonicTime Deadline) {
  const bool IsUnavailable = !isStoreReachable(Node) || m_Store.m_IsUnavailable;
  const ObjectVersion Version =
      m_Store.headVersionIfChangedSince(Call.m_AfterStorePosition);
  constexpr Duration PollInterval = std::chrono::milliseconds(5);
  if (!IsUnavailable && !Version.exists() && m_Now < Deadline) {
    scheduleOnNode(Node, std::min(PollInterval, Duration(Deadline - m_Now)),
                   [=] { completeWatch(Node, Call, Deadline); });
    return;
  }
  const WatchCompleted Response{
      Call.m_Id,
      IsUnavailable ? StoreOutcome::Unavailable : StoreOutcome::Succeeded,
      m_Store.revision(), IsUnavailable ? ObjectVersion() : Version};
  scheduleOnNode(Node, randomMessageDelay(), [this, Node, Response] {
    if (isStoreReachable(Node))
      execute(Node, m_Nodes[Node].m_Replica->onWatch(Response, m_Now));
  });
}

void ConfigurationCluster::execute(std::size_t Node,
                                   const RequestUpdate &Call) {
  const std::size_t Peer = nodeIndex(Call.m_Peer);
  sendMessage(Node, Peer, {{"t", "ask"}, {"r", Call.m_AfterRevision}},
              [=, Have = Call.m_AfterRevision] {
                execute(Peer, m_Nodes[Peer].m_Replica->onUpdateRequest(
                                  m_Nodes[Node].m_Name, Have));
              });
}

void ConfigurationCluster::execute(std::size_t Node, const SendUpdate &Call) {
  const std::size_t Peer = nodeIndex(Call.m_Peer);
  const Json Message = toJson(Call.m_Update);
  sendMessage(Node, Peer, {{"t", "update"}, {"u", Message}}, [=] {
    execute(Peer, m_Nodes[Peer].m_Replica->onUpdate(
                      m_Nodes[Node].m_Name, *parseUpdate(Message), m_Now));
  });
}

void ConfigurationCluster::confirm(std::size_t Node, ProposedChange Request) {
  auto &Self = m_Nodes[Node];
  m_Store.m_RequestsByPlan[Request.m_PlanId] = Request;
  ConfigurationWriterOptions Options;
  Options.m_Writer = fmt::format("{}.{}", Self.m_Name, Self.m_Incarnation);
  Self.m_Writers.push_back(std::make_unique<ConfigurationWriter>(
      Options, std::move(Request), Self.m_Replica->view()));
  advanceWriter(Node, Self.m_Writers.size() - 1,
                Self.m_Writers.back()->start(m_Now));
}

void ConfigurationCluster::advanceWriter(
    std::size_t Node, std::size_t Index,
    const std::vector<StoreAction> &Actions) {
  auto &Writer = m_Nodes[Node].m_Writers[Index];
  if (!Writer)
    return;
  if (!Writer->result()) {
    callStore(Node, Index, Actions);
    return;
  }
  if (const auto &Change = Writer->acceptedChange())
    execute(Node, m_Nodes[Node].m_Replica->onLocalChange(*Change));
  m_ConfirmResults.emplace(Writer->planId(), *Writer->result());
  Writer.reset();
}

void ConfigurationCluster::callStore(std::size_t Node, std::size_t Index,
                                     const std::vector<StoreAction> &Actions) {
  const auto DeliverResponse = [this, Node, Index](auto Handler,
                                                   auto Response) {
    scheduleOnNode(Node, randomMessageDelay(), [=] {
      const auto &Writer = m_Nodes[Node].m_Writers[Index];
      if (Writer)
        advanceWriter(Node, Index,
                      ((*Writer).*Handler)(Response, m_Now, m_Random));
    });
  };
  for (const StoreAction &Action : Actions)
    scheduleOnNode(Node, randomMessageDelay(), [=] {
      const bool IsReachable = isStoreReachable(Node);
      if (const auto *Get = std::get_if<GetObject>(&Action))
        DeliverResponse(
            &ConfigurationWriter::onGet,
            IsReachable
                ? m_Store.get(*Get, m_Random)
                : GetCompleted{Get->m_Id, StoreOutcome::Unavailable, 0, ""});
      if (const auto *Put = std::get_if<PutObject>(&Action))
        DeliverResponse(
            &ConfigurationWriter::onPut,
            IsReachable ? m_Store.put(*Put, m_Now, m_Random)
                        : WriteCompleted{Put->m_Id, StoreOutcome::Unknown, 0});
    });
}

void ConfigurationCluster::throwViolation(std::size_t Node,
                                          const std::string &Problem) const {
  throw std::logic_error(fmt::format(
      "seed {}, {:.3f} s, node {} at revision {} of {}: {}", m_Options.m_Seed,
      static_cast<double>(m_Now.time_since_epoch().count()) / 1e6 - 1000,
      m_Nodes[Node].m_Name, m_Nodes[Node].m_Replica->view()->revision(),
      m_Store.history().size(), Problem));
}

void ConfigurationCluster::checkInvariants(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  if (!Self.m_Replica)
    return;
  const ConfigurationView::Pointer &View = Self.m_Replica->view();
  const ConfigurationRevision Revision = View->revision();
  const auto &History = m_Store.history();
  if (Revision < Self.m_LastCheckedRevision)
    throwViolation(Node, "the revision in force decreased");
  if (Revision > History.size())
    throwViolation(Node, "the revision was never accepted");
  if (Revision != Self.m_LastCheckedRevision) {
    for (auto NextRevision = Self.m_LastCheckedRevision + 1;
         NextRevision <= Revision; ++NextRevision)
      m_AppliedAt[NextRevision].emplace(Node, m_Now);
    Self.m_LastCheckedRevision = Revision;
    const std::string Content = View->encode();
    if (XXH3_64bits(Content.data(), Content.size()) !=
        History[Revision - 1].m_ContentHash)
      throwViolation(Node, "the content differs from the accepted one");
  }
  if (Revision == History.size())
    return;
  const Duration Staleness = m_Now - History[Revision].m_AcceptedAt;
  const Freshness State = Self.m_Replica->freshness().state(m_Now);
  if (State == Freshness::Fresh && Staleness > FreshAgeLimit)
    throwViolation(Node,
                   "it counts as fresh with a configuration that is too old");
  // Outage reports from two different partitions within OutageReportLimit can
  // add up to a majority, so only a longer partition is checked.
  if (State == Freshness::StoreOutage && !isStoreReachable(Node) &&
      Staleness > OutageReportLimit &&
      m_Now - m_PartitionsChangedAt > OutageReportLimit)
    throwViolation(
        Node, "a partitioned node mistakes the partition for a store outage");
}

void ConfigurationCluster::requireConverged() const {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    if (!isUp(Index))
      continue;
    if (replica(Index).view()->revision() != m_Store.history().size())
      throwViolation(Index, "it has not converged after healing");
    if (replica(Index).freshness().state(m_Now) != Freshness::Fresh)
      throwViolation(Index, "it is not fresh after healing");
  }
}

std::optional<Duration>
ConfigurationCluster::propagationTime(ConfigurationRevision Revision) const {
  const auto Applied = m_AppliedAt.find(Revision);
  if (Applied == m_AppliedAt.end() || Applied->second.size() < m_Nodes.size())
    return std::nullopt;
  MonotonicTime LastAppliedAt;
  for (const auto &[Node, AppliedAt] : Applied->second)
    LastAppliedAt = std::max(LastAppliedAt, AppliedAt);
  return Duration(LastAppliedAt - m_Store.history()[Revision - 1].m_AcceptedAt);
}

} // namespace fulmarwinch
