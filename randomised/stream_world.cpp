#include "randomised/stream_world.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {
constexpr double StreamShare = 0.25;
constexpr double ForeignChunkShare = 0.01;
constexpr std::size_t MaxStreams = 24;
constexpr std::int64_t StallMs = 1200;
constexpr std::int64_t GiveUpMs = 15000;
constexpr std::size_t MaxBuffered = 16;
/// A poison request costs at most this many engines (design 4.8).
constexpr int MaxPoisonCrashes = 3;

std::string payload(std::uint64_t Stream, std::uint64_t Index) {
  return fmt::format("{}:{}", Stream, Index);
}
} // namespace

StreamWorld::StreamWorld(RunState &State) : m_State(State) {
  for (const std::string &Vm : State.m_World.vmNames())
    m_Heads.emplace(Vm, FakeHead(State, Vm));
  m_Nodes.resize(State.m_World.nodeCount());
  restartNodes();
}

void StreamWorld::restartNodes() {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    const int Starts = m_State.m_World.starts(Index);
    const bool IsGone = !m_State.m_Cluster.isUp(Index);
    if (!IsGone && m_Nodes[Index] && m_Nodes[Index]->m_Starts == Starts)
      continue;
    // The clients of a node that crashed see a broken connection.
    for (auto Each = m_Streams.begin(); Each != m_Streams.end();)
      Each = Each->second.m_Node == Index ? m_Streams.erase(Each)
                                          : std::next(Each);
    if (!m_Nodes[Index] || m_Nodes[Index]->m_Starts != Starts)
      m_Nodes[Index] = std::make_unique<RequestNode>(
          fmt::format("n{}#{}", Index, Starts), Starts);
  }
}

void StreamWorld::step() {
  restartNodes();
  for (auto &[Vm, Head] : m_Heads)
    Head.follow();
  if (m_State.m_World.now() % 250 == 0) {
    publishViews();
    runGranters();
    askSlots();
  }
  produce();
  crashPoisoned();
  if (m_Streams.size() < MaxStreams && m_State.m_World.chance(StreamShare))
    startStream(false, m_State.m_World.random()());
  driveStreams();
}

bool StreamWorld::isIdle(std::size_t Node) const {
  for (const auto &[Id, Each] : m_Streams)
    if (Each.m_Node == Node)
      return false;
  return true;
}

void StreamWorld::turnCold(const std::string &Vm) { m_Heads.at(Vm).turnCold(); }

void StreamWorld::stall(const std::string &Vm, std::int64_t Milliseconds) {
  m_Heads.at(Vm).stallFor(Milliseconds);
  m_State.m_FaultAt[Vm] = m_State.m_World.now() + Milliseconds;
}

void StreamWorld::sendPoison() { startStream(true, 666 + m_State.pick(3)); }

void StreamWorld::startStream(bool IsPoison, ContentHash Hash) {
  const std::size_t Node = m_State.pick(m_Nodes.size());
  if (!m_State.isRunning(Node))
    return;
  Stream Each;
  Each.m_Id = ++m_LastId;
  Each.m_Node = Node;
  Each.m_Hash = Hash;
  Each.m_IsPoison = IsPoison;
  Each.m_Deployment = m_State.pick(2) == 0 ? "large" : "small";
  Each.m_Length = 1 + m_State.pick(60);
  Each.m_Splicer = std::make_unique<StreamSplicer>(
      fmt::format("s{}", Each.m_Id), MaxBuffered);
  Each.m_StartedAt = m_State.m_World.now();
  if (m_State.m_ShuttingDown[Node] || !m_State.mayAcceptNewWork(Node)) {
    m_State.m_Log.add("refused", fmt::format("{} at n{}", Each.m_Id, Node));
    return;
  }
  m_State.m_Log.add("stream", fmt::format("{} at n{}", Each.m_Id, Node));
  m_Streams.emplace(Each.m_Id, std::move(Each));
}

void StreamWorld::driveStreams() {
  for (auto Each = m_Streams.begin(); Each != m_Streams.end();) {
    const bool Ended =
        m_State.isRunning(Each->second.m_Node) && !drive(Each->second);
    Each = Ended ? m_Streams.erase(Each) : std::next(Each);
  }
}

/// Returns false if the stream has ended.
bool StreamWorld::drive(Stream &Each) {
  const std::int64_t Now = m_State.m_World.now();
  if (Each.m_Splicer->isComplete()) {
    finish(Each, true);
    return false;
  }
  if (!Each.m_Group.empty() && Now - Each.m_ProgressAt > StallMs) {
    // The request left the node and no response came.
    AttemptFacts Facts;
    Facts.m_BytesSent = 100;
    Each.m_MayHaveRun |= classifyAttempt(Facts) != Outcome::NotRun;
    endAttempt(Each, true);
  }
  if (!Each.m_Group.empty())
    return true;
  if (Now - Each.m_StartedAt > GiveUpMs || !dispatch(Each)) {
    finish(Each, false);
    return false;
  }
  return true;
}

/// Returns false if the stream is refused for good.
bool StreamWorld::dispatch(Stream &Each) {
  RequestNode &Node = *m_Nodes[Each.m_Node];
  const MonotonicTime Now = m_State.m_World.nodeTime(Each.m_Node);
  if (!m_State.mayAcceptNewWork(Each.m_Node))
    return true;
  const PoisonVerdict Verdict = Node.m_Poison.verdict(Each.m_Hash, Now);
  if (Verdict == PoisonVerdict::Refuse)
    return false;
  const ConfigurationView &View =
      *m_State.m_Cluster.replica(Each.m_Node).view();
  std::set<std::string> ZonesOut;
  for (const char *Zone : {"z0", "z1", "z2"})
    if (!View.isZoneInService(Zone))
      ZonesOut.insert(Zone);
  RouteRequest Request;
  Request.m_Deployment = Each.m_Deployment;
  Request.m_PromptTokens = 10;
  Request.m_Excluded = Each.m_Tried;
  const auto Decision =
      Node.m_Router.route(Request, ZonesOut, Now, m_State.m_World.random());
  if (!Decision.ok()) {
    Each.m_Tried.clear();
    return true;
  }
  const std::string &Group = Decision->m_View->m_Group;
  if (Verdict == PoisonVerdict::Isolate &&
      !Node.m_Poison.beginIsolation(Each.m_Hash, Group)) {
    Node.m_Gate.end(Group, Decision->m_UsesSlot, std::nullopt);
    return true;
  }
  send(Each, *Decision);
  return true;
}

void StreamWorld::send(Stream &Each, const RouteDecision &Decision) {
  const GroupView &View = *Decision.m_View;
  Each.m_Group = View.m_Group;
  Each.m_UsesSlot = Decision.m_UsesSlot;
  Each.m_ProgressAt = m_State.m_World.now();
  Each.m_Tried.insert(View.m_Group);
  m_Nodes[Each.m_Node]->m_Poison.onDispatch(Each.m_Hash, View.m_Group);
  EngineRequest Request;
  Request.m_Stream = Each.m_Id;
  Request.m_Attempt = Each.m_Splicer->beginAttempt();
  Request.m_Node = Each.m_Node;
  Request.m_NextIndex = Each.m_Splicer->nextIndex();
  Request.m_Length = Each.m_Length;
  Request.m_IsPoison = Each.m_IsPoison;
  Request.m_InOutage =
      m_State.m_Cluster.replica(Each.m_Node)
          .freshness()
          .state(m_State.m_Cluster.now()) == Freshness::OutageForAll;
  Request.m_Group = View.m_Group;
  Request.m_Generation = View.m_Generation;
  Request.m_SentAt = m_State.m_World.now();
  if (m_State.isLost())
    return;
  const int Starts = m_Nodes[Each.m_Node]->m_Starts;
  m_State.m_World.after(m_State.delay(),
                        [this, Vm = View.m_HeadAddress, Request, Starts] {
                          arrive(Vm, Request, Starts);
                        });
}

void StreamWorld::arrive(const std::string &Vm, const EngineRequest &Request,
                         int Starts) {
  const FakeHead::Answer Answer = m_Heads.at(Vm).accept(Request);
  if (Answer == FakeHead::Answer::Accepted) {
    m_Accepted.insert(Request.m_Stream);
    if (m_ToldNotRun.count(Request.m_Stream) != 0)
      m_State.m_Log.violate(
          "I6", fmt::format("{} ran after its refusal", Request.m_Stream));
  }
  if (Answer != FakeHead::Answer::NotRun)
    return;
  m_State.m_World.after(m_State.delay(), [this, Request, Starts] {
    m_State.m_World.whenAwake(Request.m_Node, Starts, [this, Request] {
      onRefused(Request.m_Stream, Request.m_Attempt);
    });
  });
}

void StreamWorld::onRefused(std::uint64_t Id, std::uint32_t Attempt) {
  const auto Found = m_Streams.find(Id);
  if (Found == m_Streams.end() || Found->second.m_Group.empty() ||
      Found->second.m_Splicer->attempt() != Attempt)
    return;
  AttemptFacts Facts;
  Facts.m_BytesSent = 100;
  Facts.m_HttpStatus = 409;
  Facts.m_MarkedNotRun = true;
  Found->second.m_MayHaveRun |= classifyAttempt(Facts) != Outcome::NotRun;
  endAttempt(Found->second, false);
}

void StreamWorld::produce() {
  for (auto &[Vm, Head] : m_Heads) {
    const FakeEngine &Engine = m_State.m_World.engine(Vm);
    if (Head.isStalled() || !Engine.m_Up)
      continue;
    for (auto Each = Head.m_InFlight.begin(); Each != Head.m_InFlight.end();) {
      EngineRequest &Request = Each->second;
      const bool Final = Request.m_NextIndex + 1 >= Request.m_Length;
      if (!Engine.m_Partitioned)
        produceToken(Vm, Request, Final);
      ++Request.m_NextIndex;
      Head.m_Completed += Final ? 1 : 0;
      Each = Final ? Head.m_InFlight.erase(Each) : std::next(Each);
    }
  }
}

void StreamWorld::produceToken(const std::string &Vm, EngineRequest &Request,
                               bool Final) {
  StreamChunk Chunk{fmt::format("s{}", Request.m_Stream), Request.m_Attempt,
                    Request.m_NextIndex,
                    payload(Request.m_Stream, Request.m_NextIndex), Final};
  // A reused connection may deliver a chunk of another request.
  if (m_State.m_World.chance(ForeignChunkShare))
    Chunk.m_RequestId = "s0";
  if (m_State.isLost())
    return;
  const int Starts = m_Nodes[Request.m_Node]->m_Starts;
  const auto Deliver = [this, Id = Request.m_Stream, Node = Request.m_Node,
                        Starts, Chunk, StartId = m_Heads.at(Vm).startId()] {
    m_State.m_World.whenAwake(Node, Starts,
                              [=] { onChunk(Id, Starts, Chunk, StartId); });
  };
  m_State.m_World.after(m_State.delay(), Deliver);
  if (m_State.m_World.chance(0.01))
    m_State.m_World.after(m_State.delay(), Deliver);
}

void StreamWorld::onChunk(std::uint64_t Id, int Starts,
                          const StreamChunk &Chunk,
                          const std::string &StartId) {
  const auto Found = m_Streams.find(Id);
  if (Found == m_Streams.end())
    return;
  Stream &Each = Found->second;
  if (m_Nodes[Each.m_Node]->m_Starts != Starts)
    return;
  if (Chunk.m_Attempt == Each.m_Splicer->attempt() && !Each.m_Group.empty()) {
    m_Nodes[Each.m_Node]->m_Slots.onStartId(Each.m_Group, StartId);
    Each.m_MayHaveRun = true;
  }
  const SpliceResult Result = Each.m_Splicer->accept(Chunk);
  for (const std::string &Text : Result.m_Deliver) {
    if (Text != payload(Id, Each.m_Received))
      m_State.m_Log.violate("I5", fmt::format("{} received '{}' as number {}",
                                              Id, Text, Each.m_Received));
    ++Each.m_Received;
    Each.m_ProgressAt = m_State.m_World.now();
  }
}

/// Ends the running attempt without success.
void StreamWorld::endAttempt(Stream &Each, bool IsBroken) {
  RequestNode &Node = *m_Nodes[Each.m_Node];
  const MonotonicTime Now = m_State.m_World.nodeTime(Each.m_Node);
  if (IsBroken) {
    Node.m_Slots.onConnectionLost(Each.m_Group);
    Node.m_Outliers.onFailure(Each.m_Group, 0, Now);
  }
  Node.m_Gate.end(Each.m_Group, Each.m_UsesSlot, std::nullopt);
  Node.m_Poison.onEnded(Each.m_Hash, Each.m_Group);
  closeConnection(Each);
  m_State.m_Log.add("attempt ended",
                    fmt::format("{} at {}", Each.m_Id, Each.m_Group));
  Each.m_Group.clear();
}

/// The engine ends an attempt whose connection closes. An engine that is cut
/// off does not notice.
void StreamWorld::closeConnection(const Stream &Each) {
  const auto Key = std::make_pair(Each.m_Id, Each.m_Splicer->attempt());
  m_State.m_World.after(m_State.delay(), [this, Key] {
    for (auto &[Vm, Head] : m_Heads)
      if (!m_State.m_World.engine(Vm).m_Partitioned && !Head.isStalled())
        Head.m_InFlight.erase(Key);
  });
}

void StreamWorld::finish(Stream &Each, bool IsComplete) {
  RequestNode &Node = *m_Nodes[Each.m_Node];
  const MonotonicTime Now = m_State.m_World.nodeTime(Each.m_Node);
  if (IsComplete) {
    if (Each.m_Received != Each.m_Length)
      m_State.m_Log.violate("I5", fmt::format("{} ended after {} of {} tokens",
                                              Each.m_Id, Each.m_Received,
                                              Each.m_Length));
    if (!Each.m_Group.empty()) {
      Node.m_Gate.end(Each.m_Group, Each.m_UsesSlot, std::nullopt);
      Node.m_Outliers.onSuccess(Each.m_Group, 0, Now);
      Node.m_Poison.onCompleted(Each.m_Hash, Each.m_Group, Now);
    }
    m_State.m_Log.add("complete", fmt::format("{}", Each.m_Id));
    return;
  }
  m_State.m_Log.add(Each.m_MayHaveRun ? "unknown" : "not run",
                    fmt::format("{}", Each.m_Id));
  if (Each.m_MayHaveRun)
    return;
  m_ToldNotRun.insert(Each.m_Id);
  if (m_Accepted.count(Each.m_Id) != 0)
    m_State.m_Log.violate(
        "I6", fmt::format("{} was refused as not run but ran", Each.m_Id));
}

void StreamWorld::crashPoisoned() {
  for (auto &[Vm, Head] : m_Heads) {
    std::uint64_t Guilty = 0;
    std::string Group;
    for (const auto &[Key, Request] : Head.m_InFlight)
      if (Request.m_IsPoison) {
        Guilty = Request.m_Stream;
        Group = Request.m_Group;
      }
    if (Guilty == 0)
      continue;
    m_State.m_Log.add("poison crash", fmt::format("{} by {}", Vm, Guilty));
    const auto Crashed = ++m_PoisonCrashes[Guilty];
    if (Crashed > MaxPoisonCrashes)
      m_State.m_Log.violate(
          "poison", fmt::format("{} crashed {} engines", Guilty, Crashed));
    m_State.m_World.crash(Vm, 0.5, false);
    m_State.m_FaultAt[Vm] = m_State.m_World.now() + 500;
    onServerCrash(Group);
  }
}

/// Every node with work on the group sees its connections break.
void StreamWorld::onServerCrash(const std::string &Group) {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    if (m_State.m_Cluster.isUp(Index))
      m_Nodes[Index]->m_Poison.onServerCrash(Group,
                                             m_State.m_World.nodeTime(Index));
  for (auto &[Id, Each] : m_Streams)
    if (Each.m_Group == Group) {
      Each.m_MayHaveRun = true;
      endAttempt(Each, true);
    }
}

} // namespace fulmarwinch
