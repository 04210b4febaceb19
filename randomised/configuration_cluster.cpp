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
constexpr Duration PeersInterval = std::chrono::seconds(1);
/// Suspicion after 2 s and death 5 s later (design page, 4.1).
constexpr Duration LostAfter = std::chrono::seconds(7);
constexpr Duration StoreTimeout = std::chrono::milliseconds(300);
/// Bytes of a websocket frame around each message.
constexpr std::size_t FrameBytes = 8;
constexpr Duration AgeLimit = std::chrono::milliseconds(2500);
/// Reports of an outage count for 3 s; 1 s covers their way.
constexpr Duration OutageReportLimit = std::chrono::seconds(4);

} // namespace

ConfigurationCluster::ConfigurationCluster(ClusterOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed), m_Nodes(Options.m_Nodes) {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    m_Nodes[Index].m_Name = fmt::format("n{}", Index);
    m_Nodes[Index].m_Zone = fmt::format("z{}", Index % m_Options.m_Zones);
  }
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    start(Index);
}

Duration ConfigurationCluster::delay() {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      m_Options.m_MinDelay.count(), m_Options.m_MaxDelay.count())(m_Random));
}

void ConfigurationCluster::at(MonotonicTime Time, std::function<void()> Run) {
  m_Events.push({Time, ++m_EventNumber, std::move(Run)});
}

void ConfigurationCluster::later(std::size_t Node, Duration Delay,
                                 std::function<void()> Run) {
  const std::uint64_t Life = m_Nodes[Node].m_Life;
  at(m_Now + Delay, [this, Node, Life, Run = std::move(Run)] {
    if (!isUp(Node) || m_Nodes[Node].m_Life != Life)
      return;
    Run();
    check(Node);
  });
}

void ConfigurationCluster::runFor(Duration Length) {
  const MonotonicTime End = m_Now + Length;
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    ++m_Usage.m_Steps;
    Next.m_Run();
  }
  m_Now = End;
}

bool ConfigurationCluster::areConnected(std::size_t Left,
                                        std::size_t Right) const {
  return isUp(Left) && isUp(Right) &&
         m_Nodes[Left].m_Island == m_Nodes[Right].m_Island;
}

bool ConfigurationCluster::isStoreReachable(std::size_t Node) const {
  return m_Nodes[Node].m_Island == 0;
}

void ConfigurationCluster::setIsland(std::size_t Node, int Island) {
  m_Nodes[Node].m_Island = Island;
  m_IslandsChangedAt = m_Now;
}

void ConfigurationCluster::heal() {
  for (Node &Each : m_Nodes)
    Each.m_Island = 0;
  m_IslandsChangedAt = m_Now;
}

void ConfigurationCluster::stop(std::size_t Node) {
  m_Nodes[Node].m_Replica.reset();
  m_Nodes[Node].m_Writers.clear();
}

void ConfigurationCluster::start(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  ReplicaOptions Options;
  Options.m_Node = Self.m_Name;
  Options.m_Zone = Self.m_Zone;
  Options.m_WatchTimeout = m_Options.m_WatchTimeout;
  Options.m_Freshness.m_ExpectedZones = m_Options.m_Zones;
  Self.m_Replica = std::make_unique<ConfigurationReplica>(Options, m_Now);
  ++Self.m_Life;
  Self.m_LastRevision = 0;
  Self.m_Writers.clear();
  Self.m_ReachedAt.clear();
  Self.m_Peers.clear();
  Self.m_Neighbours.clear();
  // Random phases, as processes do not start at the same moment.
  const auto Phase = [this](Duration Interval) {
    return Duration(
        1 + static_cast<Duration::rep>(
                m_Random() % static_cast<std::uint64_t>(Interval.count())));
  };
  later(Node, Duration(1), [this, Node] { updatePeers(Node, true); });
  later(Node, Phase(TickInterval), [this, Node] { tick(Node); });
  later(Node, Phase(PingInterval), [this, Node] { ping(Node); });
}

void ConfigurationCluster::chooseNeighbours(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  std::vector<std::size_t> Near;
  std::vector<std::size_t> Far;
  for (const ConfigurationPeer &Peer : Self.m_Peers)
    if (Peer.m_Alive)
      (Peer.m_Zone == Self.m_Zone ? Near : Far).push_back(indexOf(Peer.m_Node));
  const auto IsGone = [&](std::size_t Index) {
    return std::count(Near.begin(), Near.end(), Index) +
               std::count(Far.begin(), Far.end(), Index) ==
           0;
  };
  auto &Chosen = Self.m_Neighbours;
  Chosen.erase(std::remove_if(Chosen.begin(), Chosen.end(), IsGone),
               Chosen.end());
  std::shuffle(Near.begin(), Near.end(), m_Random);
  std::shuffle(Far.begin(), Far.end(), m_Random);
  const auto Take = [&](const std::vector<std::size_t> &From,
                        std::size_t Limit) {
    for (const std::size_t Index : From)
      if (Chosen.size() < Limit &&
          std::count(Chosen.begin(), Chosen.end(), Index) == 0)
        Chosen.push_back(Index);
  };
  const bool HasFar =
      std::any_of(Chosen.begin(), Chosen.end(), [&](std::size_t Index) {
        return m_Nodes[Index].m_Zone != Self.m_Zone;
      });
  // At least one neighbour is in another availability zone.
  Take(Far, HasFar ? 0 : Chosen.size() + 1);
  Take(Near, m_Options.m_Neighbours);
  Take(Far, m_Options.m_Neighbours);
}

std::size_t ConfigurationCluster::indexOf(const std::string &Name) const {
  return std::stoul(Name.substr(1));
}

void ConfigurationCluster::updatePeers(std::size_t Node, bool Always) {
  auto &Self = m_Nodes[Node];
  for (std::size_t Peer = 0; Peer < m_Nodes.size(); ++Peer)
    if (Peer != Node && areConnected(Node, Peer))
      Self.m_ReachedAt[Peer] = m_Now;
  std::vector<ConfigurationPeer> Peers;
  bool Changed = Always || Peers.size() != Self.m_Peers.size();
  for (const auto &[Peer, At] : Self.m_ReachedAt) {
    Peers.push_back(
        {m_Nodes[Peer].m_Name, m_Nodes[Peer].m_Zone, m_Now - At < LostAfter});
    const std::size_t Last = Peers.size() - 1;
    Changed |= Last >= Self.m_Peers.size() ||
               Self.m_Peers[Last].m_Node != Peers[Last].m_Node ||
               Self.m_Peers[Last].m_Alive != Peers[Last].m_Alive;
  }
  later(Node, PeersInterval, [this, Node] { updatePeers(Node, false); });
  if (!Changed)
    return;
  Self.m_Peers = std::move(Peers);
  chooseNeighbours(Node);
  std::vector<std::string> Names;
  for (const std::size_t Neighbour : Self.m_Neighbours)
    Names.push_back(m_Nodes[Neighbour].m_Name);
  carryOut(Node, Self.m_Replica->onPeers(Self.m_Peers, Names, m_Now));
}

void ConfigurationCluster::tick(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  later(Node, TickInterval, [this, Node] { tick(Node); });
  carryOut(Node, Self.m_Replica->onTick(m_Now, m_Random));
  for (std::size_t Index = 0; Index < Self.m_Writers.size(); ++Index)
    if (Self.m_Writers[Index])
      stepWriter(Node, Index, Self.m_Writers[Index]->onTick(m_Now));
  ++m_Usage.m_Samples;
  if (!Self.m_Replica->freshness().mayAcceptNewWork(m_Now))
    ++m_Usage.m_RefusingSamples;
}

void ConfigurationCluster::send(std::size_t From, std::size_t To,
                                const Json &Message,
                                std::function<void()> Run) {
  if (m_Options.m_CountBytes)
    m_Usage.m_PeerBytes += Json::to_cbor(Message).size() + FrameBytes;
  if (m_Options.m_Loss > 0 &&
      std::bernoulli_distribution(m_Options.m_Loss)(m_Random))
    return;
  if (!isUp(To))
    return;
  later(To, delay(), [this, From, To, Run = std::move(Run)] {
    if (areConnected(From, To))
      Run();
  });
}

void ConfigurationCluster::ping(std::size_t Node) {
  later(Node, PingInterval, [this, Node] { ping(Node); });
  const MonotonicTime PingedAt = m_Now;
  const std::uint64_t Life = m_Nodes[Node].m_Life;
  for (const std::size_t Peer : m_Nodes[Node].m_Neighbours)
    send(Node, Peer, {{"t", "ping"}, {"n", 0}}, [=] {
      const Json Answer =
          toJson(m_Nodes[Peer].m_Replica->freshness().answer(m_Now));
      send(Peer, Node, {{"t", "pong"}, {"n", 0}, {"c", Answer}}, [=] {
        if (m_Nodes[Node].m_Life != Life)
          return;
        carryOut(Node, m_Nodes[Node].m_Replica->onAnswer(
                           m_Nodes[Peer].m_Name, *parseFreshnessAnswer(Answer),
                           PingedAt, m_Now));
      });
    });
}

void ConfigurationCluster::carryOut(std::size_t Node,
                                    ConfigurationReplica::Actions Actions) {
  for (const ReplicaAction &Action : Actions)
    std::visit([&](const auto &Call) { carryOut(Node, Call); }, Action);
}

void ConfigurationCluster::carryOut(std::size_t Node, const GetObject &Call) {
  const bool Reachable = isStoreReachable(Node);
  const GetCompleted Answer =
      Reachable ? m_Store.get(Call, m_Random)
                : GetCompleted{Call.m_Id, StoreOutcome::Unavailable, 0, ""};
  later(Node, Reachable ? delay() + delay() : StoreTimeout,
        [this, Node, Answer] {
          carryOut(Node, m_Nodes[Node].m_Replica->onGet(Answer, m_Now));
        });
}

void ConfigurationCluster::carryOut(std::size_t Node, const ListHead &Call) {
  later(Node, delay(), [this, Node, Call] {
    ++m_Store.m_Reads;
    ListCompleted Answer{Call.m_Id, StoreOutcome::Unavailable, 0, 0};
    if (isStoreReachable(Node) && !m_Store.m_Outage)
      Answer = {Call.m_Id, StoreOutcome::Applied, m_Store.revision(),
                m_Store.versionOf(ConfigurationHeadKey)};
    later(Node, delay(), [this, Node, Answer] {
      carryOut(Node, m_Nodes[Node].m_Replica->onList(Answer, m_Now));
    });
  });
}

void ConfigurationCluster::carryOut(std::size_t Node, const WatchHead &Call) {
  ++m_Store.m_Reads;
  later(Node, delay(), [this, Node, Call] {
    answerWatch(Node, Call, m_Now + Call.m_Timeout);
  });
}

void ConfigurationCluster::answerWatch(std::size_t Node, const WatchHead &Call,
                                       MonotonicTime Deadline) {
  const bool Fails = !isStoreReachable(Node) || m_Store.m_Outage;
  const ObjectVersion Version = m_Store.headChangedSince(Call.m_Since);
  constexpr Duration Poll = std::chrono::milliseconds(5);
  if (!Fails && Version == 0 && m_Now < Deadline) {
    later(Node, std::min(Poll, Duration(Deadline - m_Now)),
          [=] { answerWatch(Node, Call, Deadline); });
    return;
  }
  const WatchCompleted Answer{
      Call.m_Id, Fails ? StoreOutcome::Unavailable : StoreOutcome::Applied,
      m_Store.revision(), Fails ? 0 : Version};
  later(Node, delay(), [this, Node, Answer] {
    if (isStoreReachable(Node))
      carryOut(Node, m_Nodes[Node].m_Replica->onWatch(Answer, m_Now));
  });
}

void ConfigurationCluster::carryOut(std::size_t Node, const AskPeer &Call) {
  const std::size_t Peer = indexOf(Call.m_Peer);
  send(Node, Peer, {{"t", "ask"}, {"r", Call.m_Have}}, [=, Have = Call.m_Have] {
    carryOut(Peer,
             m_Nodes[Peer].m_Replica->onAsked(m_Nodes[Node].m_Name, Have));
  });
}

void ConfigurationCluster::carryOut(std::size_t Node, const SendUpdate &Call) {
  const std::size_t Peer = indexOf(Call.m_Peer);
  const Json Message = toJson(Call.m_Update);
  send(Node, Peer, {{"t", "update"}, {"u", Message}}, [=] {
    carryOut(Peer, m_Nodes[Peer].m_Replica->onUpdate(
                       m_Nodes[Node].m_Name, *parseUpdate(Message), m_Now));
  });
}

void ConfigurationCluster::confirm(std::size_t Node, AcceptRequest Request) {
  auto &Self = m_Nodes[Node];
  m_Store.m_Requests[Request.m_Plan] = Request;
  WriterOptions Options;
  Options.m_Writer = fmt::format("{}.{}", Self.m_Name, Self.m_Life);
  Self.m_Writers.push_back(std::make_unique<ConfigurationWriter>(
      Options, std::move(Request), Self.m_Replica->view()));
  stepWriter(Node, Self.m_Writers.size() - 1,
             Self.m_Writers.back()->start(m_Now));
}

void ConfigurationCluster::stepWriter(std::size_t Node, std::size_t Index,
                                      const std::vector<StoreAction> &Actions) {
  auto &Writer = m_Nodes[Node].m_Writers[Index];
  if (!Writer)
    return;
  if (!Writer->result()) {
    callStore(Node, Index, Actions);
    return;
  }
  if (const auto &Change = Writer->accepted())
    carryOut(Node, m_Nodes[Node].m_Replica->onAccepted(*Change));
  m_Results.emplace(Writer->plan(), *Writer->result());
  Writer.reset();
}

void ConfigurationCluster::callStore(std::size_t Node, std::size_t Index,
                                     const std::vector<StoreAction> &Actions) {
  const auto Step = [this, Node, Index](auto Handle, auto Answer) {
    later(Node, delay(), [=] {
      const auto &Writer = m_Nodes[Node].m_Writers[Index];
      if (Writer)
        stepWriter(Node, Index, ((*Writer).*Handle)(Answer, m_Now, m_Random));
    });
  };
  for (const StoreAction &Action : Actions)
    later(Node, delay(), [=] {
      const bool Reachable = isStoreReachable(Node);
      if (const auto *Get = std::get_if<GetObject>(&Action))
        Step(&ConfigurationWriter::onGet,
             Reachable
                 ? m_Store.get(*Get, m_Random)
                 : GetCompleted{Get->m_Id, StoreOutcome::Unavailable, 0, ""});
      if (const auto *Put = std::get_if<PutObject>(&Action))
        Step(&ConfigurationWriter::onPut,
             Reachable ? m_Store.put(*Put, m_Now, m_Random)
                       : PutCompleted{Put->m_Id, StoreOutcome::Unknown, 0});
    });
}

void ConfigurationCluster::violated(std::size_t Node,
                                    const std::string &What) const {
  throw std::logic_error(fmt::format(
      "seed {}, {:.3f} s, node {} at revision {} of {}: {}", m_Options.m_Seed,
      static_cast<double>(m_Now.time_since_epoch().count()) / 1e6 - 1000,
      m_Nodes[Node].m_Name, m_Nodes[Node].m_Replica->view()->revision(),
      m_Store.history().size(), What));
}

void ConfigurationCluster::check(std::size_t Node) {
  auto &Self = m_Nodes[Node];
  if (!Self.m_Replica)
    return;
  const ConfigurationView::Pointer &View = Self.m_Replica->view();
  const ConfigurationRevision Revision = View->revision();
  const auto &History = m_Store.history();
  if (Revision < Self.m_LastRevision)
    violated(Node, "the revision in force decreased");
  if (Revision > History.size())
    violated(Node, "the revision was never accepted");
  if (Revision != Self.m_LastRevision) {
    for (auto Each = Self.m_LastRevision + 1; Each <= Revision; ++Each)
      m_AppliedAt[Each].emplace(Node, m_Now);
    Self.m_LastRevision = Revision;
    const std::string Content = View->encode();
    if (XXH3_64bits(Content.data(), Content.size()) !=
        History[Revision - 1].m_ContentHash)
      violated(Node, "the content differs from the accepted one");
  }
  if (Revision == History.size())
    return;
  const Duration Missing = m_Now - History[Revision].m_At;
  const Freshness State = Self.m_Replica->freshness().state(m_Now);
  if (State == Freshness::Fresh && Missing > AgeLimit)
    violated(Node, "it serves as fresh on a configuration that is too old");
  // Reports from two different partitions within the report limit can add up
  // to a majority, so the partition must have lasted that long.
  if (State == Freshness::OutageForAll && !isStoreReachable(Node) &&
      Missing > OutageReportLimit &&
      m_Now - m_IslandsChangedAt > OutageReportLimit)
    violated(Node, "a partitioned node takes a partition for an outage");
}

void ConfigurationCluster::requireConverged() const {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    if (!isUp(Index))
      continue;
    if (replica(Index).view()->revision() != m_Store.history().size())
      violated(Index, "it has not converged after healing");
    if (replica(Index).freshness().state(m_Now) != Freshness::Fresh)
      violated(Index, "it is not fresh after healing");
  }
}

std::optional<Duration>
ConfigurationCluster::spreadOf(ConfigurationRevision Revision) const {
  const auto Applied = m_AppliedAt.find(Revision);
  if (Applied == m_AppliedAt.end() || Applied->second.size() < m_Nodes.size())
    return std::nullopt;
  MonotonicTime Last;
  for (const auto &[Node, At] : Applied->second)
    Last = std::max(Last, At);
  return Duration(Last - m_Store.history()[Revision - 1].m_At);
}

} // namespace fulmarwinch
