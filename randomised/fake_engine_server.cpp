#include "randomised/fake_engine_server.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::int64_t ColdMs = 3000;
constexpr std::int64_t RampStepMs = 250;
/// I3: time after the start of a cold phase without a restart in which accepted
/// requests do not count against the cold capacity. The nodes get the report
/// within 2 s, and a request sent before the report may be in transit for
/// another 2 s.
constexpr std::int64_t UnreportedColdMs = 4000;
/// I1: longest time for which a node may still send requests to a group after
/// one of its members was last ready. It is the sum of the maximum age of a
/// report (1 s), the expiry time of a view (1.5 s) and one step of each clock.
constexpr std::int64_t MaxMemberSilenceMs = 2600;
/// I4 and I8: time after a zone or VM was taken out of service within which the
/// engine may still receive new work.
constexpr std::int64_t NewWorkGraceMs = 3000;
} // namespace

std::string FakeEngineServer::startId() const {
  return fmt::format("{}-{}", m_Vm, m_State.m_Groups.engine(m_Vm).m_StartCount);
}

void FakeEngineServer::syncWithEngine() {
  FakeEngine &Engine = m_State.m_Groups.engine(m_Vm);
  const bool RequestsLost = !Engine.m_IsUp ||
                            Engine.m_StartCount != m_SeenStartCount ||
                            Engine.m_State != EngineState::Ready;
  if (RequestsLost && !m_InFlight.empty()) {
    m_InFlight.clear();
    ++m_InFlightLosses;
  }
  if (Engine.m_StartCount != m_SeenStartCount)
    m_CompletedRequests = 0;
  if (Engine.m_State == EngineState::Ready &&
      (Engine.m_ReadySince != m_SeenReadySince ||
       Engine.m_StartCount != m_SeenStartCount)) {
    m_SeenReadySince = Engine.m_ReadySince;
    m_ColdSince = m_SeenReadySince;
    m_WarmingSince = m_State.m_Groups.nowMs() + ColdMs;
    m_IsUnreportedColdPhase = false;
  }
  m_SeenStartCount = Engine.m_StartCount;
  Engine.m_RunningRequests = m_InFlight.size();
}

void FakeEngineServer::startColdPhase() {
  m_ColdSince = m_State.m_Groups.nowMs();
  m_WarmingSince = m_ColdSince + 2 * ColdMs;
  m_IsUnreportedColdPhase = true;
}

void FakeEngineServer::stallFor(std::int64_t Milliseconds) {
  m_StalledUntil = m_State.m_Groups.nowMs() + Milliseconds;
}

bool FakeEngineServer::isStalled() const {
  return m_State.m_Groups.nowMs() < m_StalledUntil;
}

ServerReport FakeEngineServer::report(const std::string &Group) const {
  const FakeEngine &Engine = m_State.m_Groups.engine(m_Vm);
  ServerReport Report;
  Report.m_Server = Group;
  Report.m_StartId = startId();
  Report.m_Running = m_InFlight.size();
  Report.m_Completed = m_CompletedRequests;
  Report.m_Cold = isCold() || Engine.m_State != EngineState::Ready;
  Report.m_ColdCapacity = ColdCapacity;
  Report.m_WarmCapacity = WarmCapacity;
  return Report;
}

FakeEngineServer::AcceptResult FakeEngineServer::accept(EngineRequest Request) {
  FakeEngine &Engine = m_State.m_Groups.engine(m_Vm);
  if (!Engine.m_IsUp || Engine.m_IsPartitioned)
    return AcceptResult::NoResponse;
  syncWithEngine();
  if (Engine.m_State != EngineState::Ready || Engine.m_IsDraining ||
      Engine.m_Group != Request.m_Group ||
      Engine.m_Generation != Request.m_Generation) {
    m_State.m_EventLog.add("engine refusal", m_Vm);
    return AcceptResult::NotRun;
  }
  Request.m_AcceptedAt = m_State.m_Groups.nowMs();
  m_State.m_EventLog.add(
      "accept",
      fmt::format("{}.{} at {}", Request.m_StreamId, Request.m_Attempt, m_Vm));
  checkMembersReady(Request);
  checkZoneAndDrain(Request);
  m_InFlight[{Request.m_StreamId, Request.m_Attempt}] = Request;
  Engine.m_RunningRequests = m_InFlight.size();
  checkColdCapacity();
  return AcceptResult::Accepted;
}

void FakeEngineServer::checkMembersReady(const EngineRequest &Request) const {
  for (const auto &[Domain, Stored] : m_State.m_Groups.storedAssignments()) {
    const auto Group = Stored.m_Groups.find(Request.m_Group);
    if (Group == Stored.m_Groups.end() ||
        Group->second.m_Generation != Request.m_Generation)
      continue;
    for (const GroupMember &Member : Group->second.m_Members) {
      const auto &ReadyAt = m_State.m_Groups.engine(Member.m_Vm).m_LastReadyAt;
      const auto LastReady =
          ReadyAt.find({Request.m_Group, Request.m_Generation});
      const std::int64_t SilenceMs = LastReady == ReadyAt.end()
                                         ? Request.m_SentAt
                                         : Request.m_SentAt - LastReady->second;
      if (SilenceMs > MaxMemberSilenceMs)
        m_State.m_EventLog.recordViolation(
            "I1", fmt::format("{} accepted work {} ms after {} was ready",
                              Request.m_Group, SilenceMs, Member.m_Vm));
    }
  }
}

void FakeEngineServer::checkZoneAndDrain(const EngineRequest &Request) const {
  // Exempts requests of a node that had detected a store outage: if other nodes
  // still reach the object store, they may accept configuration changes that
  // this node cannot receive (design 4.4, residual risk).
  if (Request.m_SentDuringStoreOutage)
    return;
  const std::int64_t Now = m_State.m_Groups.nowMs();
  const std::string Zone = "z" + m_Vm.substr(1, 1);
  const auto OutSince = m_State.m_ZoneOutSince.find(Zone);
  if (OutSince != m_State.m_ZoneOutSince.end() &&
      Now - OutSince->second > NewWorkGraceMs)
    m_State.m_EventLog.recordViolation(
        "I4", fmt::format("{} accepted new work {} ms after {} "
                          "was taken out of service",
                          m_Vm, Now - OutSince->second, Zone));
  const auto DrainedSince = m_State.m_VmDrainedSince.find(m_Vm);
  if (DrainedSince != m_State.m_VmDrainedSince.end() &&
      Now - DrainedSince->second > NewWorkGraceMs)
    m_State.m_EventLog.recordViolation(
        "I8", fmt::format("{} accepted new work {} ms after its drain", m_Vm,
                          Now - DrainedSince->second));
}

std::size_t FakeEngineServer::currentCapacity() const {
  const std::int64_t Now = m_State.m_Groups.nowMs();
  std::size_t Capacity = ColdCapacity;
  for (std::int64_t At = m_WarmingSince + RampStepMs;
       At <= Now && Capacity < WarmCapacity; At += RampStepMs)
    Capacity *= 2;
  return std::min(Capacity, WarmCapacity);
}

void FakeEngineServer::checkColdCapacity() const {
  const std::size_t Capacity = currentCapacity();
  if (Capacity >= WarmCapacity)
    return;
  const std::int64_t CountedSince =
      m_IsUnreportedColdPhase ? m_ColdSince + UnreportedColdMs : m_ColdSince;
  const auto CountedRequests = std::count_if(
      m_InFlight.begin(), m_InFlight.end(), [&](const auto &Entry) {
        return Entry.second.m_AcceptedAt > CountedSince;
      });
  if (static_cast<std::size_t>(CountedRequests) > Capacity)
    m_State.m_EventLog.recordViolation(
        "I3", fmt::format("{} has capacity {} and {} requests in flight", m_Vm,
                          Capacity, CountedRequests));
}

} // namespace fulmarwinch
