#include "randomised/fake_head.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::int64_t ColdMs = 3000;
constexpr std::int64_t RampStepMs = 250;
/// A cold phase without a restart is reported within 2 s, and a request that
/// was sent before the report may be in transit for another 2 s.
constexpr std::int64_t UnreportedColdMs = 4000;
/// Sum of the maximum age of a report (1 s), the expiry time of a view (1.5 s)
/// and one step of each clock.
constexpr std::int64_t MaxMemberSilenceMs = 2600;
/// I4 and I8: time after a zone or VM was taken out of service within which the
/// engine may still receive new work.
constexpr std::int64_t NewWorkGraceMs = 3000;
} // namespace

std::string FakeHead::startId() const {
  return fmt::format("{}-{}", m_Vm, m_State.m_World.engine(m_Vm).m_Starts);
}

void FakeHead::follow() {
  FakeEngine &Engine = m_State.m_World.engine(m_Vm);
  const bool RequestsLost = !Engine.m_Up || Engine.m_Starts != m_Starts ||
                            Engine.m_State != EngineState::Ready;
  if (RequestsLost && !m_InFlight.empty()) {
    m_InFlight.clear();
    ++m_Life;
  }
  if (Engine.m_Starts != m_Starts)
    m_Completed = 0;
  if (Engine.m_State == EngineState::Ready &&
      (Engine.m_LoadedAt != m_LoadedAt || Engine.m_Starts != m_Starts)) {
    m_LoadedAt = Engine.m_LoadedAt;
    m_ColdSince = m_LoadedAt;
    m_WarmingSince = m_State.m_World.now() + ColdMs;
    m_IsSilentTurn = false;
  }
  m_Starts = Engine.m_Starts;
  Engine.m_Running = m_InFlight.size();
}

void FakeHead::turnCold() {
  m_ColdSince = m_State.m_World.now();
  m_WarmingSince = m_ColdSince + 2 * ColdMs;
  m_IsSilentTurn = true;
}

void FakeHead::stallFor(std::int64_t Milliseconds) {
  m_StalledUntil = m_State.m_World.now() + Milliseconds;
}

bool FakeHead::isStalled() const {
  return m_State.m_World.now() < m_StalledUntil;
}

ServerReport FakeHead::report(const std::string &Group) const {
  const FakeEngine &Engine = m_State.m_World.engine(m_Vm);
  ServerReport Report;
  Report.m_Server = Group;
  Report.m_StartId = startId();
  Report.m_Running = m_InFlight.size();
  Report.m_Completed = m_Completed;
  Report.m_Cold = isCold() || Engine.m_State != EngineState::Ready;
  Report.m_ColdCapacity = ColdCapacity;
  Report.m_WarmCapacity = WarmCapacity;
  return Report;
}

FakeHead::Answer FakeHead::accept(EngineRequest Request) {
  FakeEngine &Engine = m_State.m_World.engine(m_Vm);
  if (!Engine.m_Up || Engine.m_Partitioned)
    return Answer::Silent;
  follow();
  if (Engine.m_State != EngineState::Ready || Engine.m_DrainingRole ||
      Engine.m_Group != Request.m_Group ||
      Engine.m_Generation != Request.m_Generation) {
    m_State.m_Log.add("engine refusal", m_Vm);
    return Answer::NotRun;
  }
  Request.m_AcceptedAt = m_State.m_World.now();
  m_State.m_Log.add("accept", fmt::format("{}.{} at {}", Request.m_Stream,
                                          Request.m_Attempt, m_Vm));
  checkMembers(Request);
  checkPlace(Request);
  m_InFlight[{Request.m_Stream, Request.m_Attempt}] = Request;
  Engine.m_Running = m_InFlight.size();
  checkLoad();
  return Answer::Accepted;
}

void FakeHead::checkMembers(const EngineRequest &Request) const {
  for (const auto &[Domain, Stored] : m_State.m_World.stored()) {
    const auto Group = Stored.m_Groups.find(Request.m_Group);
    if (Group == Stored.m_Groups.end() ||
        Group->second.m_Generation != Request.m_Generation)
      continue;
    for (const GroupMember &Member : Group->second.m_Members) {
      const auto &ReadyAt = m_State.m_World.engine(Member.m_Vm).m_ReadyAt;
      const auto LastReady =
          ReadyAt.find({Request.m_Group, Request.m_Generation});
      const std::int64_t SilenceMs = LastReady == ReadyAt.end()
                                         ? Request.m_SentAt
                                         : Request.m_SentAt - LastReady->second;
      if (SilenceMs > MaxMemberSilenceMs)
        m_State.m_Log.violate(
            "I1", fmt::format("{} accepted work {} ms after {} was ready",
                              Request.m_Group, SilenceMs, Member.m_Vm));
    }
  }
}

void FakeHead::checkPlace(const EngineRequest &Request) const {
  // If only some nodes reach the object store, a node that detected an outage
  // cannot receive configuration changes (design 4.4, residual risk).
  if (Request.m_InOutage)
    return;
  const std::int64_t Now = m_State.m_World.now();
  const std::string Zone = "z" + m_Vm.substr(1, 1);
  const auto OutSince = m_State.m_ZoneOutSince.find(Zone);
  if (OutSince != m_State.m_ZoneOutSince.end() &&
      Now - OutSince->second > NewWorkGraceMs)
    m_State.m_Log.violate("I4",
                          fmt::format("{} accepted new work {} ms after {} "
                                      "was taken out of service",
                                      m_Vm, Now - OutSince->second, Zone));
  const auto DrainedSince = m_State.m_DrainedSince.find(m_Vm);
  if (DrainedSince != m_State.m_DrainedSince.end() &&
      Now - DrainedSince->second > NewWorkGraceMs)
    m_State.m_Log.violate(
        "I8", fmt::format("{} accepted new work {} ms after its drain", m_Vm,
                          Now - DrainedSince->second));
}

std::size_t FakeHead::bearable() const {
  const std::int64_t Now = m_State.m_World.now();
  std::size_t Capacity = ColdCapacity;
  for (std::int64_t At = m_WarmingSince + RampStepMs;
       At <= Now && Capacity < WarmCapacity; At += RampStepMs)
    Capacity *= 2;
  return std::min(Capacity, WarmCapacity);
}

void FakeHead::checkLoad() const {
  const std::size_t Capacity = bearable();
  if (Capacity >= WarmCapacity)
    return;
  const std::int64_t CountedSince =
      m_IsSilentTurn ? m_ColdSince + UnreportedColdMs : m_ColdSince;
  const auto CountedRequests = std::count_if(
      m_InFlight.begin(), m_InFlight.end(), [&](const auto &Entry) {
        return Entry.second.m_AcceptedAt > CountedSince;
      });
  if (static_cast<std::size_t>(CountedRequests) > Capacity)
    m_State.m_Log.violate(
        "I3", fmt::format("{} has capacity {} and {} requests in flight", m_Vm,
                          Capacity, CountedRequests));
}

} // namespace fulmarwinch
