#include "randomised/fake_head.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::int64_t ColdMs = 3000;
constexpr std::int64_t RampStepMs = 250;
/// A silent turn shows itself within the notice bound (2 s), and a request
/// sent before may take the transit bound (2 s).
constexpr std::int64_t SilentTurnMs = 4000;
/// Age of a report (1 s), expiry of a view (1.5 s) and one step of each clock.
constexpr std::int64_t MemberBoundMs = 2600;
/// I4 and I8.
constexpr std::int64_t NoNewWorkMs = 3000;
} // namespace

std::string FakeHead::startId() const {
  return fmt::format("{}-{}", m_Vm, m_State.m_World.engine(m_Vm).m_Starts);
}

void FakeHead::follow() {
  FakeEngine &Engine = m_State.m_World.engine(m_Vm);
  const bool Lost = !Engine.m_Up || Engine.m_Starts != m_Starts ||
                    Engine.m_State != EngineState::Ready;
  if (Lost && !m_InFlight.empty()) {
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
      const auto Last = ReadyAt.find({Request.m_Group, Request.m_Generation});
      const std::int64_t Missing = Last == ReadyAt.end()
                                       ? Request.m_SentAt
                                       : Request.m_SentAt - Last->second;
      if (Missing > MemberBoundMs)
        m_State.m_Log.violate(
            "I1", fmt::format("{} accepted work {} ms after {} was ready",
                              Request.m_Group, Missing, Member.m_Vm));
    }
  }
}

void FakeHead::checkPlace(const EngineRequest &Request) const {
  // Where the object store answers only a part of the nodes, a node that was
  // told of an outage cannot know of a change (design 4.4, residual risk).
  if (Request.m_InOutage)
    return;
  const std::int64_t Now = m_State.m_World.now();
  const std::string Zone = "z" + m_Vm.substr(1, 1);
  const auto Out = m_State.m_ZoneOutSince.find(Zone);
  if (Out != m_State.m_ZoneOutSince.end() && Now - Out->second > NoNewWorkMs)
    m_State.m_Log.violate("I4", fmt::format("{} got new work {} ms after {} "
                                            "was taken out",
                                            m_Vm, Now - Out->second, Zone));
  const auto Drained = m_State.m_DrainedSince.find(m_Vm);
  if (Drained != m_State.m_DrainedSince.end() &&
      Now - Drained->second > NoNewWorkMs)
    m_State.m_Log.violate("I8",
                          fmt::format("{} got new work {} ms after its drain",
                                      m_Vm, Now - Drained->second));
}

std::size_t FakeHead::bearable() const {
  const std::int64_t Now = m_State.m_World.now();
  std::size_t Bears = ColdCapacity;
  for (std::int64_t At = m_WarmingSince + RampStepMs;
       At <= Now && Bears < WarmCapacity; At += RampStepMs)
    Bears *= 2;
  return std::min(Bears, WarmCapacity);
}

void FakeHead::checkLoad() const {
  const std::size_t Bears = bearable();
  if (Bears >= WarmCapacity)
    return;
  const std::int64_t From =
      m_IsSilentTurn ? m_ColdSince + SilentTurnMs : m_ColdSince;
  const auto Counted = std::count_if(
      m_InFlight.begin(), m_InFlight.end(),
      [&](const auto &Each) { return Each.second.m_AcceptedAt > From; });
  if (static_cast<std::size_t>(Counted) > Bears)
    m_State.m_Log.violate("I3", fmt::format("{} bears {} and has {} in flight",
                                            m_Vm, Bears, Counted));
}

} // namespace fulmarwinch
