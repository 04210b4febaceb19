#include "tests/servers/admission/admission_simulation.h"

#include "fmt/format.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {
constexpr std::int64_t Millisecond = 1000;
constexpr std::int64_t Second = 1000 * Millisecond;
constexpr std::int64_t LeaseDuration = 6 * Second;
constexpr std::int64_t FaultPhase = 40 * Second;
constexpr std::int64_t FaultFreePhase = 15 * Second;
constexpr std::size_t NodeCount = 4;
} // namespace

MonotonicTime AdmissionSimulation::Clock::localTime(Time Now) const {
  return MonotonicTime(
      Duration(m_Offset + std::llround(static_cast<double>(Now) * m_Rate)));
}

std::size_t AdmissionSimulation::Server::maxInFlight(Time Now) const {
  // The limit of the backend server doubles every 245 ms of true time, which is
  // slightly less than the true duration of a ramp step on the fastest clock.
  std::size_t Limit = m_Report.m_ColdCapacity;
  for (Time At = m_WarmingSince + 245 * Millisecond;
       At <= Now && Limit < m_Report.m_WarmCapacity; At += 245 * Millisecond)
    Limit *= 2;
  return std::min(Limit, m_Report.m_WarmCapacity);
}

AdmissionSimulation::AdmissionSimulation(std::uint64_t Seed) : m_Random(Seed) {
  m_Settings.m_MaxTransitTime = std::chrono::milliseconds(600);
  m_Settings.m_MaxColdNoticeDelay = std::chrono::milliseconds(300);
  const auto MakeClock = [&] {
    return Clock{uniform(0, 1000 * Second),
                 1.0 + static_cast<double>(uniform(-400, 400)) / 1e6};
  };
  for (std::size_t I = 0; I < 3; ++I)
    m_LeaseHolders.push_back(
        {MakeClock(), SlotGranter(m_Settings), {}, {}, {}, false});
  m_Nodes.resize(NodeCount);
  for (std::size_t I = 0; I < NodeCount; ++I) {
    m_Nodes[I].m_Clock = MakeClock();
    resetSlots(m_Nodes[I], I);
    schedule(uniform(0, Second), [this, I] { requestSlots(I); });
    schedule(uniform(0, Second), [this, I] { dispatch(I); });
  }
  for (const char *Name : {"s1", "s2"}) {
    Server &Target = m_Servers[Name];
    Target.m_Report.m_Server = Name;
    Target.m_Report.m_ColdCapacity = static_cast<std::size_t>(uniform(1, 4));
    Target.m_Report.m_WarmCapacity = 32;
    Target.m_HasColdFlag = chance(50);
    makeCold(Name);
  }
  for (std::size_t I = 0; I < m_LeaseHolders.size(); ++I)
    schedule(0, [this, I] { pollServers(I); });
  schedule(0, [this] { renewLease(1); });
  schedule(Second, [this] { injectFault(); });
}

std::vector<std::string> AdmissionSimulation::run() {
  while (!m_Events.empty() && m_Now < FaultPhase + FaultFreePhase) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_Time;
    m_FaultsEnabled = m_Now < FaultPhase;
    ++m_StepCount;
    Next.m_Action();
  }
  // Without faults the ramp must reach the warm capacity. Otherwise a granter
  // that grants no slots would pass the safety checks.
  for (const auto &[Name, Target] : m_Servers)
    if (m_LeaseHolders[m_CurrentLeaseHolder].m_Granter.rampLevel(Name) !=
        Target.m_Report.m_WarmCapacity)
      m_Violations.push_back(fmt::format("{} did not become warm", Name));
  return m_Violations;
}

void AdmissionSimulation::schedule(Time When, std::function<void()> Action) {
  m_Events.push({std::max(When, m_Now), m_Sequence++, std::move(Action)});
}

AdmissionSimulation::Time AdmissionSimulation::uniform(Time Low, Time High) {
  return std::uniform_int_distribution<Time>(Low, High)(m_Random);
}

AdmissionSimulation::Time AdmissionSimulation::delay() {
  return chance(10) ? uniform(0, 590 * Millisecond)
                    : uniform(200, 20 * Millisecond);
}

void AdmissionSimulation::renewLease(std::uint64_t Epoch) {
  if (Epoch != m_Epoch)
    return;
  LeaseHolder &Current = m_LeaseHolders[m_CurrentLeaseHolder];
  const MonotonicTime Now = Current.m_Clock.localTime(m_Now);
  Current.m_Granter.onLease(
      Epoch, Now + shortenByClockDrift(Duration(LeaseDuration)), Now);
  m_LeaseRenewedAt = m_Now;
  schedule(m_Now + 2 * Second, [this, Epoch] { renewLease(Epoch); });
}

void AdmissionSimulation::replaceLeaseHolder() {
  // The earlier lease holder does not learn of the takeover and grants slots
  // until its own lease expires.
  const std::uint64_t Epoch = ++m_Epoch;
  schedule(m_LeaseRenewedAt + LeaseDuration + 12 * Millisecond, [this, Epoch] {
    if (Epoch != m_Epoch)
      return;
    m_CurrentLeaseHolder = (m_CurrentLeaseHolder + 1) % m_LeaseHolders.size();
    LeaseHolder &Next = m_LeaseHolders[m_CurrentLeaseHolder];
    Next.m_Granter.onLeaseLost();
    Next.m_AcceptedReports.clear();
    Next.m_AcquiredAt = Next.m_Clock.localTime(m_Now);
    renewLease(Epoch);
  });
}

void AdmissionSimulation::pollServers(std::size_t LeaseHolderIndex) {
  schedule(m_Now + 250 * Millisecond,
           [this, LeaseHolderIndex] { pollServers(LeaseHolderIndex); });
  for (auto &Entry : m_Servers) {
    const std::string Name = Entry.first;
    const MonotonicTime RequestedAt =
        m_LeaseHolders[LeaseHolderIndex].m_Clock.localTime(m_Now);
    if (isLost() ||
        (m_FaultsEnabled && m_LeaseHolders[LeaseHolderIndex].m_Partitioned))
      continue;
    schedule(m_Now + delay(), [this, Name, LeaseHolderIndex, RequestedAt] {
      Server &Target = m_Servers[Name];
      ServerReport Report = Target.m_Report;
      Report.m_Running = Target.m_InFlight.size();
      Report.m_Cold = Target.isCold(m_Now);
      const std::uint64_t ColdPeriod = Target.m_ColdPeriod;
      if (isLost())
        return;
      schedule(m_Now + delay(), [this, LeaseHolderIndex, Report, RequestedAt,
                                 ColdPeriod] {
        LeaseHolder &Current = m_LeaseHolders[LeaseHolderIndex];
        Current.m_Granter.onReport(Report, RequestedAt,
                                   Current.m_Clock.localTime(m_Now));
        recordKnownColdPeriod(Current, Report, RequestedAt, ColdPeriod);
      });
    });
  }
}

void AdmissionSimulation::recordKnownColdPeriod(LeaseHolder &Target,
                                                const ServerReport &Report,
                                                MonotonicTime RequestedAt,
                                                std::uint64_t ColdPeriod) {
  const MonotonicTime Now = Target.m_Clock.localTime(m_Now);
  if (RequestedAt < Target.m_AcquiredAt)
    return;
  const auto [Found, IsFirst] =
      Target.m_AcceptedReports.try_emplace(Report.m_Server, Now, Report);
  if (!IsFirst && RequestedAt < Found->second.first)
    return;
  const ServerReport &LastReport = Found->second.second;
  // The granter cannot see a cold flag that was set and cleared between two
  // reports.
  if (IsFirst || Report.m_Cold || Report.m_StartId != LastReport.m_StartId ||
      Report.m_Completed < LastReport.m_Completed)
    Target.m_KnownColdPeriods[Report.m_Server] = ColdPeriod;
  Found->second = {Now, Report};
}

void AdmissionSimulation::requestSlots(std::size_t NodeIndex) {
  schedule(m_Now + uniform(100 * Millisecond, 500 * Millisecond),
           [this, NodeIndex] { requestSlots(NodeIndex); });
  Node &Source = m_Nodes[NodeIndex];
  for (const auto &Entry : m_Servers) {
    const SlotRequest Request = Source.m_Slots->makeRequest(
        Entry.first, static_cast<std::size_t>(uniform(1, 20)),
        Source.m_Clock.localTime(m_Now));
    // Some nodes still send slot requests to an earlier lease holder.
    const std::size_t LeaseHolderIndex =
        m_FaultsEnabled && chance(20) ? static_cast<std::size_t>(uniform(0, 2))
                                      : m_CurrentLeaseHolder;
    if (isLost() ||
        (m_FaultsEnabled && m_LeaseHolders[LeaseHolderIndex].m_Partitioned &&
         chance(50)))
      continue;
    schedule(m_Now + delay(), [this, LeaseHolderIndex, NodeIndex, Request] {
      handleSlotRequest(LeaseHolderIndex, NodeIndex, Request);
    });
  }
}

void AdmissionSimulation::handleSlotRequest(std::size_t LeaseHolderIndex,
                                            std::size_t NodeIndex,
                                            const SlotRequest &Request) {
  LeaseHolder &Current = m_LeaseHolders[LeaseHolderIndex];
  const auto Answer =
      Current.m_Granter.onRequest(Request, Current.m_Clock.localTime(m_Now));
  const SlotGrant *Grant = std::get_if<SlotGrant>(&Answer);
  if (Grant == nullptr || isLost())
    return;
  const std::uint64_t ColdPeriod = Current.m_KnownColdPeriods[Request.m_Server];
  schedule(m_Now + delay(), [this, NodeIndex, Copy = *Grant, ColdPeriod] {
    Node &Target = m_Nodes[NodeIndex];
    if (Target.m_Slots->onGrant(Copy, Target.m_Clock.localTime(m_Now)))
      Target.m_GrantColdPeriods[Copy.m_Server][Copy.m_RequestId] = ColdPeriod;
  });
}

void AdmissionSimulation::dispatch(std::size_t NodeIndex) {
  schedule(m_Now + uniform(0, 40 * Millisecond),
           [this, NodeIndex] { dispatch(NodeIndex); });
  Node &Source = m_Nodes[NodeIndex];
  const std::string Name = chance(50) ? "s1" : "s2";
  if (!Source.m_Slots->tryAcquire(Name, Source.m_Clock.localTime(m_Now)))
    return;
  const std::uint64_t AppliedRequestId = Source.m_Slots->appliedRequestId(Name);
  // Newest cold period that the granter or the node could know.
  const std::uint64_t KnownColdPeriod =
      std::max(Source.m_GrantColdPeriods[Name][AppliedRequestId],
               Source.m_SeenColdPeriods[Name]);
  const std::uint64_t Request = m_NextRequest++;
  Source.m_LocalRequests.insert(Request);
  ++m_DispatchCount;
  schedule(m_Now + delay(), [this, Name, NodeIndex, Request, KnownColdPeriod] {
    arriveAtServer(Name, NodeIndex, Request, KnownColdPeriod);
  });
}

void AdmissionSimulation::arriveAtServer(const std::string &Name,
                                         std::size_t NodeIndex,
                                         std::uint64_t Request,
                                         std::uint64_t KnownColdPeriod) {
  Server &Target = m_Servers[Name];
  Target.m_InFlight.insert(Request);
  m_RequestNodes[Request] = NodeIndex;
  const std::size_t Limit = Target.maxInFlight(m_Now);
  // A request is exempt from the limit if the cold period was not observable
  // when the request was sent.
  if (KnownColdPeriod >= Target.m_ColdPeriod &&
      Target.m_InFlight.size() > Limit)
    m_Violations.push_back(
        fmt::format("at {} us {} has {} requests in flight, its limit is {}",
                    m_Now, Name, Target.m_InFlight.size(), Limit));
  const Time ServiceMilliseconds =
      chance(80) ? uniform(20, 400) : uniform(400, 6000);
  schedule(m_Now + ServiceMilliseconds * Millisecond,
           [this, Name, NodeIndex, Request] {
             completeRequest(Name, NodeIndex, Request);
           });
}

void AdmissionSimulation::completeRequest(const std::string &Name,
                                          std::size_t NodeIndex,
                                          std::uint64_t Request) {
  Server &Target = m_Servers[Name];
  if (Target.m_InFlight.erase(Request) == 0)
    return;
  m_RequestNodes.erase(Request);
  ++Target.m_Report.m_Completed;
  deliverResponse(Name, NodeIndex, Request, Target.m_ColdPeriod,
                  Target.m_Report.m_StartId, false);
}

void AdmissionSimulation::deliverResponse(
    const std::string &Name, std::size_t NodeIndex, std::uint64_t Request,
    std::uint64_t ColdPeriod, const std::string &StartId, bool ConnectionLost) {
  const bool ShowsColdPeriod = ConnectionLost || !m_Servers[Name].m_KeptStartId;
  schedule(m_Now + delay(), [=] {
    Node &Source = m_Nodes[NodeIndex];
    // A restarted node ignores responses to requests of its earlier
    // incarnation.
    if (Source.m_LocalRequests.erase(Request) == 0)
      return;
    if (ConnectionLost)
      Source.m_Slots->onConnectionLost(Name);
    else
      Source.m_Slots->onStartId(Name, StartId);
    Source.m_Slots->release(Name);
    if (ShowsColdPeriod)
      Source.m_SeenColdPeriods[Name] =
          std::max(Source.m_SeenColdPeriods[Name], ColdPeriod);
  });
}

void AdmissionSimulation::makeCold(const std::string &Name) {
  Server &Target = m_Servers[Name];
  ++Target.m_ColdPeriod;
  // If the server keeps its start ID and sets no cold flag, only a decrease of
  // its counter of completed requests shows that it became cold.
  Target.m_KeptStartId =
      Target.m_ColdPeriod > 1 && chance(50) &&
      (Target.m_HasColdFlag || Target.m_Report.m_Completed > 0);
  const Time ColdFlagTime =
      Target.m_HasColdFlag ? uniform(300, 1500) * Millisecond : 0;
  Target.m_WarmingSince = m_Now + ColdFlagTime;
  if (Target.m_KeptStartId) {
    if (!Target.m_HasColdFlag)
      Target.m_Report.m_Completed = 0;
    return;
  }
  Target.m_Report.m_StartId = fmt::format("{}.{}", Name, Target.m_ColdPeriod);
  Target.m_Report.m_Completed = 0;
  for (const std::uint64_t Request : Target.m_InFlight) {
    deliverResponse(Name, m_RequestNodes[Request], Request, Target.m_ColdPeriod,
                    Target.m_Report.m_StartId, true);
    m_RequestNodes.erase(Request);
  }
  Target.m_InFlight.clear();
}

void AdmissionSimulation::restartNode(std::size_t NodeIndex) {
  // The backend servers continue the requests of the earlier incarnation.
  Node &Target = m_Nodes[NodeIndex];
  resetSlots(Target, NodeIndex);
  Target.m_LocalRequests.clear();
  Target.m_GrantColdPeriods.clear();
  Target.m_SeenColdPeriods.clear();
}

void AdmissionSimulation::resetSlots(Node &Target, std::size_t NodeIndex) {
  Target.m_Slots = std::make_unique<NodeSlots>(
      fmt::format("n{}.{}", NodeIndex, Target.m_Incarnation++));
}

void AdmissionSimulation::injectFault() {
  if (!m_FaultsEnabled)
    return;
  schedule(m_Now + uniform(200, 3000) * Millisecond, [this] { injectFault(); });
  switch (uniform(0, 4)) {
  case 0:
    makeCold(chance(50) ? "s1" : "s2");
    break;
  case 1:
    replaceLeaseHolder();
    break;
  case 2: {
    LeaseHolder &Target =
        m_LeaseHolders[static_cast<std::size_t>(uniform(0, 2))];
    Target.m_Partitioned = !Target.m_Partitioned;
    break;
  }
  case 3:
    restartNode(static_cast<std::size_t>(uniform(0, NodeCount - 1)));
    break;
  default:
    // The backend server becomes cold during a takeover of the lease.
    makeCold("s1");
    replaceLeaseHolder();
  }
}

} // namespace fulmarwinch
