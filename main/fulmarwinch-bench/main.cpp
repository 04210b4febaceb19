#include "main/fulmarwinch-bench/random_command.h"
#include "servers/measurement/scenario.h"
#include "servers/routing/selection_strategy.h"

#include "docopt/docopt.h"
#include "fmt/format.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

using namespace fulmarwinch;

constexpr const char *Usage =
    R"(Benchmarks the decision code of fulmarwinch in simulations.

Usage:
  fulmarwinch-bench list
  fulmarwinch-bench run <scenario> [--seed=N] [--policy=NAME] [--duration=S] [--json]
  fulmarwinch-bench random [--seed=N] --steps=N [--seeds=M] [--faults=LIST]
  fulmarwinch-bench --help

Options:
  --seed=N       Seed of the random numbers [default: 1].
  --policy=NAME  affinity, round-robin or least-request [default: affinity].
  --duration=S   Simulated time in seconds, including warm-up [default: 40].
  --steps=N      Steps of each random run; one step simulates 50 ms.
  --seeds=M      Number of random runs, with consecutive seeds [default: 1].
  --faults=LIST  Fault kinds, separated by commas, or none [default: all].
  --json         Print only the line with the JSON result.

Exit codes: 0 requirements met, 1 requirements not met, 2 usage error.
)";

constexpr int ExitRequirementsNotMet = 1;
constexpr int ExitUsage = 2;

int fail(const std::string &Text) {
  std::cerr << "fulmarwinch-bench: " << Text << "\n";
  return ExitUsage;
}

int listScenarios() {
  for (const Scenario &Entry : routingScenarios())
    std::cout << fmt::format("{:22} {}\n", Entry.m_Name, Entry.m_Summary);
  return 0;
}

int runScenario(std::map<std::string, docopt::value> &Arguments) {
  const std::string Name = Arguments["<scenario>"].asString();
  const std::vector<Scenario> &Scenarios = routingScenarios();
  const auto Found = std::find_if(
      Scenarios.begin(), Scenarios.end(),
      [&](const Scenario &Candidate) { return Candidate.m_Name == Name; });
  if (Found == Scenarios.end())
    return fail(fmt::format(
        "unknown scenario '{}'; run 'fulmarwinch-bench list'", Name));
  ScenarioOptions Options;
  Options.m_Policy = Arguments["--policy"].asString();
  if (const auto Strategy = makeStrategy(Options.m_Policy, {}); !Strategy.ok())
    return fail(std::string(Strategy.status().message()));
  const std::string SeedText = Arguments["--seed"].asString();
  const std::string DurationText = Arguments["--duration"].asString();
  char *SeedEnd = nullptr;
  char *DurationEnd = nullptr;
  Options.m_Seed = std::strtoull(SeedText.c_str(), &SeedEnd, 10);
  Options.m_DurationSeconds = std::strtod(DurationText.c_str(), &DurationEnd);
  if (SeedText.empty() || *SeedEnd != '\0')
    return fail(fmt::format("invalid value of --seed: '{}'; use a whole number",
                            SeedText));
  if (*DurationEnd != '\0' ||
      !(Options.m_DurationSeconds >= 4 && Options.m_DurationSeconds <= 3600))
    return fail(
        fmt::format("invalid value of --duration: '{}'; use 4 to 3600 seconds",
                    DurationText));
  Options.m_Clock = monotonicNow;
  Options.m_HeapBytes = [] { return mallinfo2().uordblks; };
  const ScenarioResult Result = Found->m_Run(Options);
  const bool IsPassed = Result.m_Violations.empty();
  if (!Arguments["--json"].asBool())
    for (const std::string &Violation : Result.m_Violations)
      std::cout << "violation: " << Violation << "\n";
  std::cout << Json{{"scenario", Name},
                    {"seed", Options.m_Seed},
                    {"policy", Options.m_Policy},
                    {"figures", Result.m_Metrics},
                    {"violations", Result.m_Violations},
                    {"ok", IsPassed}}
                   .dump()
            << "\n";
  return IsPassed ? 0 : ExitRequirementsNotMet;
}

} // namespace

int main(int ArgumentCount, char **ArgumentValues) {
  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments = docopt::docopt_parse(
        Usage, {ArgumentValues + 1, ArgumentValues + ArgumentCount}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const std::exception &) {
    return fail("invalid arguments; see --help");
  }
  if (Arguments["random"].asBool())
    return runRandom(
        Arguments["--seed"].asString(), Arguments["--steps"].asString(),
        Arguments["--seeds"].asString(), Arguments["--faults"].asString());
  return Arguments["list"].asBool() ? listScenarios() : runScenario(Arguments);
}
