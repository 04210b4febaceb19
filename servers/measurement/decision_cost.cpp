#include "servers/measurement/decision_cost.h"

#include "servers/routing/node_admission_gate.h"
#include "servers/routing/router.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr std::size_t SubsetSize = 16;
/// The daemon may add 1 ms at the median in total.
constexpr double MostMedianMicroseconds = 1000;

std::vector<std::string> groupNames(std::size_t Count) {
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Count; ++I)
    Names.push_back(fmt::format("group-{:05}", I));
  return Names;
}

void fill(RoutingTable &Table, const std::vector<std::string> &Groups) {
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
    Table.update(View);
    Table.onLoadReport(Group, {4, 0, 16, MonotonicTime(Duration(1))});
  }
}

/// Times of one decision in microseconds, sorted.
std::vector<double> timeDecisions(const ScenarioOptions &Options,
                                  RoutingTable &Table, std::size_t Count) {
  SlotHolder Slots("n");
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
  std::vector<double> Times;
  for (std::size_t I = 0; I < Count; ++I) {
    Request.m_PrefixHash = Random() % 400;
    const MonotonicTime Start = Options.m_Clock();
    const auto Decision = Router.route(Request, {}, Start, Random);
    const std::chrono::duration<double, std::micro> Spent =
        Options.m_Clock() - Start;
    Times.push_back(Spent.count());
    if (Decision.ok())
      Gate.end(Decision->m_View->m_Group, false, std::nullopt);
  }
  std::sort(Times.begin(), Times.end());
  return Times;
}

} // namespace

ScenarioResult runDecisionCost(const ScenarioOptions &Options) {
  ScenarioResult Result;
  for (const std::size_t Servers :
       {std::size_t{100}, std::size_t{1000}, std::size_t{10000}}) {
    const std::vector<std::string> Groups = groupNames(Servers);
    for (const bool Subset : {false, true}) {
      const std::vector<std::string> Used =
          Subset ? chooseSubset("n", Groups, SubsetSize) : Groups;
      const std::size_t Before = Options.m_HeapBytes();
      RoutingTable Table;
      fill(Table, Used);
      const std::size_t Bytes = Options.m_HeapBytes() - Before;
      const std::vector<double> Times =
          timeDecisions(Options, Table, Servers > 1000 ? 300 : 2000);
      const double Median = Times[Times.size() / 2];
      const std::string Key =
          fmt::format("{}{}", Servers, Subset ? "_subset" : "");
      Result.m_Figures[Key] = {{"median_us", Median},
                               {"p99_us", Times[Times.size() * 99 / 100]},
                               {"table_bytes", Bytes}};
      if (Subset && Median > MostMedianMicroseconds)
        Result.m_Violations.push_back(
            fmt::format("a decision at {} servers takes {:.0f} us, above {}",
                        Servers, Median, MostMedianMicroseconds));
    }
  }
  return Result;
}

} // namespace fulmarwinch
