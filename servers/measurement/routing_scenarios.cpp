#include "servers/measurement/scenario.h"

#include "servers/measurement/control_cost.h"
#include "servers/measurement/decision_cost.h"
#include "servers/measurement/fleet_simulation.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

constexpr double FirstTokenObjective = FleetMetrics::FirstTokenObjectiveSeconds;
/// Objective for the p95 of the time per token, in seconds.
constexpr double PerTokenObjective = 0.029;
/// Maximum share of the dispatches that go to servers that fail the class of
/// the request.
constexpr double MaxMisdirectedShare = 0.004;
/// Maximum factor by which the p99 of the time to first token of the other
/// organisations may grow while one organisation sends too many requests.
constexpr double MaxOthersP99Ratio = 1.2;
/// Minimum sustained rate, as a multiple of that of round-robin.
constexpr double MinGain = 1.75;
constexpr double MaxRefusedShare = 0.01;

FleetSettings settingsFor(const ScenarioOptions &Options) {
  FleetSettings Settings;
  Settings.m_Seed = Options.m_Seed;
  Settings.m_Policy = Options.m_Policy;
  Settings.m_DurationSeconds = Options.m_DurationSeconds;
  return Settings;
}

Json toJson(const FleetMetrics &Figures) {
  return {{"arrived", Figures.m_Arrived},
          {"completed", Figures.m_Completed},
          {"refused", Figures.m_Refused},
          {"first_token_p95_s", Figures.m_FirstTokenP95},
          {"first_token_p99_s", Figures.m_FirstTokenP99},
          {"per_token_p95_s", Figures.m_PerTokenP95},
          {"cache_hit_share", Figures.m_CacheHitShare},
          {"late", Figures.m_LateRequests},
          {"late_misses", Figures.m_LateCacheMisses},
          {"late_at_node_s", Figures.m_LateNodeQueueSeconds},
          {"late_for_place_s", Figures.m_LateServerQueueSeconds},
          {"late_for_read_s", Figures.m_LatePrefillWaitSeconds}};
}

bool meetsObjective(const FleetMetrics &Figures) {
  const double ArrivedRequests = static_cast<double>(Figures.m_Arrived);
  return Figures.m_FirstTokenP95 <= FirstTokenObjective &&
         static_cast<double>(Figures.m_Completed) >=
             ArrivedRequests * (1 - MaxRefusedShare);
}

/// Returns the highest arrival rate that meets the objective, in requests per
/// second, by bisection.
double sustainedRate(FleetSettings Settings) {
  double SustainedRate = 0;
  double UnsustainedRate = 800;
  for (int Step = 0; Step < 10; ++Step) {
    Settings.m_RequestsPerSecond = (SustainedRate + UnsustainedRate) / 2;
    (meetsObjective(FleetSimulation(Settings).run()) ? SustainedRate
                                                     : UnsustainedRate) =
        Settings.m_RequestsPerSecond;
  }
  return SustainedRate;
}

ScenarioResult compareRates(const FleetSettings &Settings) {
  FleetSettings Baseline = Settings;
  Baseline.m_Policy = "round-robin";
  const double Rate = sustainedRate(Settings);
  const double BaselineRate = sustainedRate(Baseline);
  ScenarioResult Result;
  FleetSettings SustainedSettings = Settings;
  SustainedSettings.m_RequestsPerSecond = Rate;
  Result.m_Metrics = toJson(FleetSimulation(SustainedSettings).run());
  Result.m_Metrics["sustained_rate"] = Rate;
  Result.m_Metrics["round_robin_rate"] = BaselineRate;
  const double Gain = BaselineRate > 0 ? Rate / BaselineRate : 0;
  Result.m_Metrics["gain"] = Gain;
  // The bound applies only to the default policy; the others are baselines.
  if (Settings.m_Policy == "affinity" && Gain < MinGain)
    Result.m_Violations.push_back(fmt::format(
        "sustained rate is {:.2f} times that of round-robin, below {}", Gain,
        MinGain));
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
  Settings.m_MismatchedServerCount = 5;
  Settings.m_SpecialClassShare = 0.2;
  const FleetMetrics Figures = FleetSimulation(Settings).run();
  ScenarioResult Result{toJson(Figures), {}};
  const double Share = static_cast<double>(Figures.m_Misdirected) /
                       static_cast<double>(Figures.m_Dispatched);
  Result.m_Metrics["misdirected_share"] = Share;
  if (Share > MaxMisdirectedShare)
    Result.m_Violations.push_back(fmt::format(
        "share of requests sent to servers that fail their class is {:.4f}, "
        "above {}",
        Share, MaxMisdirectedShare));
  return Result;
}

ScenarioResult runStraggler(const ScenarioOptions &Options) {
  FleetSettings Settings = settingsFor(Options);
  Settings.m_StragglerCount = 3;
  const FleetMetrics Figures = FleetSimulation(Settings).run();
  ScenarioResult Result{toJson(Figures), {}};
  Result.m_Metrics["straggler_share"] =
      static_cast<double>(Figures.m_SentToStragglers) /
      static_cast<double>(Figures.m_Dispatched);
  if (Figures.m_FirstTokenP95 > FirstTokenObjective)
    Result.m_Violations.push_back(
        fmt::format("p95 of the time to first token is {:.3f} s, above {} s",
                    Figures.m_FirstTokenP95, FirstTokenObjective));
  if (Figures.m_PerTokenP95 > PerTokenObjective)
    Result.m_Violations.push_back(
        fmt::format("p95 of the time per token is {:.4f} s, above {} s",
                    Figures.m_PerTokenP95, PerTokenObjective));
  return Result;
}

ScenarioResult runNoisyOrganisation(const ScenarioOptions &Options) {
  FleetSettings Settings = settingsFor(Options);
  const FleetMetrics QuietFigures = FleetSimulation(Settings).run();
  Settings.m_NoisyRateFactor = 20;
  const FleetMetrics NoisyFigures = FleetSimulation(Settings).run();
  // A run without rate limits shows the effect of the fair queue alone. The
  // additional requests are then within the fleet's capacity and are served.
  Settings.m_RateLimitsEnabled = false;
  const FleetMetrics UnlimitedFigures = FleetSimulation(Settings).run();
  ScenarioResult Result{toJson(NoisyFigures), {}};
  Result.m_Metrics["others_p99_unlimited_s"] =
      UnlimitedFigures.m_OtherOrganisationsP99;
  const double Ratio = NoisyFigures.m_OtherOrganisationsP99 /
                       QuietFigures.m_OtherOrganisationsP99;
  Result.m_Metrics["others_p99_quiet_s"] = QuietFigures.m_OtherOrganisationsP99;
  Result.m_Metrics["others_p99_noisy_s"] = NoisyFigures.m_OtherOrganisationsP99;
  Result.m_Metrics["others_p99_ratio"] = Ratio;
  if (Ratio > MaxOthersP99Ratio)
    Result.m_Violations.push_back(
        fmt::format("p99 of the other organisations' time to first token grew "
                    "{:.2f} times, above {}",
                    Ratio, MaxOthersP99Ratio));
  return Result;
}

ScenarioResult runCold(const ScenarioOptions &Options, bool JoinCold) {
  FleetSettings Settings = settingsFor(Options);
  Settings.m_ColdServerCount = 10;
  Settings.m_ColdServersJoin = JoinCold;
  const FleetMetrics Figures = FleetSimulation(Settings).run();
  ScenarioResult Result{toJson(Figures), {}};
  Result.m_Metrics["overloads_known_cold"] = Figures.m_OverloadsOfKnownCold;
  Result.m_Metrics["overloads_before_known"] =
      Figures.m_OverloadsBeforeKnownCold;
  Result.m_Metrics["warm_after_s"] = Figures.m_WarmAfterSeconds;
  if (Figures.m_OverloadsOfKnownCold > 0)
    Result.m_Violations.push_back(fmt::format(
        "{} requests exceeded the limit of servers that were known to be cold",
        Figures.m_OverloadsOfKnownCold));
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
  static const std::vector<Scenario> Scenarios{
      {"steady", "sustained rate compared with round-robin", runSteady},
      {"morning-burst",
       "sustained rate while 40% of the requests have one prefix",
       runMorningBurst},
      {"capability-mismatch", "5 servers fail one class of requests at once",
       runCapabilityMismatch},
      {"straggler", "3 servers are four times slower", runStraggler},
      {"noisy-organisation", "one organisation sends 20 times its usual rate",
       runNoisyOrganisation},
      {"cold-start", "10 cold servers join the fleet", runColdStart},
      {"cold-again", "10 warm servers become cold unannounced", runColdAgain},
      {"decision-cost", "time and memory of one routing decision",
       runDecisionCost},
      {"control-cost", "time and memory of group control and configuration",
       runControlCost},
  };
  return Scenarios;
}

} // namespace fulmarwinch
