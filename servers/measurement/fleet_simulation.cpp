#include "servers/measurement/fleet_simulation.h"

#include "boost/accumulators/accumulators.hpp"
#include "boost/accumulators/statistics/count.hpp"
#include "boost/accumulators/statistics/stats.hpp"
#include "boost/accumulators/statistics/tail_quantile.hpp"
#include "fmt/format.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

namespace acc = boost::accumulators;
using Quantiles = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::tail_quantile<acc::right>>>;

constexpr double ReportInterval = 0.25;
constexpr double ReportLag = 0.1;
constexpr double DispatchInterval = 0.02;
constexpr double FailureSeconds = 0.005;
constexpr double SlotRequestInterval = 0.2;
constexpr double ColdFlagSeconds = 1.0;
constexpr double DrainSeconds = 30;
/// Minimum burst of a rate limit in tokens: five requests. A smaller burst
/// would refuse single requests at low rates.
constexpr double MinBurstTokens = 1500;
constexpr std::size_t QuantileCacheSize = 20000;
/// Failed attempts after which a request is refused.
constexpr std::size_t MaxAttempts = 3;
constexpr RequestClass SpecialClass = 1;

double quantile(const Quantiles &Values, double Share) {
  return acc::count(Values) == 0
             ? 0
             : acc::quantile(Values, acc::quantile_probability = Share);
}

Duration toDuration(double Seconds) {
  return Duration(std::llround(Seconds * 1e6));
}

} // namespace

struct FleetSimulation::Request {
  double m_ArrivedAt = 0;
  std::string m_Organisation;
  RouteRequest m_Route;
};

struct FleetSimulation::Node {
  Node(const std::string &Name, const FleetSettings &Settings)
      : m_Slots(Name),
        m_Gate(m_Table, m_Slots, NodeAdmissionGate::WarmGroupQueueShare),
        m_Router(
            m_Table, m_Outliers, m_Gate,
            *makeStrategy(Settings.m_Policy, selectionSettings(Settings))) {}
  static SelectionSettings selectionSettings(const FleetSettings &Settings) {
    SelectionSettings Selection;
    Selection.m_NodesPerGroup = Settings.m_NodeCount;
    return Selection;
  }
  RoutingTable m_Table;
  OutlierTracker m_Outliers;
  NodeSlots m_Slots;
  NodeAdmissionGate m_Gate;
  Router m_Router;
  FairQueue m_Queue;
  RateLimiter m_Limiter;
  /// Dequeued request for which no group has capacity yet.
  std::optional<std::uint64_t> m_PendingRequest;
};

struct FleetSimulation::MetricAccumulators {
  FleetMetrics m_Counts;
  Quantiles m_FirstToken{acc::tag::tail<acc::right>::cache_size =
                             QuantileCacheSize};
  Quantiles m_OtherOrganisations{acc::tag::tail<acc::right>::cache_size =
                                     QuantileCacheSize};
  Quantiles m_PerToken{acc::tag::tail<acc::right>::cache_size =
                           QuantileCacheSize};
};

void FleetMetrics::countIfLate(double ArrivedAt, double SentAt,
                               const FakeRequestTimes &Times) {
  if (Times.m_FirstTokenAt - ArrivedAt <= FirstTokenObjectiveSeconds)
    return;
  ++m_LateRequests;
  m_LateCacheMisses += Times.m_CacheHit ? 0 : 1;
  const double Weight = 1.0 / static_cast<double>(m_LateRequests);
  const auto Add = [Weight](double &Mean, double Value) {
    Mean += (Value - Mean) * Weight;
  };
  Add(m_LateNodeQueueSeconds, SentAt - ArrivedAt);
  Add(m_LateServerQueueSeconds, Times.m_QueueWaitEnd - SentAt);
  Add(m_LatePrefillWaitSeconds, Times.m_PrefillStart - Times.m_QueueWaitEnd);
}

FleetSimulation::FleetSimulation(const FleetSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed),
      m_Accumulators(std::make_unique<MetricAccumulators>()) {
  for (std::size_t I = 0; I < Settings.m_PrefixCount; ++I)
    m_PrefixWeights.push_back(1.0 / static_cast<double>(I + 1));
  for (std::size_t I = 0; I < Settings.m_ServerCount; ++I) {
    FakeServerSettings Server = Settings.m_ServerSettings;
    if (I < Settings.m_StragglerCount)
      Server.m_SlowdownFactor = Settings.m_StragglerSlowdown;
    Server.m_FailsSpecialClass = I < Settings.m_MismatchedServerCount;
    m_Servers.emplace_back(Server);
  }
  m_Warm.assign(Settings.m_ServerCount, true);
  // Each organisation is limited to twice its share of the fleet's tokens.
  const double CostPerSecond =
      Settings.m_RequestsPerSecond *
      static_cast<double>(Settings.m_SuffixTokens + Settings.m_OutputTokens) /
      static_cast<double>(Settings.m_OrganisationCount * Settings.m_NodeCount);
  for (std::size_t NodeIndex = 0; NodeIndex < Settings.m_NodeCount;
       ++NodeIndex) {
    m_Nodes.push_back(
        std::make_unique<Node>(fmt::format("n{}", NodeIndex), Settings));
    for (std::size_t I = firstInitialServer(); I < Settings.m_ServerCount; ++I)
      m_Nodes[NodeIndex]->m_Table.updateView(viewOf(I, true));
    for (std::size_t OrganisationIndex = 0;
         Settings.m_RateLimitsEnabled &&
         OrganisationIndex < Settings.m_OrganisationCount;
         ++OrganisationIndex)
      m_Nodes[NodeIndex]->m_Limiter.setLimit(
          fmt::format("o{}", OrganisationIndex),
          {2 * CostPerSecond, std::max(4 * CostPerSecond, MinBurstTokens)});
    schedule(0, [this, NodeIndex] { dispatchPeriodically(NodeIndex); });
  }
  schedule(0, [this] { reportLoads(); });
  schedule(0, [this] { addArrival(); });
  schedule(0, [this] { requestSlots(); });
  schedule(Settings.m_DurationSeconds * Settings.m_WarmUpShare, [this] {
    for (std::size_t I = 0; I < m_Settings.m_ColdServerCount; ++I) {
      m_Servers[I].makeCold(m_Now, ColdFlagSeconds);
      if (!m_Settings.m_ColdServersJoin)
        continue;
      m_Warm[I] = false;
      for (const auto &Target : m_Nodes)
        Target->m_Table.updateView(viewOf(I, false));
    }
  });
}

FleetSimulation::~FleetSimulation() = default;

FleetMetrics FleetSimulation::run() {
  while (!m_Events.empty() &&
         m_Now < m_Settings.m_DurationSeconds + DrainSeconds) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_Time;
    Next.m_Action();
  }
  FleetMetrics Result = m_Accumulators->m_Counts;
  Result.m_FirstTokenP95 = quantile(m_Accumulators->m_FirstToken, 0.95);
  Result.m_FirstTokenP99 = quantile(m_Accumulators->m_FirstToken, 0.99);
  Result.m_OtherOrganisationsP99 =
      quantile(m_Accumulators->m_OtherOrganisations, 0.99);
  Result.m_PerTokenP95 = quantile(m_Accumulators->m_PerToken, 0.95);
  std::uint64_t Hits = 0;
  std::uint64_t Completed = 0;
  for (const FakeServer &Server : m_Servers) {
    Hits += Server.cacheHits();
    Completed += Server.completed();
  }
  Result.m_CacheHitShare = Completed == 0 ? 0
                                          : static_cast<double>(Hits) /
                                                static_cast<double>(Completed);
  return Result;
}

void FleetSimulation::schedule(double When, std::function<void()> Action) {
  m_Events.push({std::max(When, m_Now), m_Sequence++, std::move(Action)});
}

std::size_t FleetSimulation::firstInitialServer() const {
  return m_Settings.m_ColdServersJoin ? m_Settings.m_ColdServerCount : 0;
}

MonotonicTime FleetSimulation::now() const {
  // The offset of 1000 s keeps times positive when an age is subtracted.
  return MonotonicTime(toDuration(m_Now + 1000));
}

GroupView FleetSimulation::viewOf(std::size_t Server, bool Warm) const {
  GroupView View;
  View.m_Group = fmt::format("{:05}", Server);
  View.m_Deployment = "d";
  View.m_Generation = 1;
  View.m_StartId = "i1";
  View.m_Zone = "z";
  View.m_Capability = {100000, {}, ""};
  View.m_ViewExpiry = MonotonicTime::max();
  View.m_Warm = Warm;
  return View;
}

void FleetSimulation::addArrival() {
  if (m_Now > m_Settings.m_DurationSeconds)
    return;
  const bool IsMeasured = isMeasured(m_Now);
  const double Share =
      1.0 / static_cast<double>(m_Settings.m_OrganisationCount);
  const double NoiseFactor = IsMeasured ? m_Settings.m_NoisyRateFactor : 1;
  const double Rate =
      m_Settings.m_RequestsPerSecond * (1 - Share + Share * NoiseFactor);
  schedule(m_Now + std::exponential_distribution<double>(Rate)(m_Random),
           [this] { addArrival(); });
  std::uniform_real_distribution<double> Uniform(0, 1);
  const std::size_t Organisation =
      Uniform(m_Random) <
              Share * NoiseFactor / (1 - Share + Share * NoiseFactor)
          ? 0
          : 1 + m_Random() % (m_Settings.m_OrganisationCount - 1);
  const std::uint64_t Id = m_NextId++;
  Request &Current = m_Requests[Id];
  Current.m_ArrivedAt = m_Now;
  Current.m_Organisation = fmt::format("o{}", Organisation);
  Current.m_Route.m_Deployment = "d";
  Current.m_Route.m_PromptTokens =
      m_Settings.m_PrefixTokens + m_Settings.m_SuffixTokens;
  Current.m_Route.m_OutputTokens = m_Settings.m_OutputTokens;
  Current.m_Route.m_PrefixHash = choosePrefix();
  Current.m_Route.m_Class =
      Uniform(m_Random) < m_Settings.m_SpecialClassShare ? SpecialClass : 0;
  const std::size_t NodeIndex = m_Random() % m_Nodes.size();
  Node &Target = *m_Nodes[NodeIndex];
  FleetMetrics &Counts = m_Accumulators->m_Counts;
  Counts.m_Arrived += IsMeasured ? 1 : 0;
  const double Cost = static_cast<double>(m_Settings.m_SuffixTokens +
                                          m_Settings.m_OutputTokens);
  if (Target.m_Limiter.tryConsume(Current.m_Organisation, Cost, now())) {
    Counts.m_Refused += IsMeasured ? 1 : 0;
    m_Requests.erase(Id);
    return;
  }
  for (const ShedRequest &Shed : Target.m_Queue.enqueue(
           {Id, Current.m_Organisation, Priority::Normal, Cost, now()})) {
    Counts.m_Refused += isMeasured(m_Requests[Shed.m_Id].m_ArrivedAt) ? 1 : 0;
    m_Requests.erase(Shed.m_Id);
  }
  dispatchQueued(NodeIndex);
}

std::uint64_t FleetSimulation::choosePrefix() {
  std::uniform_real_distribution<double> Uniform(0, 1);
  if (isMeasured(m_Now) && Uniform(m_Random) < m_Settings.m_BurstShare)
    return m_Settings.m_PrefixCount;
  // The popularity of prefixes follows a Zipf distribution with exponent 1.
  static thread_local std::discrete_distribution<std::uint64_t>
      PrefixDistribution;
  if (PrefixDistribution.max() + 1 != m_PrefixWeights.size())
    PrefixDistribution = std::discrete_distribution<std::uint64_t>(
        m_PrefixWeights.begin(), m_PrefixWeights.end());
  return PrefixDistribution(m_Random);
}

void FleetSimulation::dispatchPeriodically(std::size_t Node) {
  dispatchQueued(Node);
  if (m_Now < m_Settings.m_DurationSeconds + DrainSeconds)
    schedule(m_Now + DispatchInterval,
             [this, Node] { dispatchPeriodically(Node); });
}

void FleetSimulation::dispatchQueued(std::size_t Node) {
  auto &Target = *m_Nodes[Node];
  while (true) {
    if (!Target.m_PendingRequest) {
      const auto Next = Target.m_Queue.dequeue(now());
      if (!Next)
        return;
      Target.m_PendingRequest = Next->m_Id;
    }
    if (!tryRoute(Node, *Target.m_PendingRequest))
      return;
    Target.m_PendingRequest.reset();
  }
}

bool FleetSimulation::tryRoute(std::size_t Node, std::uint64_t Id) {
  auto &Source = *m_Nodes[Node];
  const auto Decision =
      Source.m_Router.route(m_Requests[Id].m_Route, {}, now(), m_Random);
  if (!Decision.ok())
    return false;
  const std::size_t Server = std::stoul(Decision->m_View->m_Group);
  dispatch(Node, Id, *Decision, Server);
  return true;
}

void FleetSimulation::dispatch(std::size_t Node, std::uint64_t Id,
                               const RouteDecision &Decision,
                               std::size_t Server) {
  const Request &Current = m_Requests[Id];
  FakeServer &Target = m_Servers[Server];
  FleetMetrics &Counts = m_Accumulators->m_Counts;
  const bool IsMeasured = isMeasured(Current.m_ArrivedAt);
  const bool FailsClass = Current.m_Route.m_Class == SpecialClass &&
                          Target.settings().m_FailsSpecialClass;
  if (IsMeasured) {
    ++Counts.m_Dispatched;
    Counts.m_Misdirected += FailsClass ? 1 : 0;
    Counts.m_SentToStragglers += Target.settings().m_SlowdownFactor > 1 ? 1 : 0;
  }
  const bool UsedSlot = Decision.m_UsesSlot;
  const bool IsOverload =
      Target.maxInFlight(m_Now) < m_Settings.m_ServerSettings.m_Capacity &&
      Target.inFlight() >= Target.maxInFlight(m_Now);
  if (IsOverload)
    ++(UsedSlot ? Counts.m_OverloadsOfKnownCold
                : Counts.m_OverloadsBeforeKnownCold);
  if (FailsClass || IsOverload) {
    schedule(m_Now + FailureSeconds,
             [=] { onFailed(Node, Id, Server, UsedSlot); });
    return;
  }
  const FakeRequestTimes Times = Target.startRequest(
      *Current.m_Route.m_PrefixHash, m_Settings.m_PrefixTokens,
      m_Settings.m_SuffixTokens, m_Settings.m_OutputTokens, m_Now);
  const double SentAt = m_Now;
  schedule(Times.m_EndAt,
           [=] { onCompleted(Node, Id, Server, UsedSlot, SentAt, Times); });
}

void FleetSimulation::onFailed(std::size_t Node, std::uint64_t Id,
                               std::size_t Server, bool UsedSlot) {
  auto &Source = *m_Nodes[Node];
  Request &Current = m_Requests[Id];
  const std::string Group = fmt::format("{:05}", Server);
  Source.m_Gate.endAttempt(Group, UsedSlot, std::nullopt);
  Source.m_Outliers.onFailure(Group, Current.m_Route.m_Class, now());
  Current.m_Route.m_ExcludedGroups.insert(Group);
  if (Current.m_Route.m_ExcludedGroups.size() < MaxAttempts &&
      tryRoute(Node, Id))
    return;
  m_Accumulators->m_Counts.m_Refused += isMeasured(Current.m_ArrivedAt) ? 1 : 0;
  m_Requests.erase(Id);
}

void FleetSimulation::onCompleted(std::size_t Node, std::uint64_t Id,
                                  std::size_t Server, bool UsedSlot,
                                  double SentAt,
                                  const FakeRequestTimes &Times) {
  auto &Source = *m_Nodes[Node];
  const Request &Current = m_Requests[Id];
  const std::string Group = fmt::format("{:05}", Server);
  m_Servers[Server].endRequest();
  const double PerToken = (Times.m_EndAt - Times.m_FirstTokenAt) /
                          static_cast<double>(m_Settings.m_OutputTokens - 1);
  Source.m_Gate.endAttempt(
      Group, UsedSlot,
      ObservedTimes{Times.m_FirstTokenAt - SentAt, PerToken, now()});
  Source.m_Outliers.onSuccess(Group, Current.m_Route.m_Class, now());
  if (isMeasured(Current.m_ArrivedAt)) {
    ++m_Accumulators->m_Counts.m_Completed;
    const double FirstToken = Times.m_FirstTokenAt - Current.m_ArrivedAt;
    m_Accumulators->m_FirstToken(FirstToken);
    m_Accumulators->m_Counts.countIfLate(Current.m_ArrivedAt, SentAt, Times);
    m_Accumulators->m_PerToken(PerToken);
    if (Current.m_Organisation != "o0")
      m_Accumulators->m_OtherOrganisations(FirstToken);
  }
  m_Requests.erase(Id);
  dispatchQueued(Node);
}

void FleetSimulation::reportLoads() {
  if (m_Now > m_Settings.m_DurationSeconds + DrainSeconds)
    return;
  schedule(m_Now + ReportInterval, [this] { reportLoads(); });
  gossip();
  m_Granter.onLease(1, now() + std::chrono::seconds(6), now());
  const bool ColdServersJoined = isMeasured(m_Now);
  for (std::size_t I = ColdServersJoined ? 0 : firstInitialServer();
       I < m_Servers.size(); ++I) {
    const FakeServer &Server = m_Servers[I];
    const ServerReport Report{fmt::format("{:05}", I),
                              "i1",
                              Server.inFlight(),
                              0,
                              Server.completed(),
                              Server.reportsCold(m_Now),
                              m_Settings.m_ServerSettings.m_ColdCapacity,
                              m_Settings.m_ServerSettings.m_Capacity};
    const MonotonicTime ReportedAt = now();
    schedule(m_Now + ReportLag, [this, I, Report, ReportedAt] {
      m_Granter.onReport(Report, ReportedAt, now());
      const bool Warm = m_Granter.warmStartId(Report.m_Server).has_value();
      // A warm server stays warm until it reports the cold state. In the first
      // seconds the granter has too few reports to determine whether a server
      // is warm.
      const bool WasWarm = m_Warm[I];
      m_Warm[I] = Report.m_Cold ? false : m_Warm[I] || Warm;
      if (!WasWarm && m_Warm[I])
        m_Accumulators->m_Counts.m_WarmAfterSeconds =
            m_Now - m_Settings.m_DurationSeconds * m_Settings.m_WarmUpShare;
      for (const auto &Target : m_Nodes) {
        if (WasWarm != m_Warm[I])
          Target->m_Table.updateView(viewOf(I, m_Warm[I]));
        Target->m_Table.onLoadReport(Report.m_Server,
                                     {Report.m_Running, 0,
                                      m_Settings.m_ServerSettings.m_Capacity,
                                      ReportedAt});
      }
    });
  }
}

void FleetSimulation::gossip() {
  for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
    const std::vector<OutlierEjection> Records =
        m_Nodes[I]->m_Outliers.activeEjections(now());
    schedule(m_Now + ReportLag, [this, I, Records] {
      for (std::size_t PeerIndex = 0; PeerIndex < m_Nodes.size(); ++PeerIndex)
        if (PeerIndex != I)
          m_Nodes[PeerIndex]->m_Outliers.mergeEjections(Records, now());
    });
  }
}

void FleetSimulation::requestSlots() {
  if (m_Now > m_Settings.m_DurationSeconds + DrainSeconds)
    return;
  schedule(m_Now + SlotRequestInterval, [this] { requestSlots(); });
  for (const auto &Source : m_Nodes) {
    for (std::size_t I = 0; I < m_Servers.size(); ++I) {
      if (m_Warm[I])
        continue;
      const auto Answer = m_Granter.onRequest(
          Source->m_Slots.makeRequest(fmt::format("{:05}", I),
                                      m_Settings.m_ServerSettings.m_Capacity,
                                      now()),
          now());
      if (const SlotGrant *Grant = std::get_if<SlotGrant>(&Answer))
        Source->m_Slots.onGrant(*Grant, now());
    }
  }
}

bool FleetSimulation::isMeasured(double ArrivedAt) const {
  return ArrivedAt >= m_Settings.m_DurationSeconds * m_Settings.m_WarmUpShare;
}

} // namespace fulmarwinch
