#include "servers/measurement/scenario.h"

#include "servers/measurement/control_cost.h"
#include "servers/measurement/decision_cost.h"
#include "servers/measurement/fleet_run.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

constexpr double FirstTokenObjective = FleetFigures::FirstTokenObjective;
constexpr double PerTokenObjective = 0.029;
constexpr double MostMisdirected = 0.004;
constexpr double MostNoise = 1.2;
constexpr double LeastGain = 1.75;
constexpr double MostRefused = 0.01;

FleetSettings settingsFor(const ScenarioOptions &Options) {
  FleetSettings Settings;
  Settings.m_Seed = Options.m_Seed;
  Settings.m_Policy = Options.m_Policy;
  Settings.m_DurationSeconds = Options.m_DurationSeconds;
  return Settings;
}

Json toJson(const FleetFigures &Figures) {
  return {{"arrived", Figures.m_Arrived},
          {"completed", Figures.m_Completed},
          {"refused", Figures.m_Refused},
          {"first_token_p95_s", Figures.m_FirstTokenP95},
          {"first_token_p99_s", Figures.m_FirstTokenP99},
          {"per_token_p95_s", Figures.m_PerTokenP95},
          {"cache_hit_share", Figures.m_HitShare},
          {"late", Figures.m_Late},
          {"late_misses", Figures.m_LateMisses},
          {"late_at_node_s", Figures.m_LateAtNode},
          {"late_for_place_s", Figures.m_LateForPlace},
          {"late_for_read_s", Figures.m_LateForRead}};
}

bool meetsObjective(const FleetFigures &Figures) {
  const double Arrived = static_cast<double>(Figures.m_Arrived);
  return Figures.m_FirstTokenP95 <= FirstTokenObjective &&
         static_cast<double>(Figures.m_Completed) >=
             Arrived * (1 - MostRefused);
}

/// Searches the highest rate at which the objective is met.
double sustainedRate(FleetSettings Settings) {
  double Low = 0;
  double High = 800;
  for (int Step = 0; Step < 10; ++Step) {
    Settings.m_Rate = (Low + High) / 2;
    (meetsObjective(FleetRun(Settings).run()) ? Low : High) = Settings.m_Rate;
  }
  return Low;
}

ScenarioResult compareRates(const FleetSettings &Settings) {
  FleetSettings Baseline = Settings;
  Baseline.m_Policy = "round-robin";
  const double Rate = sustainedRate(Settings);
  const double BaselineRate = sustainedRate(Baseline);
  ScenarioResult Result;
  FleetSettings AtRate = Settings;
  AtRate.m_Rate = Rate;
  Result.m_Figures = toJson(FleetRun(AtRate).run());
  Result.m_Figures["sustained_rate"] = Rate;
  Result.m_Figures["round_robin_rate"] = BaselineRate;
  const double Gain = BaselineRate > 0 ? Rate / BaselineRate : 0;
  Result.m_Figures["gain"] = Gain;
  // The bound holds for the default policy; the others are baselines.
  if (Settings.m_Policy == "affinity" && Gain < LeastGain)
    Result.m_Violations.push_back(
        fmt::format("gain {:.2f} is below {}", Gain, LeastGain));
  return Result;
}

ScenarioResult runSteady(const ScenarioOptions &Options) {
  return compareRates(settingsFor(Options));
}

ScenarioResult runMorningBurst(const ScenarioOptions &Options) {
  FleetSettings Settings = settingsFor(Options);
  Settings.m_BurstShare = 0.4;
  return compareRates(Settings);
}

ScenarioResult runCapabilityMismatch(const ScenarioOptions &Options) {
  FleetSettings Settings = settingsFor(Options);
  Settings.m_Mismatched = 5;
  Settings.m_SpecialShare = 0.2;
  const FleetFigures Figures = FleetRun(Settings).run();
  ScenarioResult Result{toJson(Figures), {}};
  const double Share = static_cast<double>(Figures.m_Misdirected) /
                       static_cast<double>(Figures.m_Dispatched);
  Result.m_Figures["misdirected_share"] = Share;
  if (Share > MostMisdirected)
    Result.m_Violations.push_back(fmt::format(
        "misdirected share {:.4f} is above {}", Share, MostMisdirected));
  return Result;
}

ScenarioResult runStraggler(const ScenarioOptions &Options) {
  FleetSettings Settings = settingsFor(Options);
  Settings.m_Stragglers = 3;
  const FleetFigures Figures = FleetRun(Settings).run();
  ScenarioResult Result{toJson(Figures), {}};
  Result.m_Figures["straggler_share"] =
      static_cast<double>(Figures.m_ToStragglers) /
      static_cast<double>(Figures.m_Dispatched);
  if (Figures.m_FirstTokenP95 > FirstTokenObjective)
    Result.m_Violations.push_back(
        fmt::format("first token p95 {:.3f} s is above {} s",
                    Figures.m_FirstTokenP95, FirstTokenObjective));
  if (Figures.m_PerTokenP95 > PerTokenObjective)
    Result.m_Violations.push_back(
        fmt::format("time per token p95 {:.4f} s is above {} s",
                    Figures.m_PerTokenP95, PerTokenObjective));
  return Result;
}

ScenarioResult runNoisyOrganisation(const ScenarioOptions &Options) {
  FleetSettings Settings = settingsFor(Options);
  const FleetFigures Quiet = FleetRun(Settings).run();
  Settings.m_NoiseFactor = 20;
  const FleetFigures Noisy = FleetRun(Settings).run();
  // Shows what the fair queue alone does; without a limit the extra work is
  // within the fleet's capacity and has to be served.
  Settings.m_Limits = false;
  const FleetFigures Unlimited = FleetRun(Settings).run();
  ScenarioResult Result{toJson(Noisy), {}};
  Result.m_Figures["others_p99_unlimited_s"] = Unlimited.m_OthersP99;
  const double Ratio = Noisy.m_OthersP99 / Quiet.m_OthersP99;
  Result.m_Figures["others_p99_quiet_s"] = Quiet.m_OthersP99;
  Result.m_Figures["others_p99_noisy_s"] = Noisy.m_OthersP99;
  Result.m_Figures["others_p99_ratio"] = Ratio;
  if (Ratio > MostNoise)
    Result.m_Violations.push_back(fmt::format(
        "p99 of others grew to {:.2f} times, above {}", Ratio, MostNoise));
  return Result;
}

ScenarioResult runCold(const ScenarioOptions &Options, bool JoinCold) {
  FleetSettings Settings = settingsFor(Options);
  Settings.m_ColdServers = 10;
  Settings.m_JoinCold = JoinCold;
  const FleetFigures Figures = FleetRun(Settings).run();
  ScenarioResult Result{toJson(Figures), {}};
  Result.m_Figures["overloads_known_cold"] = Figures.m_OverloadsKnown;
  Result.m_Figures["overloads_before_known"] = Figures.m_OverloadsBeforeKnown;
  Result.m_Figures["warm_after_s"] = Figures.m_WarmAfterSeconds;
  if (Figures.m_OverloadsKnown > 0)
    Result.m_Violations.push_back(fmt::format(
        "{} requests were sent to cold servers above what they bear",
        Figures.m_OverloadsKnown));
  return Result;
}

ScenarioResult runColdAgain(const ScenarioOptions &Options) {
  return runCold(Options, false);
}

ScenarioResult runColdStart(const ScenarioOptions &Options) {
  return runCold(Options, true);
}

} // namespace

const std::vector<Scenario> &routingScenarios() {
  static const std::vector<Scenario> Table{
      {"steady", "sustained rate against round-robin", runSteady},
      {"morning-burst", "sustained rate while 40% send one prompt",
       runMorningBurst},
      {"capability-mismatch", "5 servers fail one class quickly",
       runCapabilityMismatch},
      {"straggler", "3 servers are four times slower", runStraggler},
      {"noisy-organisation", "one organisation sends 20 times its rate",
       runNoisyOrganisation},
      {"cold-start", "10 servers join cold", runColdStart},
      {"cold-again", "10 warm servers turn cold without warning", runColdAgain},
      {"decision-cost", "time and memory of one decision", runDecisionCost},
      {"control-cost", "time and memory of control work", runControlCost},
  };
  return Table;
}

} // namespace fulmarwinch
