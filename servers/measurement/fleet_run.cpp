#include "servers/measurement/fleet_run.h"

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
constexpr double PumpInterval = 0.02;
constexpr double FailureSeconds = 0.005;
constexpr double SlotAskInterval = 0.2;
constexpr double ColdFlagSeconds = 1.0;
constexpr double DrainSeconds = 30;
/// Five requests; a smaller burst would refuse single requests at low rates.
constexpr double SmallestBurst = 1500;
constexpr std::size_t QuantileCache = 20000;
/// Failed attempts after which a request is given up.
constexpr std::size_t MostAttempts = 3;
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

struct FleetRun::Request {
  double m_ArrivedAt = 0;
  std::string m_Organisation;
  RouteRequest m_Route;
};

struct FleetRun::Node {
  Node(const std::string &Name, const FleetSettings &Settings)
      : m_Slots(Name),
        m_Gate(m_Table, m_Slots, NodeAdmissionGate::UsualQueueShare),
        m_Router(m_Table, m_Outliers, m_Gate,
                 *makeStrategy(Settings.m_Policy, selection(Settings))) {}
  static SelectionSettings selection(const FleetSettings &Settings) {
    SelectionSettings Selection;
    Selection.m_Sharers = Settings.m_Nodes;
    return Selection;
  }
  RoutingTable m_Table;
  OutlierTracker m_Outliers;
  SlotHolder m_Slots;
  NodeAdmissionGate m_Gate;
  Router m_Router;
  FairQueue m_Queue;
  RateLimiter m_Limiter;
  /// Request that left the queue and found no group yet.
  std::optional<std::uint64_t> m_Waiting;
};

struct FleetRun::Figures {
  FleetFigures m_Counts;
  Quantiles m_FirstToken{acc::tag::tail<acc::right>::cache_size =
                             QuantileCache};
  Quantiles m_Others{acc::tag::tail<acc::right>::cache_size = QuantileCache};
  Quantiles m_PerToken{acc::tag::tail<acc::right>::cache_size = QuantileCache};
};

void FleetFigures::countLate(double ArrivedAt, double SentAt,
                             const FakeTimes &Times) {
  if (Times.m_FirstToken - ArrivedAt <= FirstTokenObjective)
    return;
  ++m_Late;
  m_LateMisses += Times.m_Hit ? 0 : 1;
  const double Weight = 1.0 / static_cast<double>(m_Late);
  const auto Add = [Weight](double &Mean, double Value) {
    Mean += (Value - Mean) * Weight;
  };
  Add(m_LateAtNode, SentAt - ArrivedAt);
  Add(m_LateForPlace, Times.m_Placed - SentAt);
  Add(m_LateForRead, Times.m_ReadFrom - Times.m_Placed);
}

FleetRun::FleetRun(const FleetSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed),
      m_Figures(std::make_unique<Figures>()) {
  for (std::size_t I = 0; I < Settings.m_Prefixes; ++I)
    m_PrefixWeights.push_back(1.0 / static_cast<double>(I + 1));
  for (std::size_t I = 0; I < Settings.m_Servers; ++I) {
    FakeServerSettings Server = Settings.m_Server;
    if (I < Settings.m_Stragglers)
      Server.m_Slowness = Settings.m_StragglerSlowness;
    Server.m_FailsSpecialClass = I < Settings.m_Mismatched;
    m_Servers.emplace_back(Server);
  }
  m_Warm.assign(Settings.m_Servers, true);
  // Each organisation may use twice its usual share of the fleet's tokens.
  const double CostPerSecond =
      Settings.m_Rate *
      static_cast<double>(Settings.m_OwnTokens + Settings.m_OutputTokens) /
      static_cast<double>(Settings.m_Organisations * Settings.m_Nodes);
  for (std::size_t N = 0; N < Settings.m_Nodes; ++N) {
    m_Nodes.push_back(std::make_unique<Node>(fmt::format("n{}", N), Settings));
    for (std::size_t I = firstServer(); I < Settings.m_Servers; ++I)
      m_Nodes[N]->m_Table.update(viewOf(I, true));
    for (std::size_t O = 0; Settings.m_Limits && O < Settings.m_Organisations;
         ++O)
      m_Nodes[N]->m_Limiter.setLimit(
          fmt::format("o{}", O),
          {2 * CostPerSecond, std::max(4 * CostPerSecond, SmallestBurst)});
    at(0, [this, N] { pumpRegularly(N); });
  }
  at(0, [this] { report(); });
  at(0, [this] { arrive(); });
  at(0, [this] { askSlots(); });
  at(Settings.m_DurationSeconds * Settings.m_WarmUpShare, [this] {
    for (std::size_t I = 0; I < m_Settings.m_ColdServers; ++I) {
      m_Servers[I].turnCold(m_Now, ColdFlagSeconds);
      if (!m_Settings.m_JoinCold)
        continue;
      m_Warm[I] = false;
      for (const auto &Target : m_Nodes)
        Target->m_Table.update(viewOf(I, false));
    }
  });
}

FleetRun::~FleetRun() = default;

FleetFigures FleetRun::run() {
  while (!m_Events.empty() &&
         m_Now < m_Settings.m_DurationSeconds + DrainSeconds) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Run();
  }
  FleetFigures Result = m_Figures->m_Counts;
  Result.m_FirstTokenP95 = quantile(m_Figures->m_FirstToken, 0.95);
  Result.m_FirstTokenP99 = quantile(m_Figures->m_FirstToken, 0.99);
  Result.m_OthersP99 = quantile(m_Figures->m_Others, 0.99);
  Result.m_PerTokenP95 = quantile(m_Figures->m_PerToken, 0.95);
  std::uint64_t Hits = 0;
  std::uint64_t Completed = 0;
  for (const FakeServer &Server : m_Servers) {
    Hits += Server.hits();
    Completed += Server.completed();
  }
  Result.m_HitShare = Completed == 0 ? 0
                                     : static_cast<double>(Hits) /
                                           static_cast<double>(Completed);
  return Result;
}

void FleetRun::at(double When, std::function<void()> Run) {
  m_Events.push({std::max(When, m_Now), m_Order++, std::move(Run)});
}

std::size_t FleetRun::firstServer() const {
  return m_Settings.m_JoinCold ? m_Settings.m_ColdServers : 0;
}

MonotonicTime FleetRun::now() const {
  // Starts late enough for ages to be computed without negative times.
  return MonotonicTime(toDuration(m_Now + 1000));
}

GroupView FleetRun::viewOf(std::size_t Server, bool Warm) const {
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

void FleetRun::arrive() {
  if (m_Now > m_Settings.m_DurationSeconds)
    return;
  const bool Measured = measured(m_Now);
  const double Share = 1.0 / static_cast<double>(m_Settings.m_Organisations);
  const double Noise = Measured ? m_Settings.m_NoiseFactor : 1;
  const double Rate = m_Settings.m_Rate * (1 - Share + Share * Noise);
  at(m_Now + std::exponential_distribution<double>(Rate)(m_Random),
     [this] { arrive(); });
  std::uniform_real_distribution<double> Uniform(0, 1);
  const std::size_t Organisation =
      Uniform(m_Random) < Share * Noise / (1 - Share + Share * Noise)
          ? 0
          : 1 + m_Random() % (m_Settings.m_Organisations - 1);
  const std::uint64_t Id = m_NextId++;
  Request &Item = m_Requests[Id];
  Item.m_ArrivedAt = m_Now;
  Item.m_Organisation = fmt::format("o{}", Organisation);
  Item.m_Route.m_Deployment = "d";
  Item.m_Route.m_PromptTokens =
      m_Settings.m_PrefixTokens + m_Settings.m_OwnTokens;
  Item.m_Route.m_OutputTokens = m_Settings.m_OutputTokens;
  Item.m_Route.m_PrefixHash = choosePrefix();
  Item.m_Route.m_Class =
      Uniform(m_Random) < m_Settings.m_SpecialShare ? SpecialClass : 0;
  const std::size_t N = m_Random() % m_Nodes.size();
  Node &Target = *m_Nodes[N];
  FleetFigures &Counts = m_Figures->m_Counts;
  Counts.m_Arrived += Measured ? 1 : 0;
  const double Cost =
      static_cast<double>(m_Settings.m_OwnTokens + m_Settings.m_OutputTokens);
  if (Target.m_Limiter.tryTake(Item.m_Organisation, Cost, now())) {
    Counts.m_Refused += Measured ? 1 : 0;
    m_Requests.erase(Id);
    return;
  }
  for (const ShedRequest &Shed : Target.m_Queue.enqueue(
           {Id, Item.m_Organisation, Priority::Normal, Cost, now()})) {
    Counts.m_Refused += measured(m_Requests[Shed.m_Id].m_ArrivedAt) ? 1 : 0;
    m_Requests.erase(Shed.m_Id);
  }
  pump(N);
}

std::uint64_t FleetRun::choosePrefix() {
  std::uniform_real_distribution<double> Uniform(0, 1);
  if (measured(m_Now) && Uniform(m_Random) < m_Settings.m_BurstShare)
    return m_Settings.m_Prefixes;
  // Popularity falls with the rank (Zipf, exponent 1).
  static thread_local std::discrete_distribution<std::uint64_t> Choose;
  if (Choose.max() + 1 != m_PrefixWeights.size())
    Choose = std::discrete_distribution<std::uint64_t>(m_PrefixWeights.begin(),
                                                       m_PrefixWeights.end());
  return Choose(m_Random);
}

void FleetRun::pumpRegularly(std::size_t Node) {
  pump(Node);
  if (m_Now < m_Settings.m_DurationSeconds + DrainSeconds)
    at(m_Now + PumpInterval, [this, Node] { pumpRegularly(Node); });
}

void FleetRun::pump(std::size_t Node) {
  auto &Target = *m_Nodes[Node];
  while (true) {
    if (!Target.m_Waiting) {
      const auto Next = Target.m_Queue.dequeue(now());
      if (!Next)
        return;
      Target.m_Waiting = Next->m_Id;
    }
    if (!trySend(Node, *Target.m_Waiting))
      return;
    Target.m_Waiting.reset();
  }
}

bool FleetRun::trySend(std::size_t Node, std::uint64_t Id) {
  auto &Source = *m_Nodes[Node];
  const auto Decision =
      Source.m_Router.route(m_Requests[Id].m_Route, {}, now(), m_Random);
  if (!Decision.ok())
    return false;
  const std::size_t Server = std::stoul(Decision->m_View->m_Group);
  send(Node, Id, *Decision, Server);
  return true;
}

void FleetRun::send(std::size_t Node, std::uint64_t Id,
                    const RouteDecision &Decision, std::size_t Server) {
  const Request &Item = m_Requests[Id];
  FakeServer &Target = m_Servers[Server];
  FleetFigures &Counts = m_Figures->m_Counts;
  const bool Measured = measured(Item.m_ArrivedAt);
  const bool Fails = Item.m_Route.m_Class == SpecialClass &&
                     Target.settings().m_FailsSpecialClass;
  if (Measured) {
    ++Counts.m_Dispatched;
    Counts.m_Misdirected += Fails ? 1 : 0;
    Counts.m_ToStragglers += Target.settings().m_Slowness > 1 ? 1 : 0;
  }
  const bool UsedSlot = Decision.m_UsesSlot;
  const bool Overload =
      Target.bearable(m_Now) < m_Settings.m_Server.m_Capacity &&
      Target.inFlight() >= Target.bearable(m_Now);
  if (Overload)
    ++(UsedSlot ? Counts.m_OverloadsKnown : Counts.m_OverloadsBeforeKnown);
  if (Fails || Overload) {
    at(m_Now + FailureSeconds, [=] { fail(Node, Id, Server, UsedSlot); });
    return;
  }
  const FakeTimes Times =
      Target.start(*Item.m_Route.m_PrefixHash, m_Settings.m_PrefixTokens,
                   m_Settings.m_OwnTokens, m_Settings.m_OutputTokens, m_Now);
  const double SentAt = m_Now;
  at(Times.m_End, [=] { complete(Node, Id, Server, UsedSlot, SentAt, Times); });
}

void FleetRun::fail(std::size_t Node, std::uint64_t Id, std::size_t Server,
                    bool UsedSlot) {
  auto &Source = *m_Nodes[Node];
  Request &Item = m_Requests[Id];
  const std::string Group = fmt::format("{:05}", Server);
  Source.m_Gate.end(Group, UsedSlot, std::nullopt);
  Source.m_Outliers.onFailure(Group, Item.m_Route.m_Class, now());
  Item.m_Route.m_Excluded.insert(Group);
  if (Item.m_Route.m_Excluded.size() < MostAttempts && trySend(Node, Id))
    return;
  m_Figures->m_Counts.m_Refused += measured(Item.m_ArrivedAt) ? 1 : 0;
  m_Requests.erase(Id);
}

void FleetRun::complete(std::size_t Node, std::uint64_t Id, std::size_t Server,
                        bool UsedSlot, double SentAt, const FakeTimes &Times) {
  auto &Source = *m_Nodes[Node];
  const Request &Item = m_Requests[Id];
  const std::string Group = fmt::format("{:05}", Server);
  m_Servers[Server].finish();
  const double PerToken = (Times.m_End - Times.m_FirstToken) /
                          static_cast<double>(m_Settings.m_OutputTokens - 1);
  Source.m_Gate.end(
      Group, UsedSlot,
      ObservedTimes{Times.m_FirstToken - SentAt, PerToken, now()});
  Source.m_Outliers.onSuccess(Group, Item.m_Route.m_Class, now());
  if (measured(Item.m_ArrivedAt)) {
    ++m_Figures->m_Counts.m_Completed;
    const double FirstToken = Times.m_FirstToken - Item.m_ArrivedAt;
    m_Figures->m_FirstToken(FirstToken);
    m_Figures->m_Counts.countLate(Item.m_ArrivedAt, SentAt, Times);
    m_Figures->m_PerToken(PerToken);
    if (Item.m_Organisation != "o0")
      m_Figures->m_Others(FirstToken);
  }
  m_Requests.erase(Id);
  pump(Node);
}

void FleetRun::report() {
  if (m_Now > m_Settings.m_DurationSeconds + DrainSeconds)
    return;
  at(m_Now + ReportInterval, [this] { report(); });
  gossip();
  m_Granter.onLease(1, now() + std::chrono::seconds(6), now());
  const bool Joined = measured(m_Now);
  for (std::size_t I = Joined ? 0 : firstServer(); I < m_Servers.size(); ++I) {
    const FakeServer &Server = m_Servers[I];
    const ServerReport State{fmt::format("{:05}", I),
                             "i1",
                             Server.inFlight(),
                             0,
                             Server.completed(),
                             Server.cold(m_Now),
                             m_Settings.m_Server.m_ColdCapacity,
                             m_Settings.m_Server.m_Capacity};
    const MonotonicTime At = now();
    at(m_Now + ReportLag, [this, I, State, At] {
      m_Granter.onReport(State, At, now());
      const bool Warm = m_Granter.warmStartId(State.m_Server).has_value();
      // A start that was warm stays so until its report says otherwise; the
      // granter needs some seconds before it knows anything.
      const bool WasWarm = m_Warm[I];
      m_Warm[I] = State.m_Cold ? false : m_Warm[I] || Warm;
      if (!WasWarm && m_Warm[I])
        m_Figures->m_Counts.m_WarmAfterSeconds =
            m_Now - m_Settings.m_DurationSeconds * m_Settings.m_WarmUpShare;
      for (const auto &Target : m_Nodes) {
        if (WasWarm != m_Warm[I])
          Target->m_Table.update(viewOf(I, m_Warm[I]));
        Target->m_Table.onLoadReport(
            State.m_Server,
            {State.m_Running, 0, m_Settings.m_Server.m_Capacity, At});
      }
    });
  }
}

void FleetRun::gossip() {
  for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
    const std::vector<OutlierRecord> Records =
        m_Nodes[I]->m_Outliers.records(now());
    at(m_Now + ReportLag, [this, I, Records] {
      for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
        if (Other != I)
          m_Nodes[Other]->m_Outliers.merge(Records, now());
    });
  }
}

void FleetRun::askSlots() {
  if (m_Now > m_Settings.m_DurationSeconds + DrainSeconds)
    return;
  at(m_Now + SlotAskInterval, [this] { askSlots(); });
  for (const auto &Source : m_Nodes) {
    for (std::size_t I = 0; I < m_Servers.size(); ++I) {
      if (m_Warm[I])
        continue;
      const auto Answer = m_Granter.onRequest(
          Source->m_Slots.makeRequest(fmt::format("{:05}", I),
                                      m_Settings.m_Server.m_Capacity, now()),
          now());
      if (const SlotGrant *Grant = std::get_if<SlotGrant>(&Answer))
        Source->m_Slots.onGrant(*Grant, now());
    }
  }
}

bool FleetRun::measured(double ArrivedAt) const {
  return ArrivedAt >= m_Settings.m_DurationSeconds * m_Settings.m_WarmUpShare;
}

} // namespace fulmarwinch
