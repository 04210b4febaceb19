#ifndef FULMARWINCH_SERVERS_MEASUREMENT_SCENARIO_H
#define FULMARWINCH_SERVERS_MEASUREMENT_SCENARIO_H

#include "core/json.h"
#include "core/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Options of a scenario run.
struct ScenarioOptions {
  std::uint64_t m_Seed = 1;
  std::string m_Policy = "affinity";
  /// Simulated duration of one run, including the warm-up.
  double m_DurationSeconds = 40;
  /// Real clock and heap use of the process, for scenarios that measure the
  /// cost of the code itself.
  std::function<MonotonicTime()> m_Clock;
  std::function<std::size_t()> m_HeapBytes;
};

/// Measured figures of a scenario, and a message for each violated bound.
struct ScenarioResult {
  Json m_Metrics = Json::object();
  std::vector<std::string> m_Violations;
};

/// A named scenario with its entry point.
struct Scenario {
  std::string_view m_Name;
  std::string_view m_Summary;
  ScenarioResult (*m_Run)(const ScenarioOptions &);
};

/// Returns the scenarios of routing, admission and control cost.
const std::vector<Scenario> &routingScenarios();

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_SCENARIO_H
