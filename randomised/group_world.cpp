#include "randomised/group_world.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Timeout of a store call; the caller then gets Unavailable or Unknown.
constexpr std::int64_t StoreTimeoutMs = 1000;

StoreAnswer timedOutResponse(const StoreAction &Action) {
  if (const auto *Get = std::get_if<GetObject>(&Action))
    return GetCompleted{Get->m_Id, StoreOutcome::Unavailable, 0, ""};
  return PutCompleted{std::get<PutObject>(Action).m_Id, StoreOutcome::Unknown,
                      0};
}

} // namespace

GroupWorld::GroupWorld(const WorldSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed) {
  for (std::size_t Domain = 0; Domain < Settings.m_DomainVms.size(); ++Domain)
    for (std::size_t Vm = 0; Vm < Settings.m_DomainVms[Domain]; ++Vm) {
      const std::string Name = fmt::format("d{}-vm{:02}", Domain, Vm);
      m_Listed[Name] = {Name,
                        fmt::format("z{}", Domain),
                        fmt::format("d{}", Domain),
                        1,
                        false,
                        false};
      m_Engines[Name].m_ChecksFencing = !chance(Settings.m_UnfencedShare);
    }
  m_Nodes.resize(Settings.m_Nodes);
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    Node &CurrentNode = m_Nodes[Index];
    CurrentNode.m_Offset = static_cast<std::int64_t>(1000000 * (Index + 1));
    if (Settings.m_Skew)
      CurrentNode.m_Rate = 0.9991 + 0.0018 * static_cast<double>(Index % 2);
    startNode(Index);
  }
}

bool GroupWorld::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
}

MonotonicTime GroupWorld::timeOf(const Node &ForNode) const {
  const double ClockMicroseconds =
      static_cast<double>(m_Now) * 1000 * ForNode.m_Rate;
  return MonotonicTime(std::chrono::milliseconds(ForNode.m_Offset)) +
         Duration(static_cast<std::int64_t>(ClockMicroseconds));
}

void GroupWorld::startNode(std::size_t Index) {
  Node &CurrentNode = m_Nodes[Index];
  ++CurrentNode.m_Starts;
  LeaseSettings LeaseOptions;
  LeaseOptions.m_Shards = m_Settings.m_Shards;
  const std::string Name = fmt::format("n{}", Index);
  const std::string Writer = fmt::format("{}#{}", Name, CurrentNode.m_Starts);
  std::vector<std::string> Names;
  for (std::size_t OtherNode = 0; OtherNode < m_Nodes.size(); ++OtherNode)
    Names.push_back(fmt::format("n{}", OtherNode));
  CurrentNode.m_Leases =
      std::make_unique<LeaseManager>(LeaseOptions, "r", Name, Writer);
  CurrentNode.m_Leases->setLiveNodes(Names);
  CurrentNode.m_Controller = std::make_unique<GroupController>(
      m_Settings.m_Groups, Writer, m_Settings.m_Policy);
  CurrentNode.m_Controller->setDeployments(m_Specs);
}

void GroupWorld::setSpecs(const DeploymentSpecs &Specs) {
  m_Specs = Specs;
  for (Node &CurrentNode : m_Nodes)
    CurrentNode.m_Controller->setDeployments(Specs);
}

void GroupWorld::after(std::int64_t Milliseconds,
                       std::function<void()> Action) {
  m_Queue.emplace(m_Now + Milliseconds, std::move(Action));
}

void GroupWorld::run(double Seconds) {
  const auto End = m_Now + static_cast<std::int64_t>(Seconds * 1000);
  while (m_Now < End && m_Violation.empty())
    step();
}

void GroupWorld::step() {
  m_Now += m_Settings.m_StepMs;
  while (!m_Queue.empty() && m_Queue.begin()->first <= m_Now) {
    const std::function<void()> Action = std::move(m_Queue.begin()->second);
    m_Queue.erase(m_Queue.begin());
    Action();
  }
  advanceEngines();
  if (m_Now % 250 == 0)
    poll();
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    if (m_Nodes[Index].m_PausedUntil <= m_Now)
      tickNode(Index);
  readStore();
  checkEngines();
  checkViews();
  checkHolders();
  measure();
}

void GroupWorld::tickNode(std::size_t Index) {
  Node &CurrentNode = m_Nodes[Index];
  const MonotonicTime Now = timeOf(CurrentNode);
  for (const StoreAction &Action : CurrentNode.m_Leases->tick(Now))
    callStore(Index, Action, true);
  std::map<std::string, std::uint64_t> HeldDomainEpochs;
  for (const auto &[Name, Vm] : m_Listed) {
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

void GroupWorld::whenAwake(std::size_t Index, int Starts,
                           std::function<void()> Action) {
  const Node &CurrentNode = m_Nodes[Index];
  if (CurrentNode.m_Starts != Starts)
    return;
  if (CurrentNode.m_PausedUntil <= m_Now) {
    Action();
    return;
  }
  m_Queue.emplace(CurrentNode.m_PausedUntil, [this, Index, Starts, Action] {
    whenAwake(Index, Starts, Action);
  });
}

void GroupWorld::callStore(std::size_t Index, const StoreAction &Action,
                           bool ForLeases) {
  callStore(Index, Action,
            [this, Index, ForLeases](const StoreAnswer &Response) {
              answer(Index, Response, ForLeases);
            });
}

void GroupWorld::callStore(
    std::size_t Index, const StoreAction &Action,
    const std::function<void(const StoreAnswer &)> &OnResponse) {
  const int Starts = m_Nodes[Index].m_Starts;
  std::uniform_int_distribution<int> Delay(0, m_Settings.m_StoreDelayMs);
  const int RequestDelayMs = Delay(m_Random);
  const int ResponseDelayMs = Delay(m_Random);
  const bool RequestLost = chance(m_Settings.m_StoreLoss / 2) ||
                           (m_IsStoreReachable && !m_IsStoreReachable(Index));
  const bool ResponseLost = chance(m_Settings.m_StoreLoss / 2);
  const auto DeliverResponse = [this, Index, Starts,
                                OnResponse](const StoreAnswer &Response) {
    whenAwake(Index, Starts, [=] { OnResponse(Response); });
  };
  const bool IsAnsweredInTime =
      !RequestLost && !ResponseLost &&
      RequestDelayMs + ResponseDelayMs < StoreTimeoutMs;
  if (!RequestLost)
    after(RequestDelayMs, [=] {
      const StoreAnswer Response = m_Store.execute(Action);
      if (IsAnsweredInTime)
        after(ResponseDelayMs, [=] { DeliverResponse(Response); });
    });
  if (!IsAnsweredInTime)
    after(StoreTimeoutMs, [=] { DeliverResponse(timedOutResponse(Action)); });
}

void GroupWorld::answer(std::size_t Index, const StoreAnswer &Response,
                        bool ForLeases) {
  Node &CurrentNode = m_Nodes[Index];
  const MonotonicTime Now = timeOf(CurrentNode);
  const auto *Get = std::get_if<GetCompleted>(&Response);
  const auto *Put = std::get_if<PutCompleted>(&Response);
  if (ForLeases) {
    for (const StoreAction &Next :
         Get != nullptr ? CurrentNode.m_Leases->onGetCompleted(*Get, Now)
                        : CurrentNode.m_Leases->onPutCompleted(*Put, Now))
      callStore(Index, Next, true);
    return;
  }
  if (Get != nullptr)
    CurrentNode.m_Controller->onGetCompleted(*Get, Now);
  else
    CurrentNode.m_Controller->onPutCompleted(*Put, Now);
}

void GroupWorld::sendOrder(std::size_t Index, const EngineOrder &Order) {
  const int Starts = m_Nodes[Index].m_Starts;
  std::uniform_int_distribution<int> Delay(0, m_Settings.m_OrderDelayMs);
  const int DelayMs = Delay(m_Random);
  const bool IsLost = chance(m_Settings.m_OrderLoss);
  after(DelayMs, [=] {
    OrderCompleted Completed{Order.m_Vm, Order.m_Order, Order.m_Fence,
                             OrderOutcome::Unknown, 0};
    if (!IsLost)
      Completed = takeOrder(Order);
    whenAwake(Index, Starts, [=] {
      m_Nodes[Index].m_Controller->onOrderCompleted(Completed,
                                                    timeOf(m_Nodes[Index]));
    });
  });
}

OrderCompleted GroupWorld::takeOrder(const EngineOrder &Order) {
  FakeEngine &Engine = m_Engines.at(Order.m_Vm);
  OrderCompleted Completed{Order.m_Vm, Order.m_Order, Order.m_Fence,
                           OrderOutcome::Unknown, 0};
  if (!Engine.m_Up || Engine.m_Partitioned)
    return Completed;
  if (Engine.m_ChecksFencing && Order.m_Fence < Engine.m_HighestFence) {
    ++m_OrdersRefused;
    Completed.m_Outcome = OrderOutcome::Refused;
    Completed.m_HighestFence = Engine.m_HighestFence;
    return Completed;
  }
  Engine.m_HighestFence = std::max(Engine.m_HighestFence, Order.m_Fence);
  if (Order.m_Order == OrderKind::Role)
    Engine.m_DrainingRole = true;
  Completed.m_Outcome = OrderOutcome::Accepted;
  if (Order.m_Order == OrderKind::Unload) {
    if (m_OnEngineStop)
      m_OnEngineStop(Order.m_Vm, Order.m_Fence);
    Engine.m_DrainingRole = false;
    Engine.m_State = EngineState::Empty;
    Engine.m_Group.clear();
    Engine.m_Generation = 0;
  }
  const bool IsSameGroup = Engine.m_Group == Order.m_Group &&
                           Engine.m_Generation == Order.m_Generation &&
                           Engine.m_State != EngineState::Failed;
  if (Order.m_Order == OrderKind::Load && !IsSameGroup) {
    if (m_OnEngineStop)
      m_OnEngineStop(Order.m_Vm, Order.m_Fence);
    Engine.m_DrainingRole = false;
    Engine.m_State = EngineState::Loading;
    Engine.m_Group = Order.m_Group;
    Engine.m_Generation = Order.m_Generation;
    Engine.m_BytesLeft = m_Settings.m_Groups.m_WeightStore.m_BytesPerVm;
  }
  return Completed;
}

void GroupWorld::crash(const std::string &Vm, double Seconds, bool Replaced) {
  FakeEngine &Engine = m_Engines.at(Vm);
  if (!Engine.m_Up)
    return;
  Engine.m_Up = false;
  Engine.m_State = EngineState::Empty;
  Engine.m_Group.clear();
  Engine.m_Generation = 0;
  Engine.m_HighestFence = 0;
  Engine.m_DrainingRole = false;
  after(static_cast<std::int64_t>(Seconds * 1000), [this, Vm, Replaced] {
    FakeEngine &Restarted = m_Engines.at(Vm);
    Restarted.m_Up = true;
    ++Restarted.m_Starts;
    Restarted.m_StartedAt = m_Now;
    if (Replaced)
      ++m_Listed.at(Vm).m_Incarnation;
  });
}

void GroupWorld::partition(const std::string &Vm, double Seconds) {
  m_Engines.at(Vm).m_Partitioned = true;
  after(static_cast<std::int64_t>(Seconds * 1000),
        [this, Vm] { m_Engines.at(Vm).m_Partitioned = false; });
}

void GroupWorld::pause(std::size_t Node, double Seconds) {
  m_Nodes[Node].m_PausedUntil =
      m_Now + static_cast<std::int64_t>(Seconds * 1000);
}

void GroupWorld::restartNode(std::size_t Node) {
  m_Nodes[Node].m_PausedUntil = 0;
  startNode(Node);
}

std::vector<std::string> GroupWorld::vmNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Vm] : m_Listed)
    Names.push_back(Name);
  return Names;
}

void GroupWorld::advanceEngines() {
  const WeightStoreSettings &Weights = m_Settings.m_Groups.m_WeightStore;
  double LoadingEngines = 0;
  for (const auto &[Name, Engine] : m_Engines)
    if (Engine.m_Up && Engine.m_State == EngineState::Loading)
      LoadingEngines += 1;
  const double BytesPerSecond =
      std::min(Weights.m_VmBytesPerSecond,
               Weights.m_BytesPerSecond / std::max(LoadingEngines, 1.0));
  for (auto &[Name, Engine] : m_Engines) {
    if (Engine.m_Up && Engine.m_State == EngineState::Loading) {
      Engine.m_BytesLeft -=
          BytesPerSecond * static_cast<double>(m_Settings.m_StepMs) / 1000;
      if (Engine.m_BytesLeft <= 0) {
        Engine.m_State = EngineState::Ready;
        Engine.m_LoadedAt = m_Now;
      }
    }
    if (Engine.m_Up && !Engine.m_Partitioned &&
        Engine.m_State == EngineState::Ready)
      Engine.m_ReadyAt[{Engine.m_Group, Engine.m_Generation}] = m_Now;
  }
}

void GroupWorld::pollEngine(const std::string &Vm, const FakeEngine &Engine) {
  // A partitioned engine does not respond to health checks, and some responses
  // of other engines are lost.
  if (Engine.m_Partitioned || chance(m_Settings.m_OrderLoss))
    return;
  EngineReport Report;
  Report.m_Reachable = Engine.m_Up;
  Report.m_StartId = fmt::format("{}-{}", Vm, Engine.m_Starts);
  Report.m_Group = Engine.m_Group;
  Report.m_Generation = Engine.m_Generation;
  Report.m_State = Engine.m_State;
  Report.m_Running = Engine.m_Running;
  m_Responses[Vm] = Report;
  m_RespondedAt[Vm] = m_Now;
}

void GroupWorld::poll() {
  std::vector<ListedVm> Vms;
  for (const auto &[Name, Vm] : m_Listed)
    Vms.push_back(Vm);
  for (const auto &[Name, Engine] : m_Engines)
    pollEngine(Name, Engine);
  for (Node &CurrentNode : m_Nodes) {
    if (CurrentNode.m_PausedUntil > m_Now)
      continue;
    std::vector<ListedVm> VisibleVms = Vms;
    const std::size_t Index =
        static_cast<std::size_t>(std::distance(m_Nodes.data(), &CurrentNode));
    if (m_IsDrained)
      for (ListedVm &Vm : VisibleVms)
        Vm.m_Drained = m_IsDrained(Index, Vm);
    CurrentNode.m_Controller->setVms(VisibleVms);
    for (const auto &[Name, LastReport] : m_Responses) {
      EngineReport Report = LastReport;
      const std::int64_t SilenceMs = m_Now - m_RespondedAt[Name];
      Report.m_Reachable = Report.m_Reachable && SilenceMs <= 500;
      Report.m_At = timeOf(CurrentNode) - std::chrono::milliseconds(SilenceMs);
      CurrentNode.m_Controller->onEngineReport(Name, Report);
    }
    for (const auto &[Domain, StoredAssignment] : m_Stored)
      CurrentNode.m_Controller->onObservedAssignment(StoredAssignment);
  }
  publishViews();
}

void GroupWorld::publishViews() {
  std::map<std::string, AgedReport> Reports;
  for (const auto &[Name, LastReport] : m_Responses)
    Reports[Name] = {LastReport,
                     std::chrono::milliseconds(m_Now - m_RespondedAt[Name])};
  for (const auto &[Domain, StoredAssignment] : m_Stored) {
    for (const auto &[Id, Group] : StoredAssignment.m_Groups) {
      View &Published = m_Views[Id];
      Published.m_View = computeServingView(Id, Group, Reports);
      Published.m_PublishedAt = m_Now;
      Published.m_Members.clear();
      for (const GroupMember &Member : Group.m_Members)
        Published.m_Members.push_back(Member.m_Vm);
    }
  }
}

void GroupWorld::fail(const std::string &Problem) {
  if (m_Violation.empty())
    m_Violation = fmt::format("at {} ms: {}", m_Now, Problem);
}

} // namespace fulmarwinch
