#include "randomised/group_world.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// The driver gives up a store call after this time.
constexpr std::int64_t StoreTimeoutMs = 1000;

StoreAnswer unanswered(const StoreAction &Action) {
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
    Node &Current = m_Nodes[Index];
    Current.m_Offset = static_cast<std::int64_t>(1000000 * (Index + 1));
    if (Settings.m_Skew)
      Current.m_Rate = 0.9991 + 0.0018 * static_cast<double>(Index % 2);
    startNode(Index);
  }
}

bool GroupWorld::chance(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Share;
}

MonotonicTime GroupWorld::timeOf(const Node &Of) const {
  const double Micros = static_cast<double>(m_Now) * 1000 * Of.m_Rate;
  return MonotonicTime(std::chrono::milliseconds(Of.m_Offset)) +
         Duration(static_cast<std::int64_t>(Micros));
}

void GroupWorld::startNode(std::size_t Index) {
  Node &Current = m_Nodes[Index];
  ++Current.m_Starts;
  LeaseSettings Leases;
  Leases.m_Shards = m_Settings.m_Shards;
  const std::string Name = fmt::format("n{}", Index);
  const std::string Writer = fmt::format("{}#{}", Name, Current.m_Starts);
  std::vector<std::string> Names;
  for (std::size_t Other = 0; Other < m_Nodes.size(); ++Other)
    Names.push_back(fmt::format("n{}", Other));
  Current.m_Leases = std::make_unique<LeaseManager>(Leases, "r", Name, Writer);
  Current.m_Leases->setLiveNodes(Names);
  Current.m_Controller = std::make_unique<GroupController>(
      m_Settings.m_Groups, Writer, m_Settings.m_Policy);
  Current.m_Controller->setDeployments(m_Specs);
}

void GroupWorld::setSpecs(const DeploymentSpecs &Specs) {
  m_Specs = Specs;
  for (Node &Current : m_Nodes)
    Current.m_Controller->setDeployments(Specs);
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
  Node &Current = m_Nodes[Index];
  const MonotonicTime Now = timeOf(Current);
  for (const StoreAction &Action : Current.m_Leases->tick(Now))
    callStore(Index, Action, true);
  std::map<std::string, std::uint64_t> Held;
  for (const auto &[Name, Vm] : m_Listed) {
    const std::string Shard = Current.m_Leases->shardOfDomain(Vm.m_Domain);
    if (Current.m_Leases->isHeld(Shard, Now))
      Held[Vm.m_Domain] = Current.m_Leases->epoch(Shard);
  }
  const GroupActions Actions = Current.m_Controller->tick(Now, Held);
  for (const StoreAction &Action : Actions.m_StoreActions)
    callStore(Index, Action, false);
  for (const EngineOrder &Order : Actions.m_Orders)
    sendOrder(Index, Order);
}

void GroupWorld::whenAwake(std::size_t Index, int Starts,
                           std::function<void()> Action) {
  const Node &Current = m_Nodes[Index];
  if (Current.m_Starts != Starts)
    return;
  if (Current.m_PausedUntil <= m_Now) {
    Action();
    return;
  }
  m_Queue.emplace(Current.m_PausedUntil, [this, Index, Starts, Action] {
    whenAwake(Index, Starts, Action);
  });
}

void GroupWorld::callStore(std::size_t Index, const StoreAction &Action,
                           bool ForLeases) {
  callStore(Index, Action, [this, Index, ForLeases](const StoreAnswer &Answer) {
    answer(Index, Answer, ForLeases);
  });
}

void GroupWorld::callStore(
    std::size_t Index, const StoreAction &Action,
    const std::function<void(const StoreAnswer &)> &Answered) {
  const int Starts = m_Nodes[Index].m_Starts;
  std::uniform_int_distribution<int> Delay(0, m_Settings.m_StoreDelayMs);
  const int ThereMs = Delay(m_Random);
  const int BackMs = Delay(m_Random);
  const bool RequestLost = chance(m_Settings.m_StoreLoss / 2) ||
                           (m_IsStoreReachable && !m_IsStoreReachable(Index));
  const bool AnswerLost = chance(m_Settings.m_StoreLoss / 2);
  const auto Deliver = [this, Index, Starts,
                        Answered](const StoreAnswer &Answer) {
    whenAwake(Index, Starts, [=] { Answered(Answer); });
  };
  const bool InTime =
      !RequestLost && !AnswerLost && ThereMs + BackMs < StoreTimeoutMs;
  if (!RequestLost)
    after(ThereMs, [=] {
      const StoreAnswer Answer = m_Store.execute(Action);
      if (InTime)
        after(BackMs, [=] { Deliver(Answer); });
    });
  if (!InTime)
    after(StoreTimeoutMs, [=] { Deliver(unanswered(Action)); });
}

void GroupWorld::answer(std::size_t Index, const StoreAnswer &Answer,
                        bool ForLeases) {
  Node &Current = m_Nodes[Index];
  const MonotonicTime Now = timeOf(Current);
  const auto *Get = std::get_if<GetCompleted>(&Answer);
  const auto *Put = std::get_if<PutCompleted>(&Answer);
  if (ForLeases) {
    for (const StoreAction &Next :
         Get != nullptr ? Current.m_Leases->onGetCompleted(*Get, Now)
                        : Current.m_Leases->onPutCompleted(*Put, Now))
      callStore(Index, Next, true);
    return;
  }
  if (Get != nullptr)
    Current.m_Controller->onGetCompleted(*Get, Now);
  else
    Current.m_Controller->onPutCompleted(*Put, Now);
}

void GroupWorld::sendOrder(std::size_t Index, const EngineOrder &Order) {
  const int Starts = m_Nodes[Index].m_Starts;
  std::uniform_int_distribution<int> Delay(0, m_Settings.m_OrderDelayMs);
  const int DelayMs = Delay(m_Random);
  const bool Lost = chance(m_Settings.m_OrderLoss);
  after(DelayMs, [=] {
    OrderCompleted Result{Order.m_Vm, Order.m_Order, Order.m_Fence,
                          OrderOutcome::Unknown, 0};
    if (!Lost)
      Result = takeOrder(Order);
    whenAwake(Index, Starts, [=] {
      m_Nodes[Index].m_Controller->onOrderCompleted(Result,
                                                    timeOf(m_Nodes[Index]));
    });
  });
}

OrderCompleted GroupWorld::takeOrder(const EngineOrder &Order) {
  FakeEngine &Engine = m_Engines.at(Order.m_Vm);
  OrderCompleted Result{Order.m_Vm, Order.m_Order, Order.m_Fence,
                        OrderOutcome::Unknown, 0};
  if (!Engine.m_Up || Engine.m_Partitioned)
    return Result;
  if (Engine.m_ChecksFencing && Order.m_Fence < Engine.m_HighestFence) {
    ++m_OrdersRefused;
    Result.m_Outcome = OrderOutcome::Refused;
    Result.m_HighestFence = Engine.m_HighestFence;
    return Result;
  }
  Engine.m_HighestFence = std::max(Engine.m_HighestFence, Order.m_Fence);
  if (Order.m_Order == OrderKind::Role)
    Engine.m_DrainingRole = true;
  Result.m_Outcome = OrderOutcome::Accepted;
  if (Order.m_Order == OrderKind::Unload) {
    if (m_OnEngineStop)
      m_OnEngineStop(Order.m_Vm, Order.m_Fence);
    Engine.m_DrainingRole = false;
    Engine.m_State = EngineState::Empty;
    Engine.m_Group.clear();
    Engine.m_Generation = 0;
  }
  const bool Same = Engine.m_Group == Order.m_Group &&
                    Engine.m_Generation == Order.m_Generation &&
                    Engine.m_State != EngineState::Failed;
  if (Order.m_Order == OrderKind::Load && !Same) {
    if (m_OnEngineStop)
      m_OnEngineStop(Order.m_Vm, Order.m_Fence);
    Engine.m_DrainingRole = false;
    Engine.m_State = EngineState::Loading;
    Engine.m_Group = Order.m_Group;
    Engine.m_Generation = Order.m_Generation;
    Engine.m_BytesLeft = m_Settings.m_Groups.m_WeightStore.m_BytesPerVm;
  }
  return Result;
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
    FakeEngine &Back = m_Engines.at(Vm);
    Back.m_Up = true;
    ++Back.m_Starts;
    Back.m_StartedAt = m_Now;
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
  double Loading = 0;
  for (const auto &[Name, Engine] : m_Engines)
    if (Engine.m_Up && Engine.m_State == EngineState::Loading)
      Loading += 1;
  const double Share =
      std::min(Weights.m_VmBytesPerSecond,
               Weights.m_BytesPerSecond / std::max(Loading, 1.0));
  for (auto &[Name, Engine] : m_Engines) {
    if (Engine.m_Up && Engine.m_State == EngineState::Loading) {
      Engine.m_BytesLeft -=
          Share * static_cast<double>(m_Settings.m_StepMs) / 1000;
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
  // A partitioned engine doesn't respond at all, and some responses are lost.
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
  for (Node &Current : m_Nodes) {
    if (Current.m_PausedUntil > m_Now)
      continue;
    std::vector<ListedVm> Seen = Vms;
    const std::size_t Index =
        static_cast<std::size_t>(std::distance(m_Nodes.data(), &Current));
    if (m_IsDrained)
      for (ListedVm &Vm : Seen)
        Vm.m_Drained = m_IsDrained(Index, Vm);
    Current.m_Controller->setVms(Seen);
    for (const auto &[Name, Response] : m_Responses) {
      EngineReport Report = Response;
      const std::int64_t Silent = m_Now - m_RespondedAt[Name];
      Report.m_Reachable = Report.m_Reachable && Silent <= 500;
      Report.m_At = timeOf(Current) - std::chrono::milliseconds(Silent);
      Current.m_Controller->onEngineReport(Name, Report);
    }
    for (const auto &[Domain, Value] : m_Stored)
      Current.m_Controller->onObservedAssignment(Value);
  }
  publishViews();
}

void GroupWorld::publishViews() {
  std::map<std::string, AgedReport> Reports;
  for (const auto &[Name, Response] : m_Responses)
    Reports[Name] = {Response,
                     std::chrono::milliseconds(m_Now - m_RespondedAt[Name])};
  for (const auto &[Domain, Value] : m_Stored) {
    for (const auto &[Id, Group] : Value.m_Groups) {
      View &Current = m_Views[Id];
      Current.m_View = computeServingView(Id, Group, Reports);
      Current.m_PublishedAt = m_Now;
      Current.m_Members.clear();
      for (const GroupMember &Member : Group.m_Members)
        Current.m_Members.push_back(Member.m_Vm);
    }
  }
}

void GroupWorld::fail(const std::string &Problem) {
  if (m_Violation.empty())
    m_Violation = fmt::format("at {} ms: {}", m_Now, Problem);
}

} // namespace fulmarwinch
