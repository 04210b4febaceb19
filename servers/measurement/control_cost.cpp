#include "servers/measurement/control_cost.h"

#include "servers/configuration/configuration_view.h"
#include "servers/groups/group_controller.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr std::size_t VmsPerDomain = 40;
constexpr std::size_t VmsPerGroup = 4;
constexpr std::size_t MeasuredTickCount = 20;
constexpr std::size_t FormingTickCount = 60;
constexpr std::size_t MeasuredChangeCount = 20;
constexpr Duration TickPeriod = std::chrono::milliseconds(250);

/// A group controller that holds the leases of all failure domains. The store
/// and the engines complete each action at once.
class ControlledFleet {
public:
  explicit ControlledFleet(std::size_t Vms)
      : m_Controller(settings(), "writer",
                     std::make_shared<CostRepairPolicy>()) {
    for (std::size_t I = 0; I < Vms; ++I) {
      const std::string Domain = fmt::format("d{:05}", I / VmsPerDomain);
      m_Vms.push_back(
          {fmt::format("vm{:05}", I), "z1", Domain, 1, false, false});
      m_LeaseEpochs[Domain] = 1;
    }
    m_Controller.setDeployments(
        {{"d",
          {"d", "m", "v", VmsPerGroup, Vms * 9 / 10 / VmsPerGroup, 1, 1.0, 0.1,
           true}}});
    m_Controller.setVms(m_Vms);
  }

  /// Delivers a report of each engine and runs one tick of the controller.
  /// Returns the real time of the tick alone, in microseconds.
  double runTick(const std::function<MonotonicTime()> &Clock) {
    m_Now += TickPeriod;
    for (const ListedVm &Vm : m_Vms) {
      EngineReport &Report = m_Reports[Vm.m_Vm];
      Report.m_Reachable = true;
      Report.m_StartId = "s1";
      Report.m_PolledAt = m_Now;
      m_Controller.onEngineReport(Vm.m_Vm, Report);
    }
    const MonotonicTime Start = Clock();
    const GroupActions Actions = m_Controller.tick(m_Now, m_LeaseEpochs);
    const std::chrono::duration<double, std::micro> Elapsed = Clock() - Start;
    for (const StoreAction &Action : Actions.m_StoreActions)
      completeStoreAction(Action);
    for (const EngineOrder &Order : Actions.m_Orders)
      completeOrder(Order);
    return Elapsed.count();
  }

  std::size_t readyVms() const {
    return static_cast<std::size_t>(std::count_if(
        m_Reports.begin(), m_Reports.end(), [](const auto &Entry) {
          return Entry.second.m_State == EngineState::Ready;
        }));
  }

private:
  static GroupSettings settings() {
    GroupSettings Settings;
    // Bandwidth so high that the loading of weights does not affect the
    // measurement.
    Settings.m_WeightStore.m_BytesPerSecond = 1e15;
    return Settings;
  }

  void completeStoreAction(const StoreAction &Action) {
    if (const auto *Get = std::get_if<GetObject>(&Action)) {
      m_Controller.onGetCompleted({Get->m_Id, StoreOutcome::NotFound, 0, ""},
                                  m_Now);
      return;
    }
    const auto &Put = std::get<PutObject>(Action);
    m_Controller.onWriteCompleted(
        {Put.m_Id, StoreOutcome::Succeeded, Put.m_ExpectedVersion.next()},
        m_Now);
  }

  void completeOrder(const EngineOrder &Order) {
    EngineReport &Report = m_Reports[Order.m_Vm];
    const bool IsLoad = Order.m_Kind == EngineOrderKind::Load;
    Report.m_State = IsLoad ? EngineState::Ready : EngineState::Empty;
    Report.m_Group = IsLoad ? Order.m_Group : "";
    Report.m_Generation = IsLoad ? Order.m_Generation : 0;
    m_Controller.onOrderCompleted({Order.m_Vm, Order.m_Kind,
                                   Order.m_FencingToken, OrderOutcome::Accepted,
                                   0},
                                  m_Now);
  }

  GroupController m_Controller;
  std::vector<ListedVm> m_Vms;
  std::map<std::string, std::uint64_t> m_LeaseEpochs;
  EngineReports m_Reports;
  MonotonicTime m_Now{std::chrono::seconds(1000)};
};

Json groupControllerCost(const ScenarioOptions &Options, std::size_t Vms) {
  const std::size_t HeapBytesBefore = Options.m_HeapBytes();
  ControlledFleet Fleet(Vms);
  double LongestMicroseconds = 0;
  for (std::size_t I = 0; I < FormingTickCount; ++I)
    LongestMicroseconds =
        std::max(LongestMicroseconds, Fleet.runTick(Options.m_Clock));
  std::vector<double> SortedMicroseconds;
  for (std::size_t I = 0; I < MeasuredTickCount; ++I)
    SortedMicroseconds.push_back(Fleet.runTick(Options.m_Clock));
  std::sort(SortedMicroseconds.begin(), SortedMicroseconds.end());
  return {{"tick_median_us", SortedMicroseconds[SortedMicroseconds.size() / 2]},
          {"tick_longest_forming_us", LongestMicroseconds},
          {"ready_vms", Fleet.readyVms()},
          {"bytes", Options.m_HeapBytes() - HeapBytesBefore}};
}

Json configurationViewCost(const ScenarioOptions &Options,
                           std::size_t Entries) {
  const std::size_t HeapBytesBefore = Options.m_HeapBytes();
  ConfigurationChange Change{1, "plan", "operator", 0, {}};
  for (std::size_t I = 0; I < Entries; ++I) {
    const std::string Vm = fmt::format("vm{:05}", I);
    Change.m_Entries.push_back(
        {{EntryKind::VmDrain, Vm},
         fmt::format(R"({{"kind":"vm_drain","name":"{}"}})", Vm)});
  }
  ConfigurationView::Pointer View =
      ConfigurationView::makeEmpty()->withChange(Change).value();
  Change.m_Entries.resize(1);
  const std::size_t HeapBytes = Options.m_HeapBytes() - HeapBytesBefore;
  std::vector<double> SortedMicroseconds;
  for (std::size_t I = 0; I < MeasuredChangeCount; ++I) {
    ++Change.m_Revision;
    const MonotonicTime Start = Options.m_Clock();
    View = View->withChange(Change).value();
    const std::chrono::duration<double, std::micro> Elapsed =
        Options.m_Clock() - Start;
    SortedMicroseconds.push_back(Elapsed.count());
  }
  std::sort(SortedMicroseconds.begin(), SortedMicroseconds.end());
  return {
      {"change_median_us", SortedMicroseconds[SortedMicroseconds.size() / 2]},
      {"bytes", HeapBytes}};
}

} // namespace

ScenarioResult runControlCost(const ScenarioOptions &Options) {
  ScenarioResult Result;
  for (const std::size_t Count :
       {std::size_t{100}, std::size_t{1000}, std::size_t{10000}}) {
    Json Groups = groupControllerCost(Options, Count);
    if (Groups["ready_vms"] == 0)
      Result.m_Violations.push_back(
          fmt::format("no group was formed with {} VMs", Count));
    Result.m_Metrics[fmt::format("groups_{}", Count)] = std::move(Groups);
    Result.m_Metrics[fmt::format("view_{}", Count)] =
        configurationViewCost(Options, Count);
  }
  return Result;
}

} // namespace fulmarwinch
