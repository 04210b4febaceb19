#ifndef FULMARWINCH_SERVERS_MEASUREMENT_SCENARIO_H
#define FULMARWINCH_SERVERS_MEASUREMENT_SCENARIO_H

#include "core/json.h"
#include "core/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// What a scenario is run with.
struct ScenarioOptions {
  std::uint64_t m_Seed = 1;
  std::string m_Policy = "affinity";
  /// Length of one simulated run, warm-up included.
  double m_DurationSeconds = 40;
  /// Real clock and heap use of the process, for the cost of decisions.
  std::function<MonotonicTime()> m_Clock;
  std::function<std::size_t()> m_HeapBytes;
};

/// What a scenario measured. Each violation names a bound that was missed.
struct ScenarioResult {
  Json m_Figures = Json::object();
  std::vector<std::string> m_Violations;
};

/// One row of the scenario table.
struct Scenario {
  std::string_view m_Name;
  std::string_view m_Summary;
  ScenarioResult (*m_Run)(const ScenarioOptions &);
};

/// Scenarios of routing and admission; other parts add their own tables.
const std::vector<Scenario> &routingScenarios();

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_SCENARIO_H
