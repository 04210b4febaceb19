#include "tests/servers/admission/admission_world.h"

#include "fmt/format.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {
constexpr std::int64_t Millisecond = 1000;
constexpr std::int64_t Second = 1000 * Millisecond;
constexpr std::int64_t LeaseDuration = 6 * Second;
constexpr std::int64_t FaultTime = 40 * Second;
constexpr std::int64_t QuietTime = 15 * Second;
constexpr std::size_t NodeCount = 4;
} // namespace

MonotonicTime AdmissionWorld::Clock::at(Time Now) const {
  return MonotonicTime(
      Duration(m_Offset + std::llround(static_cast<double>(Now) * m_Rate)));
}

std::size_t AdmissionWorld::Server::bearable(Time Now) const {
  // The backend server warms by itself: twice the load after each 245 ms,
  // a little faster than one step of the ramp by the fastest clock.
  std::size_t Limit = m_Report.m_ColdCapacity;
  for (Time At = m_WarmingSince + 245 * Millisecond;
       At <= Now && Limit < m_Report.m_WarmCapacity; At += 245 * Millisecond)
    Limit *= 2;
  return std::min(Limit, m_Report.m_WarmCapacity);
}

AdmissionWorld::AdmissionWorld(std::uint64_t Seed) : m_Random(Seed) {
  m_Settings.m_TransitBound = std::chrono::milliseconds(600);
  m_Settings.m_WarmNoticeBound = std::chrono::milliseconds(300);
  const auto MakeClock = [&] {
    return Clock{uniform(0, 1000 * Second),
                 1.0 + static_cast<double>(uniform(-400, 400)) / 1e6};
  };
  for (std::size_t I = 0; I < 3; ++I)
    m_Holders.push_back(
        {MakeClock(), SlotGranter(m_Settings), {}, {}, {}, false});
  m_Nodes.resize(NodeCount);
  for (std::size_t I = 0; I < NodeCount; ++I) {
    m_Nodes[I].m_Clock = MakeClock();
    replaceSlots(m_Nodes[I], I);
    at(uniform(0, Second), [this, I] { askSlots(I); });
    at(uniform(0, Second), [this, I] { dispatch(I); });
  }
  for (const char *Name : {"s1", "s2"}) {
    Server &Target = m_Servers[Name];
    Target.m_Report.m_Server = Name;
    Target.m_Report.m_ColdCapacity = static_cast<std::size_t>(uniform(1, 4));
    Target.m_Report.m_WarmCapacity = 32;
    Target.m_HasColdFlag = chance(50);
    turnCold(Name);
  }
  for (std::size_t I = 0; I < m_Holders.size(); ++I)
    at(0, [this, I] { poll(I); });
  at(0, [this] { renewLease(1); });
  at(Second, [this] { injectFault(); });
}

std::vector<std::string> AdmissionWorld::run() {
  while (!m_Events.empty() && m_Now < FaultTime + QuietTime) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    m_Faults = m_Now < FaultTime;
    ++m_Steps;
    Next.m_Run();
  }
  // Without faults the ramp has to end at the warm capacity, or the safety
  // checks above would hold for a granter that grants nothing.
  for (const auto &[Name, Target] : m_Servers)
    if (m_Holders[m_CurrentHolder].m_Granter.rampLevel(Name) !=
        Target.m_Report.m_WarmCapacity)
      m_Violations.push_back(fmt::format("{} did not become warm", Name));
  return m_Violations;
}

void AdmissionWorld::at(Time When, std::function<void()> Run) {
  m_Events.push({std::max(When, m_Now), m_Order++, std::move(Run)});
}

AdmissionWorld::Time AdmissionWorld::uniform(Time Low, Time High) {
  return std::uniform_int_distribution<Time>(Low, High)(m_Random);
}

AdmissionWorld::Time AdmissionWorld::delay() {
  return chance(10) ? uniform(0, 590 * Millisecond)
                    : uniform(200, 20 * Millisecond);
}

void AdmissionWorld::renewLease(std::uint64_t Epoch) {
  if (Epoch != m_Epoch)
    return;
  Holder &Current = m_Holders[m_CurrentHolder];
  const MonotonicTime Now = Current.m_Clock.at(m_Now);
  Current.m_Granter.onLease(
      Epoch, Now + shortenByClockError(Duration(LeaseDuration)), Now);
  m_LeaseRenewedAt = m_Now;
  at(m_Now + 2 * Second, [this, Epoch] { renewLease(Epoch); });
}

void AdmissionWorld::replaceHolder() {
  // The old holder is not told; it acts on until its own lease ends.
  const std::uint64_t Epoch = ++m_Epoch;
  at(m_LeaseRenewedAt + LeaseDuration + 12 * Millisecond, [this, Epoch] {
    if (Epoch != m_Epoch)
      return;
    m_CurrentHolder = (m_CurrentHolder + 1) % m_Holders.size();
    Holder &Next = m_Holders[m_CurrentHolder];
    Next.m_Granter.onLeaseLost();
    Next.m_Accepted.clear();
    Next.m_AcquiredAt = Next.m_Clock.at(m_Now);
    renewLease(Epoch);
  });
}

void AdmissionWorld::poll(std::size_t HolderIndex) {
  at(m_Now + 250 * Millisecond, [this, HolderIndex] { poll(HolderIndex); });
  for (auto &Entry : m_Servers) {
    const std::string Name = Entry.first;
    const MonotonicTime RequestedAt = m_Holders[HolderIndex].m_Clock.at(m_Now);
    if (isLost() || (m_Faults && m_Holders[HolderIndex].m_Partitioned))
      continue;
    at(m_Now + delay(), [this, Name, HolderIndex, RequestedAt] {
      Server &Target = m_Servers[Name];
      ServerReport Report = Target.m_Report;
      Report.m_Running = Target.m_InFlight.size();
      Report.m_Cold = Target.cold(m_Now);
      const std::uint64_t Turn = Target.m_Turn;
      if (isLost())
        return;
      at(m_Now + delay(), [this, HolderIndex, Report, RequestedAt, Turn] {
        Holder &Current = m_Holders[HolderIndex];
        Current.m_Granter.onReport(Report, RequestedAt,
                                   Current.m_Clock.at(m_Now));
        noteEvidence(Current, Report, RequestedAt, Turn);
      });
    });
  }
}

void AdmissionWorld::noteEvidence(Holder &Target, const ServerReport &Report,
                                  MonotonicTime RequestedAt,
                                  std::uint64_t Turn) {
  const MonotonicTime Now = Target.m_Clock.at(m_Now);
  if (RequestedAt < Target.m_AcquiredAt)
    return;
  const auto [Found, First] =
      Target.m_Accepted.try_emplace(Report.m_Server, Now, Report);
  if (!First && RequestedAt < Found->second.first)
    return;
  const ServerReport &Last = Found->second.second;
  // A flag that rose and fell between two reports shows nothing.
  if (First || Report.m_Cold || Report.m_StartId != Last.m_StartId ||
      Report.m_Completed < Last.m_Completed)
    Target.m_KnownTurns[Report.m_Server] = Turn;
  Found->second = {Now, Report};
}

void AdmissionWorld::askSlots(std::size_t NodeIndex) {
  at(m_Now + uniform(100 * Millisecond, 500 * Millisecond),
     [this, NodeIndex] { askSlots(NodeIndex); });
  Node &Source = m_Nodes[NodeIndex];
  for (const auto &Entry : m_Servers) {
    const SlotRequest Request = Source.m_Slots->makeRequest(
        Entry.first, static_cast<std::size_t>(uniform(1, 20)),
        Source.m_Clock.at(m_Now));
    // Some nodes still ask an earlier holder.
    const std::size_t HolderIndex =
        m_Faults && chance(20) ? static_cast<std::size_t>(uniform(0, 2))
                               : m_CurrentHolder;
    if (isLost() ||
        (m_Faults && m_Holders[HolderIndex].m_Partitioned && chance(50)))
      continue;
    at(m_Now + delay(), [this, HolderIndex, NodeIndex, Request] {
      answerSlots(HolderIndex, NodeIndex, Request);
    });
  }
}

void AdmissionWorld::answerSlots(std::size_t HolderIndex, std::size_t NodeIndex,
                                 const SlotRequest &Request) {
  Holder &Current = m_Holders[HolderIndex];
  const auto Answer =
      Current.m_Granter.onRequest(Request, Current.m_Clock.at(m_Now));
  const SlotGrant *Grant = std::get_if<SlotGrant>(&Answer);
  if (Grant == nullptr || isLost())
    return;
  const std::uint64_t Turn = Current.m_KnownTurns[Request.m_Server];
  at(m_Now + delay(), [this, NodeIndex, Copy = *Grant, Turn] {
    Node &Target = m_Nodes[NodeIndex];
    if (Target.m_Slots->onGrant(Copy, Target.m_Clock.at(m_Now)))
      Target.m_GrantTurns[Copy.m_Server][Copy.m_RequestId] = Turn;
  });
}

void AdmissionWorld::dispatch(std::size_t NodeIndex) {
  at(m_Now + uniform(0, 40 * Millisecond),
     [this, NodeIndex] { dispatch(NodeIndex); });
  Node &Source = m_Nodes[NodeIndex];
  const std::string Name = chance(50) ? "s1" : "s2";
  if (!Source.m_Slots->tryAcquire(Name, Source.m_Clock.at(m_Now)))
    return;
  const std::uint64_t Applied = Source.m_Slots->appliedRequest(Name);
  // Newest cold turn that the granter or the node could know.
  const std::uint64_t KnownTurn =
      std::max(Source.m_GrantTurns[Name][Applied], Source.m_SeenTurns[Name]);
  const std::uint64_t Request = m_NextRequest++;
  Source.m_OwnRequests.insert(Request);
  ++m_Dispatched;
  at(m_Now + delay(), [this, Name, NodeIndex, Request, KnownTurn] {
    arrive(Name, NodeIndex, Request, KnownTurn);
  });
}

void AdmissionWorld::arrive(const std::string &Name, std::size_t NodeIndex,
                            std::uint64_t Request, std::uint64_t KnownTurn) {
  Server &Target = m_Servers[Name];
  Target.m_InFlight.insert(Request);
  m_RequestNodes[Request] = NodeIndex;
  const std::size_t Limit = Target.bearable(m_Now);
  // A request is exempt if the cold turn was not observable when it was sent.
  if (KnownTurn >= Target.m_Turn && Target.m_InFlight.size() > Limit)
    m_Violations.push_back(
        fmt::format("at {} us {} has {} requests in flight and bears {}", m_Now,
                    Name, Target.m_InFlight.size(), Limit));
  const Time Service = chance(80) ? uniform(20, 400) : uniform(400, 6000);
  at(m_Now + Service * Millisecond,
     [this, Name, NodeIndex, Request] { complete(Name, NodeIndex, Request); });
}

void AdmissionWorld::complete(const std::string &Name, std::size_t NodeIndex,
                              std::uint64_t Request) {
  Server &Target = m_Servers[Name];
  if (Target.m_InFlight.erase(Request) == 0)
    return;
  m_RequestNodes.erase(Request);
  ++Target.m_Report.m_Completed;
  endAtNode(Name, NodeIndex, Request, Target.m_Turn, Target.m_Report.m_StartId,
            false);
}

void AdmissionWorld::endAtNode(const std::string &Name, std::size_t NodeIndex,
                               std::uint64_t Request, std::uint64_t Turn,
                               const std::string &StartId, bool Broken) {
  const bool ShowsTurn = Broken || !m_Servers[Name].m_KeepsStartId;
  at(m_Now + delay(), [=] {
    Node &Source = m_Nodes[NodeIndex];
    // A node that restarted does not know the requests of its earlier run.
    if (Source.m_OwnRequests.erase(Request) == 0)
      return;
    if (Broken)
      Source.m_Slots->onConnectionLost(Name);
    else
      Source.m_Slots->onStartId(Name, StartId);
    Source.m_Slots->release(Name);
    if (ShowsTurn)
      Source.m_SeenTurns[Name] = std::max(Source.m_SeenTurns[Name], Turn);
  });
}

void AdmissionWorld::turnCold(const std::string &Name) {
  Server &Target = m_Servers[Name];
  ++Target.m_Turn;
  // Without the flag a cold turn in the same process shows as a completed
  // counter that decreased.
  Target.m_KeepsStartId =
      Target.m_Turn > 1 && chance(50) &&
      (Target.m_HasColdFlag || Target.m_Report.m_Completed > 0);
  const Time FlagTime =
      Target.m_HasColdFlag ? uniform(300, 1500) * Millisecond : 0;
  Target.m_WarmingSince = m_Now + FlagTime;
  if (Target.m_KeepsStartId) {
    if (!Target.m_HasColdFlag)
      Target.m_Report.m_Completed = 0;
    return;
  }
  Target.m_Report.m_StartId = fmt::format("{}.{}", Name, Target.m_Turn);
  Target.m_Report.m_Completed = 0;
  for (const std::uint64_t Request : Target.m_InFlight) {
    endAtNode(Name, m_RequestNodes[Request], Request, Target.m_Turn,
              Target.m_Report.m_StartId, true);
    m_RequestNodes.erase(Request);
  }
  Target.m_InFlight.clear();
}

void AdmissionWorld::restartNode(std::size_t NodeIndex) {
  // The requests of the earlier run go on at the backend servers.
  Node &Target = m_Nodes[NodeIndex];
  replaceSlots(Target, NodeIndex);
  Target.m_OwnRequests.clear();
  Target.m_GrantTurns.clear();
  Target.m_SeenTurns.clear();
}

void AdmissionWorld::replaceSlots(Node &Target, std::size_t NodeIndex) {
  Target.m_Slots = std::make_unique<SlotHolder>(
      fmt::format("n{}.{}", NodeIndex, Target.m_Incarnation++));
}

void AdmissionWorld::injectFault() {
  if (!m_Faults)
    return;
  at(m_Now + uniform(200, 3000) * Millisecond, [this] { injectFault(); });
  switch (uniform(0, 4)) {
  case 0:
    turnCold(chance(50) ? "s1" : "s2");
    break;
  case 1:
    replaceHolder();
    break;
  case 2: {
    Holder &Target = m_Holders[static_cast<std::size_t>(uniform(0, 2))];
    Target.m_Partitioned = !Target.m_Partitioned;
    break;
  }
  case 3:
    restartNode(static_cast<std::size_t>(uniform(0, NodeCount - 1)));
    break;
  default:
    // Two faults at once.
    turnCold("s1");
    replaceHolder();
  }
}

} // namespace fulmarwinch
