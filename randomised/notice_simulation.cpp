#include "randomised/notice_simulation.h"

#include "fmt/format.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t ServerCount = 6;
constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::max();
constexpr double FaultProbability = 0.03;
constexpr double RequestProbability = 0.4;
constexpr double EntryChangeProbability = 0.02;
/// Probability that a node reads the store's entries in one step.
constexpr double ReadProbability = 0.3;
constexpr std::int64_t DrainMs = 2000;
/// Time after which a pause holds that a node was told.
constexpr std::int64_t PauseReactionMs = 500;
constexpr unsigned MaxArrivalsInPause = 2;
/// Probability that a fault is a restoration of the store.
constexpr double RestorationProbability = 0.05;
constexpr std::int64_t CopyPeriodMs = 1000;
constexpr std::size_t MaxCopies = 9;
/// Time within which a living server writes its entry again after a
/// restoration, and times after which the entry of one that has ended is
/// removed and a node takes the store's state for the latest.
constexpr std::int64_t WriteAgainMs = 1200;
constexpr std::int64_t EntryRemovalMs = 3600;
constexpr std::int64_t RestorationMs = 4000;
constexpr const char *ServiceName = "plain";

} // namespace

NoticeSimulation::NoticeSimulation(SimulationState &State, std::uint64_t Seed,
                                   bool HasFaults)
    : m_State(State), m_Random(Seed), m_HasFaults(HasFaults),
      m_Servers(ServerCount), m_Nodes(State.m_Groups.nodeCount()) {
  m_Service.m_Name = ServiceName;
  for (Server &Started : m_Servers)
    startServer(Started, false);
}

std::int64_t NoticeSimulation::randomMs(std::int64_t Most) {
  return std::uniform_int_distribution<std::int64_t>(0, Most)(m_Random);
}

bool NoticeSimulation::drawWithProbability(double Probability) {
  return std::bernoulli_distribution(Probability)(m_Random);
}

NoticeSimulation::Pair NoticeSimulation::pairOf(const Exchange &Sent) {
  return {Sent.m_Node, Sent.m_NodeStart, Sent.m_Server.m_Id,
          Sent.m_Server.m_StartedAtMs};
}

void NoticeSimulation::startServer(Server &Started, bool KeepsId) {
  ++m_StartedProcesses;
  const std::string Id =
      KeepsId ? Started.m_Id : fmt::format("p{}", m_StartedProcesses);
  Started = Server();
  Started.m_Id = Id;
  Started.m_StartedAtMs = static_cast<std::int64_t>(m_StartedProcesses);
  Started.m_IsUp = true;
  Started.m_StoresLeavingAtMs = Started.m_EndsAtMs = Started.m_StartsAtMs =
      Started.m_WritesAgainAtMs = Never;
  storeEntry(Started);
}

void NoticeSimulation::storeEntry(Server &Stored) {
  BackendServer Entry;
  Entry.m_Id = Stored.m_Id;
  Entry.m_Service = ServiceName;
  Entry.m_Zone = "a";
  Entry.m_Slots = 64;
  Entry.m_StartedAtMs = Stored.m_StartedAtMs;
  Entry.m_Draining = Stored.m_HasStoredLeaving;
  Entry.m_ReportNumber = ++Stored.m_Reports;
  Entry.m_Position = {m_Era, ++m_Revision};
  m_StoreEntries[Stored.m_Id] = Entry;
}

void NoticeSimulation::restoreStore() {
  if (m_Copies.empty())
    return;
  const StoreCopy &Copy = m_Copies[m_Random() % m_Copies.size()];
  ++m_Era;
  m_Revision = Copy.m_Revision;
  m_StoreEntries = Copy.m_Entries;
  for (auto &[Id, Entry] : m_StoreEntries)
    Entry.m_Position.m_Era = m_Era;
  m_Copies.clear();
  const std::int64_t Now = m_State.m_Groups.nowMs();
  for (Server &Current : m_Servers)
    if (Current.m_IsUp)
      Current.m_WritesAgainAtMs = Now + randomMs(WriteAgainMs);
  m_RestorationEndsAtMs = Now + EntryRemovalMs;
  m_State.m_EventLog.count("notice restoration");
}

void NoticeSimulation::endRestoration() {
  m_RestorationEndsAtMs = Never;
  for (auto Entry = m_StoreEntries.begin(); Entry != m_StoreEntries.end();) {
    const bool IsAlive = std::any_of(
        m_Servers.begin(), m_Servers.end(), [&](const Server &Current) {
          return Current.m_IsUp && Current.m_Id == Entry->first;
        });
    Entry = IsAlive ? std::next(Entry) : m_StoreEntries.erase(Entry);
  }
}

void NoticeSimulation::step() {
  const std::int64_t Now = m_State.m_Groups.nowMs();
  if (Now >= m_NextCopyAtMs) {
    m_NextCopyAtMs = Now + CopyPeriodMs;
    m_Copies.push_back({m_Revision, m_StoreEntries});
    if (m_Copies.size() > MaxCopies)
      m_Copies.pop_front();
  }
  if (Now >= m_RestorationEndsAtMs)
    endRestoration();
  if (m_HasFaults && drawWithProbability(FaultProbability))
    injectFault();
  advanceServers();
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    advanceNode(Index);
  for (std::size_t Index = 0; Index < m_Exchanges.size();) {
    if (!advanceExchange(m_Exchanges[Index])) {
      ++Index;
      continue;
    }
    m_Exchanges[Index] = m_Exchanges.back();
    m_Exchanges.pop_back();
  }
}

void NoticeSimulation::injectFault() {
  const std::int64_t Now = m_State.m_Groups.nowMs();
  Server &Target = m_Servers[m_Random() % m_Servers.size()];
  if (drawWithProbability(RestorationProbability)) {
    restoreStore();
    return;
  }
  if (!Target.m_IsUp || Target.m_IsLeaving)
    return;
  if (drawWithProbability(0.5)) {
    Target.m_PausesUntilMs = Now + 500 + randomMs(4500);
    m_State.m_EventLog.count("notice pause");
    return;
  }
  Target.m_IsLeaving = true;
  Target.m_EndsAtMs = Now + DrainMs + randomMs(10000);
  Target.m_StoresLeavingAtMs =
      drawWithProbability(0.3) ? Never : Now + randomMs(5000);
  m_State.m_EventLog.count("notice leaving");
}

void NoticeSimulation::advanceServers() {
  const std::int64_t Now = m_State.m_Groups.nowMs();
  for (Server &Current : m_Servers) {
    if (Current.m_IsUp && Now >= Current.m_StoresLeavingAtMs) {
      Current.m_StoresLeavingAtMs = Never;
      Current.m_HasStoredLeaving = true;
      storeEntry(Current);
    }
    if (Current.m_IsUp && Now >= Current.m_WritesAgainAtMs) {
      Current.m_WritesAgainAtMs = Never;
      storeEntry(Current);
    }
    // An entry also changes for other reasons, while it still says that the
    // server serves.
    if (Current.m_IsUp && drawWithProbability(EntryChangeProbability))
      storeEntry(Current);
    if (Current.m_IsUp && Now >= Current.m_EndsAtMs) {
      Current.m_IsUp = false;
      Current.m_EndsAtMs = Never;
      Current.m_StartsAtMs = Now + randomMs(2000);
      // The entry of a server that ended may stay.
      if (drawWithProbability(0.5))
        m_StoreEntries.erase(Current.m_Id);
    }
    if (!Current.m_IsUp && Now >= Current.m_StartsAtMs) {
      const std::string LastId = Current.m_Id;
      const bool KeepsId = drawWithProbability(0.3);
      startServer(Current, KeepsId);
      if (!KeepsId)
        m_StoreEntries.erase(LastId);
    }
  }
}

void NoticeSimulation::advanceNode(std::size_t Index) {
  Node &Current = m_Nodes[Index];
  const int StartCount = m_State.m_Groups.nodeStartCount(Index);
  const bool IsNew = Current.m_StartCount != StartCount;
  if (IsNew) {
    AvailabilitySettings Settings;
    Settings.m_RandomSeed = m_Random();
    Current.m_StartCount = StartCount;
    Current.m_Era = m_Era;
    Current.m_RestoredAtMs = -RestorationMs;
    Current.m_Fleet = std::make_unique<FleetView>();
    Current.m_Selector =
        std::make_unique<ServerSelector>(SelectorSettings(), Settings);
  }
  if (!m_State.isRunning(Index))
    return;
  const bool ReachesStore =
      !m_State.m_IsStoreUnavailable && m_State.m_NodePartitions[Index] == 0;
  if (ReachesStore && (IsNew || drawWithProbability(ReadProbability)))
    readStore(Index);
  Current.m_Fleet->removeMissing(m_State.m_Groups.nodeTime(Index));
  while (drawWithProbability(RequestProbability))
    sendRequest(Index);
}

void NoticeSimulation::readStore(std::size_t Index) {
  Node &Reader = m_Nodes[Index];
  const std::int64_t Now = m_State.m_Groups.nowMs();
  if (Reader.m_Era != m_Era) {
    Reader.m_Era = m_Era;
    Reader.m_RestoredAtMs = Now;
  }
  std::vector<BackendServer> Entries;
  for (const auto &[Id, Entry] : m_StoreEntries) {
    Entries.push_back(Entry);
    if (Entry.m_Draining)
      m_ReadLeavingAtMs.emplace(
          Pair{Index, Reader.m_StartCount, Id, Entry.m_StartedAtMs}, Now);
  }
  Reader.m_Fleet->replaceAll(
      std::move(Entries), m_State.m_Groups.nodeTime(Index),
      Now - Reader.m_RestoredAtMs < RestorationMs ? ListingTrust::MayBeOutdated
                                                  : ListingTrust::Latest);
}

void NoticeSimulation::sendRequest(std::size_t Index) {
  Node &Sender = m_Nodes[Index];
  ServerQuery Query;
  Query.m_Service = &m_Service;
  Query.m_Now = m_State.m_Groups.nodeTime(Index);
  Query.m_RandomDraw = std::uniform_real_distribution<double>(0, 1)(m_Random);
  const auto Chosen = Sender.m_Selector->choose(*Sender.m_Fleet, Query);
  if (!Chosen)
    return;
  Sender.m_Selector->onDispatched(Chosen->m_Id, Query.m_Now);
  Exchange Sent;
  Sent.m_Node = Index;
  Sent.m_NodeStart = Sender.m_StartCount;
  Sent.m_Server = *Chosen;
  Sent.m_SentByClientAtMs = m_State.m_Groups.nowMs();
  Sent.m_ArrivesAtMs = Sent.m_SentByClientAtMs + randomMs(200);
  m_Exchanges.push_back(Sent);
}

bool NoticeSimulation::advanceExchange(Exchange &Current) {
  Node &Sender = m_Nodes[Current.m_Node];
  const std::int64_t NowMs = m_State.m_Groups.nowMs();
  // The connections of a process end with it.
  if (Sender.m_StartCount != Current.m_NodeStart)
    return true;
  if (!m_State.isRunning(Current.m_Node))
    return false;
  const MonotonicTime Now = m_State.m_Groups.nodeTime(Current.m_Node);
  if (!Current.m_HasArrived) {
    if (NowMs < Current.m_ArrivesAtMs)
      return false;
    const auto Receiver = std::find_if(
        m_Servers.begin(), m_Servers.end(), [&](const Server &Candidate) {
          return Candidate.m_IsUp && Candidate.m_Id == Current.m_Server.m_Id &&
                 Candidate.m_StartedAtMs == Current.m_Server.m_StartedAtMs;
        });
    if (Receiver != m_Servers.end() &&
        Sender.m_Selector->availability().tryAcquire(*Sender.m_Fleet,
                                                     Current.m_Server, Now)) {
      arrive(Current, *Receiver);
      return false;
    }
    Sender.m_Selector->onRequestEnded(Current.m_Server.m_Id);
    return true;
  }
  if (NowMs < Current.m_RespondsAtMs)
    return false;
  passOn(Current, Sender, Now);
  return true;
}

void NoticeSimulation::arrive(Exchange &Current, Server &Receiver) {
  const std::int64_t Now = m_State.m_Groups.nowMs();
  const Pair Processes = pairOf(Current);
  const auto Noticed = m_NoticedAtMs.find(Processes);
  if (Noticed != m_NoticedAtMs.end() &&
      Current.m_SentByClientAtMs > Noticed->second + DrainMs)
    m_State.m_EventLog.recordViolation(
        "leaving", fmt::format("{} got a request from n{} that a client sent "
                               "{} ms after its notice",
                               Receiver.m_Id, Current.m_Node,
                               Current.m_SentByClientAtMs - Noticed->second));
  const auto ReadLeaving = m_ReadLeavingAtMs.find(Processes);
  if (ReadLeaving != m_ReadLeavingAtMs.end() &&
      Current.m_SentByClientAtMs > ReadLeaving->second + DrainMs)
    m_State.m_EventLog.recordViolation(
        "store leaving",
        fmt::format("{} got a request from n{} that a client sent {} ms after "
                    "the node had read that it leaves",
                    Receiver.m_Id, Current.m_Node,
                    Current.m_SentByClientAtMs - ReadLeaving->second));
  for (Pause &Told : m_Pauses[Processes])
    if (Now > Told.m_ToldAtMs + PauseReactionMs && Now < Told.m_UntilMs &&
        ++Told.m_Arrivals > MaxArrivalsInPause)
      m_State.m_EventLog.recordViolation(
          "pause", fmt::format("{} got {} requests from n{} in its pause",
                               Receiver.m_Id, Told.m_Arrivals, Current.m_Node));
  const bool IsPausing = Now < Receiver.m_PausesUntilMs;
  Current.m_HasArrived = true;
  Current.m_RespondsAtMs = Now + (IsPausing ? 10 : 50 + randomMs(1500));
  Current.m_IsLeaving = Receiver.m_IsLeaving;
  Current.m_PausesUntilMs = IsPausing ? Receiver.m_PausesUntilMs : 0;
  m_State.m_EventLog.count("notice request");
}

void NoticeSimulation::passOn(const Exchange &Ended, Node &Receiver,
                              MonotonicTime Now) {
  const std::int64_t NowMs = m_State.m_Groups.nowMs();
  const std::string &Id = Ended.m_Server.m_Id;
  ServerAvailability &Availability = Receiver.m_Selector->availability();
  Receiver.m_Selector->onRequestEnded(Id);
  if (Ended.m_IsLeaving) {
    Receiver.m_Fleet->setLeaving(Id, Ended.m_Server.m_StartedAtMs);
    m_NoticedAtMs.emplace(pairOf(Ended), NowMs);
  }
  if (Ended.m_PausesUntilMs > NowMs) {
    Availability.onPauseRequested(
        Ended.m_Server, milliseconds(Ended.m_PausesUntilMs - NowMs), Now);
    Availability.onNoFreeSlot(Id, Now);
    m_Pauses[pairOf(Ended)].push_back({NowMs, Ended.m_PausesUntilMs});
  } else if (Ended.m_PausesUntilMs == 0) {
    Availability.onOutput(Id, Now);
    Availability.onResponseReceived(Id);
  }
}

} // namespace fulmarwinch
