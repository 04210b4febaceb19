#include "randomised/stream_world.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {
constexpr double NewStreamProbability = 0.25;
constexpr double ForeignChunkProbability = 0.01;
constexpr std::size_t MaxStreams = 24;
constexpr std::int64_t AttemptStallMs = 1200;
constexpr std::int64_t StreamTimeoutMs = 15000;
constexpr std::size_t MaxBuffered = 16;
/// Maximum number of engines that one poison request may crash (design 4.8).
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
    const int StartCount = m_State.m_World.starts(Index);
    const bool IsDown = !m_State.m_Cluster.isUp(Index);
    if (!IsDown && m_Nodes[Index] && m_Nodes[Index]->m_Starts == StartCount)
      continue;
    // The streams of a crashed node end, since their client connections break.
    for (auto Position = m_Streams.begin(); Position != m_Streams.end();)
      Position = Position->second.m_Node == Index ? m_Streams.erase(Position)
                                                  : std::next(Position);
    if (!m_Nodes[Index] || m_Nodes[Index]->m_Starts != StartCount)
      m_Nodes[Index] = std::make_unique<RequestNode>(
          fmt::format("n{}#{}", Index, StartCount), StartCount);
  }
}

void StreamWorld::step() {
  restartNodes();
  for (auto &[Vm, Server] : m_Heads)
    Server.follow();
  if (m_State.m_World.now() % 250 == 0) {
    publishViews();
    runGranters();
    askSlots();
  }
  produce();
  crashPoisoned();
  if (m_Streams.size() < MaxStreams &&
      m_State.m_World.chance(NewStreamProbability))
    startStream(false, m_State.m_World.random()());
  driveStreams();
}

bool StreamWorld::isIdle(std::size_t Node) const {
  for (const auto &[Id, ClientStream] : m_Streams)
    if (ClientStream.m_Node == Node)
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
  Stream ClientStream;
  ClientStream.m_Id = ++m_LastId;
  ClientStream.m_Node = Node;
  ClientStream.m_Hash = Hash;
  ClientStream.m_IsPoison = IsPoison;
  ClientStream.m_Deployment = m_State.pick(2) == 0 ? "large" : "small";
  ClientStream.m_Length = 1 + m_State.pick(60);
  ClientStream.m_Splicer = std::make_unique<StreamSplicer>(
      fmt::format("s{}", ClientStream.m_Id), MaxBuffered);
  ClientStream.m_StartedAt = m_State.m_World.now();
  if (m_State.m_ShuttingDown[Node] || !m_State.mayAcceptNewWork(Node)) {
    m_State.m_Log.add("refused",
                      fmt::format("{} at n{}", ClientStream.m_Id, Node));
    return;
  }
  m_State.m_Log.add("stream",
                    fmt::format("{} at n{}", ClientStream.m_Id, Node));
  m_Streams.emplace(ClientStream.m_Id, std::move(ClientStream));
}

void StreamWorld::driveStreams() {
  for (auto Position = m_Streams.begin(); Position != m_Streams.end();) {
    const bool Ended =
        m_State.isRunning(Position->second.m_Node) && !drive(Position->second);
    Position = Ended ? m_Streams.erase(Position) : std::next(Position);
  }
}

/// Runs one step of a stream: completes it, ends a stalled attempt or
/// dispatches the next attempt. Returns false if the stream has ended.
bool StreamWorld::drive(Stream &ClientStream) {
  const std::int64_t Now = m_State.m_World.now();
  if (ClientStream.m_Splicer->isComplete()) {
    finish(ClientStream, true);
    return false;
  }
  if (!ClientStream.m_Group.empty() &&
      Now - ClientStream.m_ProgressAt > AttemptStallMs) {
    // The node sent the request and has received no token for
    // AttemptStallMs.
    AttemptFacts Facts;
    Facts.m_BytesSent = 100;
    ClientStream.m_MayHaveRun |= classifyAttempt(Facts) != Outcome::NotRun;
    endAttempt(ClientStream, true);
  }
  if (!ClientStream.m_Group.empty())
    return true;
  if (Now - ClientStream.m_StartedAt > StreamTimeoutMs ||
      !dispatch(ClientStream)) {
    finish(ClientStream, false);
    return false;
  }
  return true;
}

/// Dispatches an attempt if the node may accept new work and finds a route.
/// Returns false if the stream is refused permanently.
bool StreamWorld::dispatch(Stream &ClientStream) {
  RequestNode &Node = *m_Nodes[ClientStream.m_Node];
  const MonotonicTime Now = m_State.m_World.nodeTime(ClientStream.m_Node);
  if (!m_State.mayAcceptNewWork(ClientStream.m_Node))
    return true;
  const PoisonVerdict Verdict = Node.m_Poison.verdict(ClientStream.m_Hash, Now);
  if (Verdict == PoisonVerdict::Refuse)
    return false;
  const ConfigurationView &View =
      *m_State.m_Cluster.replica(ClientStream.m_Node).view();
  std::set<std::string> ZonesOut;
  for (const char *Zone : {"z0", "z1", "z2"})
    if (!View.isZoneInService(Zone))
      ZonesOut.insert(Zone);
  RouteRequest Request;
  Request.m_Deployment = ClientStream.m_Deployment;
  Request.m_PromptTokens = 10;
  Request.m_Excluded = ClientStream.m_Tried;
  const auto Decision =
      Node.m_Router.route(Request, ZonesOut, Now, m_State.m_World.random());
  if (!Decision.ok()) {
    ClientStream.m_Tried.clear();
    return true;
  }
  const std::string &Group = Decision->m_View->m_Group;
  if (Verdict == PoisonVerdict::Isolate &&
      !Node.m_Poison.beginIsolation(ClientStream.m_Hash, Group)) {
    Node.m_Gate.end(Group, Decision->m_UsesSlot, std::nullopt);
    return true;
  }
  send(ClientStream, *Decision);
  return true;
}

void StreamWorld::send(Stream &ClientStream, const RouteDecision &Decision) {
  const GroupView &View = *Decision.m_View;
  ClientStream.m_Group = View.m_Group;
  ClientStream.m_UsesSlot = Decision.m_UsesSlot;
  ClientStream.m_ProgressAt = m_State.m_World.now();
  ClientStream.m_Tried.insert(View.m_Group);
  m_Nodes[ClientStream.m_Node]->m_Poison.onDispatch(ClientStream.m_Hash,
                                                    View.m_Group);
  EngineRequest Request;
  Request.m_Stream = ClientStream.m_Id;
  Request.m_Attempt = ClientStream.m_Splicer->beginAttempt();
  Request.m_Node = ClientStream.m_Node;
  Request.m_NextIndex = ClientStream.m_Splicer->nextIndex();
  Request.m_Length = ClientStream.m_Length;
  Request.m_IsPoison = ClientStream.m_IsPoison;
  Request.m_InOutage =
      m_State.m_Cluster.replica(ClientStream.m_Node)
          .freshness()
          .state(m_State.m_Cluster.now()) == Freshness::OutageForAll;
  Request.m_Group = View.m_Group;
  Request.m_Generation = View.m_Generation;
  Request.m_SentAt = m_State.m_World.now();
  if (m_State.isLost())
    return;
  const int StartCount = m_Nodes[ClientStream.m_Node]->m_Starts;
  m_State.m_World.after(m_State.delay(),
                        [this, Vm = View.m_HeadAddress, Request, StartCount] {
                          arrive(Vm, Request, StartCount);
                        });
}

void StreamWorld::arrive(const std::string &Vm, const EngineRequest &Request,
                         int StartCount) {
  const FakeHead::Answer Response = m_Heads.at(Vm).accept(Request);
  if (Response == FakeHead::Answer::Accepted) {
    m_Accepted.insert(Request.m_Stream);
    if (m_ToldNotRun.count(Request.m_Stream) != 0)
      m_State.m_Log.violate(
          "I6",
          fmt::format("stream {} was accepted after it was reported as not run",
                      Request.m_Stream));
  }
  if (Response != FakeHead::Answer::NotRun)
    return;
  m_State.m_World.after(m_State.delay(), [this, Request, StartCount] {
    m_State.m_World.whenAwake(Request.m_Node, StartCount, [this, Request] {
      onRefused(Request.m_Stream, Request.m_Attempt);
    });
  });
}

void StreamWorld::onRefused(std::uint64_t Id, std::uint32_t Attempt) {
  const auto Entry = m_Streams.find(Id);
  if (Entry == m_Streams.end() || Entry->second.m_Group.empty() ||
      Entry->second.m_Splicer->attempt() != Attempt)
    return;
  AttemptFacts Facts;
  Facts.m_BytesSent = 100;
  Facts.m_HttpStatus = 409;
  Facts.m_MarkedNotRun = true;
  Entry->second.m_MayHaveRun |= classifyAttempt(Facts) != Outcome::NotRun;
  endAttempt(Entry->second, false);
}

void StreamWorld::produce() {
  for (auto &[Vm, Server] : m_Heads) {
    const FakeEngine &Engine = m_State.m_World.engine(Vm);
    if (Server.isStalled() || !Engine.m_Up)
      continue;
    for (auto Position = Server.m_InFlight.begin();
         Position != Server.m_InFlight.end();) {
      EngineRequest &Request = Position->second;
      const bool IsFinal = Request.m_NextIndex + 1 >= Request.m_Length;
      if (!Engine.m_Partitioned)
        produceToken(Vm, Request, IsFinal);
      ++Request.m_NextIndex;
      Server.m_Completed += IsFinal ? 1 : 0;
      Position =
          IsFinal ? Server.m_InFlight.erase(Position) : std::next(Position);
    }
  }
}

void StreamWorld::produceToken(const std::string &Vm, EngineRequest &Request,
                               bool IsFinal) {
  StreamChunk Chunk{fmt::format("s{}", Request.m_Stream), Request.m_Attempt,
                    Request.m_NextIndex,
                    payload(Request.m_Stream, Request.m_NextIndex), IsFinal};
  // Simulates a reused connection that delivers a chunk of another request.
  if (m_State.m_World.chance(ForeignChunkProbability))
    Chunk.m_RequestId = "s0";
  if (m_State.isLost())
    return;
  const int StartCount = m_Nodes[Request.m_Node]->m_Starts;
  const auto DeliverChunk = [this, Id = Request.m_Stream, Node = Request.m_Node,
                             StartCount, Chunk,
                             StartId = m_Heads.at(Vm).startId()] {
    m_State.m_World.whenAwake(Node, StartCount,
                              [=] { onChunk(Id, StartCount, Chunk, StartId); });
  };
  m_State.m_World.after(m_State.delay(), DeliverChunk);
  if (m_State.m_World.chance(0.01))
    m_State.m_World.after(m_State.delay(), DeliverChunk);
}

void StreamWorld::onChunk(std::uint64_t Id, int StartCount,
                          const StreamChunk &Chunk,
                          const std::string &StartId) {
  const auto Entry = m_Streams.find(Id);
  if (Entry == m_Streams.end())
    return;
  Stream &ClientStream = Entry->second;
  if (m_Nodes[ClientStream.m_Node]->m_Starts != StartCount)
    return;
  if (Chunk.m_Attempt == ClientStream.m_Splicer->attempt() &&
      !ClientStream.m_Group.empty()) {
    m_Nodes[ClientStream.m_Node]->m_Slots.onStartId(ClientStream.m_Group,
                                                    StartId);
    ClientStream.m_MayHaveRun = true;
  }
  const SpliceResult Result = ClientStream.m_Splicer->accept(Chunk);
  for (const std::string &Text : Result.m_Deliver) {
    if (Text != payload(Id, ClientStream.m_Received))
      m_State.m_Log.violate("I5",
                            fmt::format("stream {} received '{}' as token {}",
                                        Id, Text, ClientStream.m_Received));
    ++ClientStream.m_Received;
    ClientStream.m_ProgressAt = m_State.m_World.now();
  }
}

/// Ends the current attempt without success. \p IsBroken: the connection broke
/// or the attempt stalled, so the failure counts for outlier ejection.
void StreamWorld::endAttempt(Stream &ClientStream, bool IsBroken) {
  RequestNode &Node = *m_Nodes[ClientStream.m_Node];
  const MonotonicTime Now = m_State.m_World.nodeTime(ClientStream.m_Node);
  if (IsBroken) {
    Node.m_Slots.onConnectionLost(ClientStream.m_Group);
    Node.m_Outliers.onFailure(ClientStream.m_Group, 0, Now);
  }
  Node.m_Gate.end(ClientStream.m_Group, ClientStream.m_UsesSlot, std::nullopt);
  Node.m_Poison.onEnded(ClientStream.m_Hash, ClientStream.m_Group);
  closeConnection(ClientStream);
  m_State.m_Log.add("attempt ended", fmt::format("{} at {}", ClientStream.m_Id,
                                                 ClientStream.m_Group));
  ClientStream.m_Group.clear();
}

/// Closes the connection of the current attempt, which makes the engine cancel
/// it. A partitioned or stalled engine does not detect the closed connection.
void StreamWorld::closeConnection(const Stream &ClientStream) {
  const auto Key =
      std::make_pair(ClientStream.m_Id, ClientStream.m_Splicer->attempt());
  m_State.m_World.after(m_State.delay(), [this, Key] {
    for (auto &[Vm, Server] : m_Heads)
      if (!m_State.m_World.engine(Vm).m_Partitioned && !Server.isStalled())
        Server.m_InFlight.erase(Key);
  });
}

void StreamWorld::finish(Stream &ClientStream, bool IsComplete) {
  RequestNode &Node = *m_Nodes[ClientStream.m_Node];
  const MonotonicTime Now = m_State.m_World.nodeTime(ClientStream.m_Node);
  if (IsComplete) {
    if (ClientStream.m_Received != ClientStream.m_Length)
      m_State.m_Log.violate(
          "I5", fmt::format("stream {} ended after {} of {} tokens",
                            ClientStream.m_Id, ClientStream.m_Received,
                            ClientStream.m_Length));
    if (!ClientStream.m_Group.empty()) {
      Node.m_Gate.end(ClientStream.m_Group, ClientStream.m_UsesSlot,
                      std::nullopt);
      Node.m_Outliers.onSuccess(ClientStream.m_Group, 0, Now);
      Node.m_Poison.onCompleted(ClientStream.m_Hash, ClientStream.m_Group, Now);
    }
    m_State.m_Log.add("complete", fmt::format("{}", ClientStream.m_Id));
    return;
  }
  m_State.m_Log.add(ClientStream.m_MayHaveRun ? "unknown" : "not run",
                    fmt::format("{}", ClientStream.m_Id));
  if (ClientStream.m_MayHaveRun)
    return;
  m_ToldNotRun.insert(ClientStream.m_Id);
  if (m_Accepted.count(ClientStream.m_Id) != 0)
    m_State.m_Log.violate(
        "I6", fmt::format("stream {} was reported as not run but was accepted",
                          ClientStream.m_Id));
}

void StreamWorld::crashPoisoned() {
  for (auto &[Vm, Server] : m_Heads) {
    std::uint64_t PoisonStream = 0;
    std::string Group;
    for (const auto &[Key, Request] : Server.m_InFlight)
      if (Request.m_IsPoison) {
        PoisonStream = Request.m_Stream;
        Group = Request.m_Group;
      }
    if (PoisonStream == 0)
      continue;
    m_State.m_Log.add("poison crash",
                      fmt::format("{} by {}", Vm, PoisonStream));
    const auto CrashCount = ++m_PoisonCrashes[PoisonStream];
    if (CrashCount > MaxPoisonCrashes)
      m_State.m_Log.violate("poison",
                            fmt::format("poison stream {} crashed {} engines",
                                        PoisonStream, CrashCount));
    m_State.m_World.crash(Vm, 0.5, false);
    m_State.m_FaultAt[Vm] = m_State.m_World.now() + 500;
    onServerCrash(Group);
  }
}

/// Informs the poison detector of every running node of the crash, and breaks
/// the connections of all streams of the group.
void StreamWorld::onServerCrash(const std::string &Group) {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    if (m_State.m_Cluster.isUp(Index))
      m_Nodes[Index]->m_Poison.onServerCrash(Group,
                                             m_State.m_World.nodeTime(Index));
  for (auto &[Id, ClientStream] : m_Streams)
    if (ClientStream.m_Group == Group) {
      ClientStream.m_MayHaveRun = true;
      endAttempt(ClientStream, true);
    }
}

} // namespace fulmarwinch
