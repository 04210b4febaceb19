#include "servers/measurement/decision_cost.h"

#include "servers/routing/node_admission_gate.h"
#include "servers/routing/router.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr std::size_t SubsetSize = 16;
/// Upper bound for a median decision: the whole daemon may add at most 1 ms to
/// a request at the median.
constexpr double MaxMedianMicroseconds = 1000;

std::vector<std::string> groupNames(std::size_t GroupCount) {
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < GroupCount; ++I)
    Names.push_back(fmt::format("group-{:05}", I));
  return Names;
}

void addGroups(RoutingTable &Table, const std::vector<std::string> &Groups) {
  for (const std::string &Group : Groups) {
    GroupView View;
    View.m_Group = Group;
    View.m_Deployment = "d";
    View.m_Generation = 1;
    View.m_HeadAddress = "10.0.0.1:8000";
    View.m_Zone = "zone-1";
    View.m_Capability = {100000, {"adapter-1", "adapter-2"}, "v1"};
    View.m_ViewExpiry = MonotonicTime::max();
    View.m_Warm = true;
    Table.updateView(View);
    Table.onLoadReport(Group, {4, 0, 16, MonotonicTime(Duration(1))});
  }
}

/// Routes \p Repetitions requests. Returns the real time of each decision in
/// microseconds, sorted.
std::vector<double> timeDecisions(const ScenarioOptions &Options,
                                  RoutingTable &Table,
                                  std::size_t Repetitions) {
  NodeSlots Slots("n");
  NodeAdmissionGate Gate(Table, Slots);
  OutlierTracker Outliers;
  SelectionSettings Selection;
  Router Router(Table, Outliers, Gate,
                *makeStrategy(Options.m_Policy, Selection));
  std::mt19937_64 Random(Options.m_Seed);
  RouteRequest Request;
  Request.m_Deployment = "d";
  Request.m_PromptTokens = 4200;
  Request.m_OutputTokens = 100;
  std::vector<double> DecisionMicroseconds;
  for (std::size_t I = 0; I < Repetitions; ++I) {
    Request.m_PrefixHash = Random() % 400;
    const MonotonicTime Start = Options.m_Clock();
    const auto Decision = Router.route(Request, {}, Start, Random);
    const std::chrono::duration<double, std::micro> Elapsed =
        Options.m_Clock() - Start;
    DecisionMicroseconds.push_back(Elapsed.count());
    if (Decision.ok())
      Gate.endAttempt(Decision->m_View->m_Group, false, std::nullopt);
  }
  std::sort(DecisionMicroseconds.begin(), DecisionMicroseconds.end());
  return DecisionMicroseconds;
}

} // namespace

ScenarioResult runDecisionCost(const ScenarioOptions &Options) {
  ScenarioResult Result;
  for (const std::size_t GroupCount :
       {std::size_t{100}, std::size_t{1000}, std::size_t{10000}}) {
    const std::vector<std::string> Groups = groupNames(GroupCount);
    for (const bool UseSubset : {false, true}) {
      const std::vector<std::string> RoutedGroups =
          UseSubset ? chooseGroupSubset("n", Groups, SubsetSize) : Groups;
      const std::size_t HeapBytesBefore = Options.m_HeapBytes();
      RoutingTable Table;
      addGroups(Table, RoutedGroups);
      const std::size_t TableBytes = Options.m_HeapBytes() - HeapBytesBefore;
      const std::vector<double> DecisionMicroseconds =
          timeDecisions(Options, Table, GroupCount > 1000 ? 300 : 2000);
      const double Median =
          DecisionMicroseconds[DecisionMicroseconds.size() / 2];
      const std::string Key =
          fmt::format("{}{}", GroupCount, UseSubset ? "_subset" : "");
      Result.m_Metrics[Key] = {
          {"median_us", Median},
          {"p99_us",
           DecisionMicroseconds[DecisionMicroseconds.size() * 99 / 100]},
          {"table_bytes", TableBytes}};
      if (UseSubset && Median > MaxMedianMicroseconds)
        Result.m_Violations.push_back(fmt::format(
            "the median decision with {} groups takes {:.0f} us, above {} us",
            GroupCount, Median, MaxMedianMicroseconds));
    }
  }
  return Result;
}

} // namespace fulmarwinch
