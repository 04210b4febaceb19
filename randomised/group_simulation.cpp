#include "randomised/group_simulation.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Timeout of a store call; the caller then gets Unavailable or Unknown.
constexpr std::int64_t StoreTimeoutMs = 1000;

StoreResponse timedOutResponse(const StoreAction &Action) {
  if (const auto *Get = std::get_if<GetObject>(&Action))
    return GetCompleted{Get->m_Id, StoreOutcome::Unavailable, 0, ""};
  return WriteCompleted{std::get<PutObject>(Action).m_Id, StoreOutcome::Unknown,
                        0};
}

} // namespace

GroupSimulation::GroupSimulation(const GroupSimulationSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed) {
  for (std::size_t Domain = 0; Domain < Settings.m_VmsPerDomain.size();
       ++Domain)
    for (std::size_t Vm = 0; Vm < Settings.m_VmsPerDomain[Domain]; ++Vm) {
      const std::string Name = fmt::format("d{}-vm{:02}", Domain, Vm);
      m_ListedVms[Name] = {Name,
                           fmt::format("z{}", Domain),
                           fmt::format("d{}", Domain),
                           1,
                           false,
                           false};
      m_Engines[Name].m_ChecksFencing =
          !drawWithProbability(Settings.m_ShareOfEnginesWithoutFencing);
    }
  m_Nodes.resize(Settings.m_NodeCount);
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    Node &CurrentNode = m_Nodes[Index];
    CurrentNode.m_ClockOffsetMs =
        static_cast<std::int64_t>(1000000 * (Index + 1));
    if (Settings.m_NodeClocksDrift)
      CurrentNode.m_ClockRate =
          0.9991 + 0.0018 * static_cast<double>(Index % 2);
    startNode(Index);
  }
}

bool GroupSimulation::drawWithProbability(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
}

MonotonicTime GroupSimulation::clockOf(const Node &ForNode) const {
  const double ClockMicroseconds =
      static_cast<double>(m_NowMs) * 1000 * ForNode.m_ClockRate;
  return MonotonicTime(std::chrono::milliseconds(ForNode.m_ClockOffsetMs)) +
         Duration(static_cast<std::int64_t>(ClockMicroseconds));
}

void GroupSimulation::startNode(std::size_t Index) {
  Node &CurrentNode = m_Nodes[Index];
  ++CurrentNode.m_StartCount;
  LeaseSettings LeaseOptions;
  LeaseOptions.m_ShardCount = m_Settings.m_ShardCount;
  const std::string Name = fmt::format("n{}", Index);
  const std::string Writer =
      fmt::format("{}#{}", Name, CurrentNode.m_StartCount);
  std::vector<std::string> Names;
  for (std::size_t OtherNode = 0; OtherNode < m_Nodes.size(); ++OtherNode)
    Names.push_back(fmt::format("n{}", OtherNode));
  CurrentNode.m_Leases =
      std::make_unique<LeaseManager>(LeaseOptions, "r", Name, Writer);
  CurrentNode.m_Leases->setLiveNodes(Names);
  CurrentNode.m_Controller = std::make_unique<GroupController>(
      m_Settings.m_GroupSettings, Writer, m_Settings.m_RepairPolicy);
  CurrentNode.m_Controller->setDeployments(m_Specs);
}

void GroupSimulation::setSpecs(const DeploymentSpecs &Specs) {
  m_Specs = Specs;
  for (Node &CurrentNode : m_Nodes)
    CurrentNode.m_Controller->setDeployments(Specs);
}

void GroupSimulation::scheduleAfter(std::int64_t Milliseconds,
                                    std::function<void()> Action) {
  m_ScheduledActions.emplace(m_NowMs + Milliseconds, std::move(Action));
}

void GroupSimulation::runFor(double Seconds) {
  const auto End = m_NowMs + static_cast<std::int64_t>(Seconds * 1000);
  while (m_NowMs < End && m_Violation.empty())
    step();
}

void GroupSimulation::step() {
  m_NowMs += m_Settings.m_StepMs;
  while (!m_ScheduledActions.empty() &&
         m_ScheduledActions.begin()->first <= m_NowMs) {
    const std::function<void()> Action =
        std::move(m_ScheduledActions.begin()->second);
    m_ScheduledActions.erase(m_ScheduledActions.begin());
    Action();
  }
  advanceWeightLoads();
  if (m_NowMs % 250 == 0)
    runHealthChecks();
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    if (m_Nodes[Index].m_PausedUntil <= m_NowMs)
      tickNode(Index);
  checkStore();
  checkEngineAssignments();
  checkPublishedViews();
  checkLeaseHolders();
  addDowntime();
}

void GroupSimulation::tickNode(std::size_t Index) {
  Node &CurrentNode = m_Nodes[Index];
  const MonotonicTime Now = clockOf(CurrentNode);
  for (const StoreAction &Action : CurrentNode.m_Leases->tick(Now))
    callStore(Index, Action, true);
  std::map<std::string, std::uint64_t> HeldDomainEpochs;
  for (const auto &[Name, Vm] : m_ListedVms) {
    const std::string Shard = CurrentNode.m_Leases->shardOfDomain(Vm.m_Domain);
    if (CurrentNode.m_Leases->isHeld(Shard, Now))
      HeldDomainEpochs[Vm.m_Domain] = CurrentNode.m_Leases->epoch(Shard);
  }
  const GroupActions Actions =
      CurrentNode.m_Controller->tick(Now, HeldDomainEpochs);
  for (const StoreAction &Action : Actions.m_StoreActions)
    callStore(Index, Action, false);
  for (const EngineOrder &Order : Actions.m_Orders)
    sendOrder(Index, Order);
}

void GroupSimulation::runWhenUnpaused(std::size_t Index, int Starts,
                                      std::function<void()> Action) {
  const Node &CurrentNode = m_Nodes[Index];
  if (CurrentNode.m_StartCount != Starts)
    return;
  if (CurrentNode.m_PausedUntil <= m_NowMs) {
    Action();
    return;
  }
  m_ScheduledActions.emplace(CurrentNode.m_PausedUntil,
                             [this, Index, Starts, Action] {
                               runWhenUnpaused(Index, Starts, Action);
                             });
}

void GroupSimulation::callStore(std::size_t Index, const StoreAction &Action,
                                bool ForLeases) {
  callStore(Index, Action,
            [this, Index, ForLeases](const StoreResponse &Response) {
              onStoreResponse(Index, Response, ForLeases);
            });
}

void GroupSimulation::callStore(
    std::size_t Index, const StoreAction &Action,
    const std::function<void(const StoreResponse &)> &OnResponse) {
  const int Starts = m_Nodes[Index].m_StartCount;
  std::uniform_int_distribution<int> Delay(0, m_Settings.m_MaxStoreDelayMs);
  const int RequestDelayMs = Delay(m_Random);
  const int ResponseDelayMs = Delay(m_Random);
  const bool RequestLost =
      drawWithProbability(m_Settings.m_StoreLossProbability / 2) ||
      (m_IsStoreReachable && !m_IsStoreReachable(Index));
  const bool ResponseLost =
      drawWithProbability(m_Settings.m_StoreLossProbability / 2);
  const auto DeliverResponse = [this, Index, Starts,
                                OnResponse](const StoreResponse &Response) {
    runWhenUnpaused(Index, Starts, [=] { OnResponse(Response); });
  };
  const bool IsAnsweredInTime =
      !RequestLost && !ResponseLost &&
      RequestDelayMs + ResponseDelayMs < StoreTimeoutMs;
  if (!RequestLost)
    scheduleAfter(RequestDelayMs, [=] {
      const StoreResponse Response = m_Store.execute(Action);
      if (IsAnsweredInTime)
        scheduleAfter(ResponseDelayMs, [=] { DeliverResponse(Response); });
    });
  if (!IsAnsweredInTime)
    scheduleAfter(StoreTimeoutMs,
                  [=] { DeliverResponse(timedOutResponse(Action)); });
}

void GroupSimulation::onStoreResponse(std::size_t Index,
                                      const StoreResponse &Response,
                                      bool ForLeases) {
  Node &CurrentNode = m_Nodes[Index];
  const MonotonicTime Now = clockOf(CurrentNode);
  const auto *Get = std::get_if<GetCompleted>(&Response);
  const auto *Put = std::get_if<WriteCompleted>(&Response);
  if (ForLeases) {
    for (const StoreAction &Next :
         Get != nullptr ? CurrentNode.m_Leases->onGetCompleted(*Get, Now)
                        : CurrentNode.m_Leases->onWriteCompleted(*Put, Now))
      callStore(Index, Next, true);
    return;
  }
  if (Get != nullptr)
    CurrentNode.m_Controller->onGetCompleted(*Get, Now);
  else
    CurrentNode.m_Controller->onWriteCompleted(*Put, Now);
}

void GroupSimulation::sendOrder(std::size_t Index, const EngineOrder &Order) {
  const int Starts = m_Nodes[Index].m_StartCount;
  std::uniform_int_distribution<int> Delay(0, m_Settings.m_MaxOrderDelayMs);
  const int DelayMs = Delay(m_Random);
  const bool IsLost = drawWithProbability(m_Settings.m_OrderLossProbability);
  scheduleAfter(DelayMs, [=] {
    OrderCompleted Completed{Order.m_Vm, Order.m_Kind, Order.m_FencingToken,
                             OrderOutcome::Unknown, 0};
    if (!IsLost)
      Completed = executeOrder(Order);
    runWhenUnpaused(Index, Starts, [=] {
      m_Nodes[Index].m_Controller->onOrderCompleted(Completed,
                                                    clockOf(m_Nodes[Index]));
    });
  });
}

OrderCompleted GroupSimulation::executeOrder(const EngineOrder &Order) {
  FakeEngine &Engine = m_Engines.at(Order.m_Vm);
  OrderCompleted Completed{Order.m_Vm, Order.m_Kind, Order.m_FencingToken,
                           OrderOutcome::Unknown, 0};
  if (!Engine.m_IsUp || Engine.m_IsPartitioned)
    return Completed;
  if (Engine.m_ChecksFencing &&
      Order.m_FencingToken < Engine.m_HighestFencingToken) {
    ++m_RefusedOrderCount;
    Completed.m_Outcome = OrderOutcome::Refused;
    Completed.m_HighestFencingToken = Engine.m_HighestFencingToken;
    return Completed;
  }
  Engine.m_HighestFencingToken =
      std::max(Engine.m_HighestFencingToken, Order.m_FencingToken);
  if (Order.m_Kind == EngineOrderKind::SetDrainingRole)
    Engine.m_IsDraining = true;
  Completed.m_Outcome = OrderOutcome::Accepted;
  if (Order.m_Kind == EngineOrderKind::Unload) {
    if (m_BeforeEngineStop)
      m_BeforeEngineStop(Order.m_Vm, Order.m_FencingToken);
    Engine.m_IsDraining = false;
    Engine.m_State = EngineState::Empty;
    Engine.m_Group.clear();
    Engine.m_Generation = 0;
  }
  const bool IsSameGroup = Engine.m_Group == Order.m_Group &&
                           Engine.m_Generation == Order.m_Generation &&
                           Engine.m_State != EngineState::Failed;
  if (Order.m_Kind == EngineOrderKind::Load && !IsSameGroup) {
    if (m_BeforeEngineStop)
      m_BeforeEngineStop(Order.m_Vm, Order.m_FencingToken);
    Engine.m_IsDraining = false;
    Engine.m_State = EngineState::Loading;
    Engine.m_Group = Order.m_Group;
    Engine.m_Generation = Order.m_Generation;
    Engine.m_WeightBytesLeft =
        m_Settings.m_GroupSettings.m_WeightStore.m_BytesPerVm;
  }
  return Completed;
}

void GroupSimulation::crashEngine(const std::string &Vm, double Seconds,
                                  bool Replaced) {
  FakeEngine &Engine = m_Engines.at(Vm);
  if (!Engine.m_IsUp)
    return;
  Engine.m_IsUp = false;
  Engine.m_State = EngineState::Empty;
  Engine.m_Group.clear();
  Engine.m_Generation = 0;
  Engine.m_HighestFencingToken = 0;
  Engine.m_IsDraining = false;
  scheduleAfter(static_cast<std::int64_t>(Seconds * 1000),
                [this, Vm, Replaced] {
                  FakeEngine &Restarted = m_Engines.at(Vm);
                  Restarted.m_IsUp = true;
                  ++Restarted.m_StartCount;
                  Restarted.m_StartedAt = m_NowMs;
                  if (Replaced)
                    ++m_ListedVms.at(Vm).m_Incarnation;
                });
}

void GroupSimulation::partitionVm(const std::string &Vm, double Seconds) {
  m_Engines.at(Vm).m_IsPartitioned = true;
  scheduleAfter(static_cast<std::int64_t>(Seconds * 1000),
                [this, Vm] { m_Engines.at(Vm).m_IsPartitioned = false; });
}

void GroupSimulation::pauseNode(std::size_t Node, double Seconds) {
  m_Nodes[Node].m_PausedUntil =
      m_NowMs + static_cast<std::int64_t>(Seconds * 1000);
}

void GroupSimulation::restartNode(std::size_t Node) {
  m_Nodes[Node].m_PausedUntil = 0;
  startNode(Node);
}

std::vector<std::string> GroupSimulation::vmNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Vm] : m_ListedVms)
    Names.push_back(Name);
  return Names;
}

void GroupSimulation::advanceWeightLoads() {
  const WeightStoreSettings &Weights = m_Settings.m_GroupSettings.m_WeightStore;
  double LoadingEngines = 0;
  for (const auto &[Name, Engine] : m_Engines)
    if (Engine.m_IsUp && Engine.m_State == EngineState::Loading)
      LoadingEngines += 1;
  const double BytesPerSecond =
      std::min(Weights.m_VmBytesPerSecond,
               Weights.m_BytesPerSecond / std::max(LoadingEngines, 1.0));
  for (auto &[Name, Engine] : m_Engines) {
    if (Engine.m_IsUp && Engine.m_State == EngineState::Loading) {
      Engine.m_WeightBytesLeft -=
          BytesPerSecond * static_cast<double>(m_Settings.m_StepMs) / 1000;
      if (Engine.m_WeightBytesLeft <= 0) {
        Engine.m_State = EngineState::Ready;
        Engine.m_ReadySince = m_NowMs;
      }
    }
    if (Engine.m_IsUp && !Engine.m_IsPartitioned &&
        Engine.m_State == EngineState::Ready)
      Engine.m_LastReadyAt[{Engine.m_Group, Engine.m_Generation}] = m_NowMs;
  }
}

void GroupSimulation::checkHealth(const std::string &Vm,
                                  const FakeEngine &Engine) {
  // A partitioned engine does not respond to health checks, and some responses
  // of other engines are lost.
  if (Engine.m_IsPartitioned ||
      drawWithProbability(m_Settings.m_OrderLossProbability))
    return;
  EngineReport Report;
  Report.m_Reachable = Engine.m_IsUp;
  Report.m_StartId = fmt::format("{}-{}", Vm, Engine.m_StartCount);
  Report.m_Group = Engine.m_Group;
  Report.m_Generation = Engine.m_Generation;
  Report.m_State = Engine.m_State;
  Report.m_RunningRequests = Engine.m_RunningRequests;
  m_LastEngineReports[Vm] = Report;
  m_LastEngineReportAt[Vm] = m_NowMs;
}

void GroupSimulation::runHealthChecks() {
  std::vector<ListedVm> Vms;
  for (const auto &[Name, Vm] : m_ListedVms)
    Vms.push_back(Vm);
  for (const auto &[Name, Engine] : m_Engines)
    checkHealth(Name, Engine);
  for (Node &CurrentNode : m_Nodes) {
    if (CurrentNode.m_PausedUntil > m_NowMs)
      continue;
    std::vector<ListedVm> VisibleVms = Vms;
    const std::size_t Index =
        static_cast<std::size_t>(std::distance(m_Nodes.data(), &CurrentNode));
    if (m_IsDrained)
      for (ListedVm &Vm : VisibleVms)
        Vm.m_Drained = m_IsDrained(Index, Vm);
    CurrentNode.m_Controller->setVms(VisibleVms);
    for (const auto &[Name, LastReport] : m_LastEngineReports) {
      EngineReport Report = LastReport;
      const std::int64_t SilenceMs = m_NowMs - m_LastEngineReportAt[Name];
      Report.m_Reachable = Report.m_Reachable && SilenceMs <= 500;
      Report.m_PolledAt =
          clockOf(CurrentNode) - std::chrono::milliseconds(SilenceMs);
      CurrentNode.m_Controller->onEngineReport(Name, Report);
    }
    for (const auto &[Domain, StoredAssignment] : m_StoredAssignments)
      CurrentNode.m_Controller->onObservedAssignment(StoredAssignment);
  }
  publishServingViews();
}

void GroupSimulation::publishServingViews() {
  std::map<std::string, AgedReport> Reports;
  for (const auto &[Name, LastReport] : m_LastEngineReports)
    Reports[Name] = {LastReport, std::chrono::milliseconds(
                                     m_NowMs - m_LastEngineReportAt[Name])};
  for (const auto &[Domain, StoredAssignment] : m_StoredAssignments) {
    for (const auto &[Id, Group] : StoredAssignment.m_Groups) {
      PublishedView &Published = m_PublishedViews[Id];
      Published.m_ServingView = computeServingView(Id, Group, Reports);
      Published.m_PublishedAt = m_NowMs;
      Published.m_Members.clear();
      for (const GroupMember &Member : Group.m_Members)
        Published.m_Members.push_back(Member.m_Vm);
    }
  }
}

void GroupSimulation::recordViolation(const std::string &Problem) {
  if (m_Violation.empty())
    m_Violation = fmt::format("at {} ms: {}", m_NowMs, Problem);
}

} // namespace fulmarwinch
