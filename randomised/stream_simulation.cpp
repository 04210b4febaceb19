#include "randomised/stream_simulation.h"

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

StreamSimulation::StreamSimulation(SimulationState &State) : m_State(State) {
  for (const std::string &Vm : State.m_Groups.vmNames())
    m_EngineServers.emplace(Vm, FakeEngineServer(State, Vm));
  m_RequestPaths.resize(State.m_Groups.nodeCount());
  restartNodes();
}

void StreamSimulation::restartNodes() {
  for (std::size_t Index = 0; Index < m_RequestPaths.size(); ++Index) {
    const int StartCount = m_State.m_Groups.nodeStartCount(Index);
    const bool IsDown = !m_State.m_Configuration.isUp(Index);
    if (!IsDown && m_RequestPaths[Index] &&
        m_RequestPaths[Index]->m_NodeStartCount == StartCount)
      continue;
    // The streams of a crashed node end, since their client connections break.
    for (auto Position = m_Streams.begin(); Position != m_Streams.end();)
      Position = Position->second.m_Node == Index ? m_Streams.erase(Position)
                                                  : std::next(Position);
    if (!m_RequestPaths[Index] ||
        m_RequestPaths[Index]->m_NodeStartCount != StartCount)
      m_RequestPaths[Index] = std::make_unique<RequestPath>(
          fmt::format("n{}#{}", Index, StartCount), StartCount);
  }
}

void StreamSimulation::step() {
  restartNodes();
  for (auto &[Vm, Server] : m_EngineServers)
    Server.syncWithEngine();
  if (m_State.m_Groups.nowMs() % 250 == 0) {
    publishViews();
    updateSlotGranters();
    requestSlots();
  }
  produceTokens();
  crashEnginesOfPoisonRequests();
  if (m_Streams.size() < MaxStreams &&
      m_State.m_Groups.drawWithProbability(NewStreamProbability))
    startStream(false, m_State.m_Groups.random()());
  advanceStreams();
}

bool StreamSimulation::isIdle(std::size_t Node) const {
  for (const auto &[Id, ClientStream] : m_Streams)
    if (ClientStream.m_Node == Node)
      return false;
  return true;
}

void StreamSimulation::startColdPhase(const std::string &Vm) {
  m_EngineServers.at(Vm).startColdPhase();
}

void StreamSimulation::stallEngine(const std::string &Vm,
                                   std::int64_t Milliseconds) {
  m_EngineServers.at(Vm).stallFor(Milliseconds);
  m_State.m_FaultEndsAt[Vm] = m_State.m_Groups.nowMs() + Milliseconds;
}

void StreamSimulation::startPoisonStream() {
  startStream(true, 666 + m_State.randomBelow(3));
}

void StreamSimulation::startStream(bool IsPoison, ContentHash Hash) {
  const std::size_t Node = m_State.randomBelow(m_RequestPaths.size());
  if (!m_State.isRunning(Node))
    return;
  Stream ClientStream;
  ClientStream.m_Id = ++m_LastStreamId;
  ClientStream.m_Node = Node;
  ClientStream.m_ContentHash = Hash;
  ClientStream.m_IsPoison = IsPoison;
  ClientStream.m_Deployment = m_State.randomBelow(2) == 0 ? "large" : "small";
  ClientStream.m_TokenCount = 1 + m_State.randomBelow(60);
  ClientStream.m_Splicer = std::make_unique<StreamSplicer>(
      fmt::format("s{}", ClientStream.m_Id), MaxBuffered);
  ClientStream.m_StartedAt = m_State.m_Groups.nowMs();
  if (m_State.m_ShuttingDown[Node] || !m_State.mayAcceptNewWork(Node)) {
    m_State.m_EventLog.add("refused",
                           fmt::format("{} at n{}", ClientStream.m_Id, Node));
    return;
  }
  m_State.m_EventLog.add("stream",
                         fmt::format("{} at n{}", ClientStream.m_Id, Node));
  m_Streams.emplace(ClientStream.m_Id, std::move(ClientStream));
}

void StreamSimulation::advanceStreams() {
  for (auto Position = m_Streams.begin(); Position != m_Streams.end();) {
    const bool Ended = m_State.isRunning(Position->second.m_Node) &&
                       !advanceStream(Position->second);
    Position = Ended ? m_Streams.erase(Position) : std::next(Position);
  }
}

/// Runs one step of a stream: completes it, ends a stalled attempt or
/// dispatches the next attempt. Returns false if the stream has ended.
bool StreamSimulation::advanceStream(Stream &ClientStream) {
  const std::int64_t Now = m_State.m_Groups.nowMs();
  if (ClientStream.m_Splicer->isComplete()) {
    finishStream(ClientStream, true);
    return false;
  }
  if (!ClientStream.m_Group.empty() &&
      Now - ClientStream.m_LastProgressAt > AttemptStallMs) {
    // The node sent the request and has received no token for AttemptStallMs,
    // so the engine may have run the request.
    AttemptFacts Facts;
    Facts.m_BytesSent = 100;
    ClientStream.m_MayHaveRun |= classifyAttempt(Facts) != Outcome::NotRun;
    endAttempt(ClientStream, true);
  }
  if (!ClientStream.m_Group.empty())
    return true;
  if (Now - ClientStream.m_StartedAt > StreamTimeoutMs ||
      !dispatchAttempt(ClientStream)) {
    finishStream(ClientStream, false);
    return false;
  }
  return true;
}

/// Dispatches an attempt if the node may accept new work and finds a route.
/// Returns false if the stream is refused permanently.
bool StreamSimulation::dispatchAttempt(Stream &ClientStream) {
  RequestPath &Node = *m_RequestPaths[ClientStream.m_Node];
  const MonotonicTime Now = m_State.m_Groups.nodeTime(ClientStream.m_Node);
  if (!m_State.mayAcceptNewWork(ClientStream.m_Node))
    return true;
  const PoisonVerdict Verdict =
      Node.m_PoisonDetector.verdict(ClientStream.m_ContentHash, Now);
  if (Verdict == PoisonVerdict::Refuse)
    return false;
  const ConfigurationView &View =
      *m_State.m_Configuration.replica(ClientStream.m_Node).view();
  std::set<std::string> ZonesOut;
  for (const char *Zone : {"z0", "z1", "z2"})
    if (!View.isZoneInService(Zone))
      ZonesOut.insert(Zone);
  RouteRequest Request;
  Request.m_Deployment = ClientStream.m_Deployment;
  Request.m_PromptTokens = 10;
  Request.m_ExcludedGroups = ClientStream.m_TriedGroups;
  const auto Decision =
      Node.m_Router.route(Request, ZonesOut, Now, m_State.m_Groups.random());
  if (!Decision.ok()) {
    ClientStream.m_TriedGroups.clear();
    return true;
  }
  const std::string &Group = Decision->m_View->m_Group;
  if (Verdict == PoisonVerdict::Isolate &&
      !Node.m_PoisonDetector.beginIsolation(ClientStream.m_ContentHash,
                                            Group)) {
    Node.m_AdmissionGate.endAttempt(Group, Decision->m_UsesSlot, std::nullopt);
    return true;
  }
  sendRequest(ClientStream, *Decision);
  return true;
}

void StreamSimulation::sendRequest(Stream &ClientStream,
                                   const RouteDecision &Decision) {
  const GroupView &View = *Decision.m_View;
  ClientStream.m_Group = View.m_Group;
  ClientStream.m_UsesSlot = Decision.m_UsesSlot;
  ClientStream.m_LastProgressAt = m_State.m_Groups.nowMs();
  ClientStream.m_TriedGroups.insert(View.m_Group);
  m_RequestPaths[ClientStream.m_Node]->m_PoisonDetector.onDispatch(
      ClientStream.m_ContentHash, View.m_Group);
  EngineRequest Request;
  Request.m_StreamId = ClientStream.m_Id;
  Request.m_Attempt = ClientStream.m_Splicer->beginAttempt();
  Request.m_SenderNode = ClientStream.m_Node;
  Request.m_NextTokenIndex = ClientStream.m_Splicer->nextIndex();
  Request.m_TokenCount = ClientStream.m_TokenCount;
  Request.m_IsPoison = ClientStream.m_IsPoison;
  Request.m_SentDuringStoreOutage =
      m_State.m_Configuration.replica(ClientStream.m_Node)
          .freshness()
          .state(m_State.m_Configuration.now()) == Freshness::StoreOutage;
  Request.m_Group = View.m_Group;
  Request.m_Generation = View.m_Generation;
  Request.m_SentAt = m_State.m_Groups.nowMs();
  if (m_State.drawMessageLoss())
    return;
  const int StartCount = m_RequestPaths[ClientStream.m_Node]->m_NodeStartCount;
  m_State.m_Groups.scheduleAfter(
      m_State.randomMessageDelayMs(),
      [this, Vm = View.m_HeadAddress, Request, StartCount] {
        deliverRequest(Vm, Request, StartCount);
      });
}

void StreamSimulation::deliverRequest(const std::string &Vm,
                                      const EngineRequest &Request,
                                      int StartCount) {
  const FakeEngineServer::AcceptResult Response =
      m_EngineServers.at(Vm).accept(Request);
  if (Response == FakeEngineServer::AcceptResult::Accepted) {
    m_AcceptedStreams.insert(Request.m_StreamId);
    if (m_StreamsReportedNotRun.count(Request.m_StreamId) != 0)
      m_State.m_EventLog.recordViolation(
          "I6",
          fmt::format("stream {} was accepted after it was reported as not run",
                      Request.m_StreamId));
  }
  if (Response != FakeEngineServer::AcceptResult::NotRun)
    return;
  m_State.m_Groups.scheduleAfter(m_State.randomMessageDelayMs(), [this, Request,
                                                                  StartCount] {
    m_State.m_Groups.runWhenUnpaused(
        Request.m_SenderNode, StartCount,
        [this, Request] { onRefused(Request.m_StreamId, Request.m_Attempt); });
  });
}

void StreamSimulation::onRefused(std::uint64_t Id, std::uint32_t Attempt) {
  const auto Entry = m_Streams.find(Id);
  if (Entry == m_Streams.end() || Entry->second.m_Group.empty() ||
      Entry->second.m_Splicer->attempt() != Attempt)
    return;
  AttemptFacts Facts;
  Facts.m_BytesSent = 100;
  Facts.m_HttpStatus = 409;
  Facts.m_ReportedNotRun = true;
  Entry->second.m_MayHaveRun |= classifyAttempt(Facts) != Outcome::NotRun;
  endAttempt(Entry->second, false);
}

void StreamSimulation::produceTokens() {
  for (auto &[Vm, Server] : m_EngineServers) {
    const FakeEngine &Engine = m_State.m_Groups.engine(Vm);
    if (Server.isStalled() || !Engine.m_IsUp)
      continue;
    for (auto Position = Server.m_InFlight.begin();
         Position != Server.m_InFlight.end();) {
      EngineRequest &Request = Position->second;
      const bool IsFinal = Request.m_NextTokenIndex + 1 >= Request.m_TokenCount;
      if (!Engine.m_IsPartitioned)
        produceToken(Vm, Request, IsFinal);
      ++Request.m_NextTokenIndex;
      Server.m_CompletedRequests += IsFinal ? 1 : 0;
      Position =
          IsFinal ? Server.m_InFlight.erase(Position) : std::next(Position);
    }
  }
}

void StreamSimulation::produceToken(const std::string &Vm,
                                    EngineRequest &Request, bool IsFinal) {
  StreamChunk Chunk{fmt::format("s{}", Request.m_StreamId), Request.m_Attempt,
                    Request.m_NextTokenIndex,
                    payload(Request.m_StreamId, Request.m_NextTokenIndex),
                    IsFinal};
  // Simulates a reused connection that delivers a chunk of another request.
  if (m_State.m_Groups.drawWithProbability(ForeignChunkProbability))
    Chunk.m_RequestId = "s0";
  if (m_State.drawMessageLoss())
    return;
  const int StartCount = m_RequestPaths[Request.m_SenderNode]->m_NodeStartCount;
  const auto DeliverChunk = [this, Id = Request.m_StreamId,
                             Node = Request.m_SenderNode, StartCount, Chunk,
                             StartId = m_EngineServers.at(Vm).startId()] {
    m_State.m_Groups.runWhenUnpaused(
        Node, StartCount, [=] { onChunk(Id, StartCount, Chunk, StartId); });
  };
  m_State.m_Groups.scheduleAfter(m_State.randomMessageDelayMs(), DeliverChunk);
  if (m_State.m_Groups.drawWithProbability(0.01))
    m_State.m_Groups.scheduleAfter(m_State.randomMessageDelayMs(),
                                   DeliverChunk);
}

void StreamSimulation::onChunk(std::uint64_t Id, int StartCount,
                               const StreamChunk &Chunk,
                               const std::string &StartId) {
  const auto Entry = m_Streams.find(Id);
  if (Entry == m_Streams.end())
    return;
  Stream &ClientStream = Entry->second;
  if (m_RequestPaths[ClientStream.m_Node]->m_NodeStartCount != StartCount)
    return;
  if (Chunk.m_Attempt == ClientStream.m_Splicer->attempt() &&
      !ClientStream.m_Group.empty()) {
    m_RequestPaths[ClientStream.m_Node]->m_SlotHolder.onStartId(
        ClientStream.m_Group, StartId);
    ClientStream.m_MayHaveRun = true;
  }
  const SpliceResult Result = ClientStream.m_Splicer->accept(Chunk);
  for (const std::string &Text : Result.m_DeliverablePayloads) {
    if (Text != payload(Id, ClientStream.m_ReceivedTokens))
      m_State.m_EventLog.recordViolation(
          "I5", fmt::format("stream {} received '{}' as token {}", Id, Text,
                            ClientStream.m_ReceivedTokens));
    ++ClientStream.m_ReceivedTokens;
    ClientStream.m_LastProgressAt = m_State.m_Groups.nowMs();
  }
}

/// Ends the current attempt without success. \p IsBroken: the connection broke
/// or the attempt stalled, so the failure counts for outlier ejection.
void StreamSimulation::endAttempt(Stream &ClientStream, bool IsBroken) {
  RequestPath &Node = *m_RequestPaths[ClientStream.m_Node];
  const MonotonicTime Now = m_State.m_Groups.nodeTime(ClientStream.m_Node);
  if (IsBroken) {
    Node.m_SlotHolder.onConnectionLost(ClientStream.m_Group);
    Node.m_OutlierTracker.onFailure(ClientStream.m_Group, 0, Now);
  }
  Node.m_AdmissionGate.endAttempt(ClientStream.m_Group, ClientStream.m_UsesSlot,
                                  std::nullopt);
  Node.m_PoisonDetector.onInconclusiveEnd(ClientStream.m_ContentHash,
                                          ClientStream.m_Group);
  closeConnection(ClientStream);
  m_State.m_EventLog.add(
      "attempt ended",
      fmt::format("{} at {}", ClientStream.m_Id, ClientStream.m_Group));
  ClientStream.m_Group.clear();
}

/// Closes the connection of the current attempt, which makes the engine cancel
/// it. A partitioned or stalled engine does not detect the closed connection.
void StreamSimulation::closeConnection(const Stream &ClientStream) {
  const auto Key =
      std::make_pair(ClientStream.m_Id, ClientStream.m_Splicer->attempt());
  m_State.m_Groups.scheduleAfter(m_State.randomMessageDelayMs(), [this, Key] {
    for (auto &[Vm, Server] : m_EngineServers)
      if (!m_State.m_Groups.engine(Vm).m_IsPartitioned && !Server.isStalled())
        Server.m_InFlight.erase(Key);
  });
}

void StreamSimulation::finishStream(Stream &ClientStream, bool IsComplete) {
  RequestPath &Node = *m_RequestPaths[ClientStream.m_Node];
  const MonotonicTime Now = m_State.m_Groups.nodeTime(ClientStream.m_Node);
  if (IsComplete) {
    if (ClientStream.m_ReceivedTokens != ClientStream.m_TokenCount)
      m_State.m_EventLog.recordViolation(
          "I5", fmt::format("stream {} ended after {} of {} tokens",
                            ClientStream.m_Id, ClientStream.m_ReceivedTokens,
                            ClientStream.m_TokenCount));
    if (!ClientStream.m_Group.empty()) {
      Node.m_AdmissionGate.endAttempt(ClientStream.m_Group,
                                      ClientStream.m_UsesSlot, std::nullopt);
      Node.m_OutlierTracker.onSuccess(ClientStream.m_Group, 0, Now);
      Node.m_PoisonDetector.onCompleted(ClientStream.m_ContentHash,
                                        ClientStream.m_Group, Now);
    }
    m_State.m_EventLog.add("complete", fmt::format("{}", ClientStream.m_Id));
    return;
  }
  m_State.m_EventLog.add(ClientStream.m_MayHaveRun ? "unknown" : "not run",
                         fmt::format("{}", ClientStream.m_Id));
  if (ClientStream.m_MayHaveRun)
    return;
  m_StreamsReportedNotRun.insert(ClientStream.m_Id);
  if (m_AcceptedStreams.count(ClientStream.m_Id) != 0)
    m_State.m_EventLog.recordViolation(
        "I6", fmt::format("stream {} was reported as not run but was accepted",
                          ClientStream.m_Id));
}

void StreamSimulation::crashEnginesOfPoisonRequests() {
  for (auto &[Vm, Server] : m_EngineServers) {
    std::uint64_t PoisonStream = 0;
    std::string Group;
    for (const auto &[Key, Request] : Server.m_InFlight)
      if (Request.m_IsPoison) {
        PoisonStream = Request.m_StreamId;
        Group = Request.m_Group;
      }
    if (PoisonStream == 0)
      continue;
    m_State.m_EventLog.add("poison crash",
                           fmt::format("{} by {}", Vm, PoisonStream));
    const auto CrashCount = ++m_PoisonCrashes[PoisonStream];
    if (CrashCount > MaxPoisonCrashes)
      m_State.m_EventLog.recordViolation(
          "poison", fmt::format("poison stream {} crashed {} engines",
                                PoisonStream, CrashCount));
    m_State.m_Groups.crashEngine(Vm, 0.5, false);
    m_State.m_FaultEndsAt[Vm] = m_State.m_Groups.nowMs() + 500;
    onServerCrash(Group);
  }
}

/// Informs the poison detector of every running node of the crash, and breaks
/// the connections of all streams of the group.
void StreamSimulation::onServerCrash(const std::string &Group) {
  for (std::size_t Index = 0; Index < m_RequestPaths.size(); ++Index)
    if (m_State.m_Configuration.isUp(Index))
      m_RequestPaths[Index]->m_PoisonDetector.onServerCrash(
          Group, m_State.m_Groups.nodeTime(Index));
  for (auto &[Id, ClientStream] : m_Streams)
    if (ClientStream.m_Group == Group) {
      ClientStream.m_MayHaveRun = true;
      endAttempt(ClientStream, true);
    }
}

} // namespace fulmarwinch
