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
    R"(Measures the decisions of fulmarwinch on simple fakes.

Usage:
  fulmarwinch-bench list
  fulmarwinch-bench run <scenario> [--seed=N] [--policy=NAME] [--duration=S] [--json]
  fulmarwinch-bench random [--seed=N] --steps=N [--seeds=M] [--faults=LIST]
  fulmarwinch-bench --help

Options:
  --seed=N       Seed of the run [default: 1].
  --policy=NAME  affinity, round-robin or least-request [default: affinity].
  --duration=S   Seconds of simulated time, warm-up included [default: 40].
  --steps=N      Steps of each random run; one step is 50 ms simulated.
  --seeds=M      Number of random runs, from the seed on [default: 1].
  --faults=LIST  Kinds of faults, with commas, or none [default: all].
  --json         Print only the line with the result.

Exit codes: 0 requirements met, 1 requirements not met, 2 usage.
)";

constexpr int ExitNotMet = 1;
constexpr int ExitUsage = 2;

int fail(const std::string &Text) {
  std::cerr << "fulmarwinch-bench: " << Text << "\n";
  return ExitUsage;
}

int listScenarios() {
  for (const Scenario &Row : routingScenarios())
    std::cout << fmt::format("{:22} {}\n", Row.m_Name, Row.m_Summary);
  return 0;
}

int runScenario(std::map<std::string, docopt::value> &Arguments) {
  const std::string Name = Arguments["<scenario>"].asString();
  const std::vector<Scenario> &Table = routingScenarios();
  const auto Found =
      std::find_if(Table.begin(), Table.end(),
                   [&](const Scenario &Row) { return Row.m_Name == Name; });
  if (Found == Table.end())
    return fail(fmt::format("there is no scenario '{}'; use list", Name));
  ScenarioOptions Options;
  Options.m_Policy = Arguments["--policy"].asString();
  if (const auto Strategy = makeStrategy(Options.m_Policy, {}); !Strategy.ok())
    return fail(std::string(Strategy.status().message()));
  const std::string Seed = Arguments["--seed"].asString();
  const std::string Length = Arguments["--duration"].asString();
  char *SeedEnd = nullptr;
  char *LengthEnd = nullptr;
  Options.m_Seed = std::strtoull(Seed.c_str(), &SeedEnd, 10);
  Options.m_DurationSeconds = std::strtod(Length.c_str(), &LengthEnd);
  if (Seed.empty() || *SeedEnd != '\0')
    return fail(fmt::format("--seed is '{}'; use a whole number", Seed));
  if (*LengthEnd != '\0' ||
      !(Options.m_DurationSeconds >= 4 && Options.m_DurationSeconds <= 3600))
    return fail(fmt::format("--duration is '{}'; use 4 to 3600", Length));
  Options.m_Clock = monotonicNow;
  Options.m_HeapBytes = [] { return mallinfo2().uordblks; };
  const ScenarioResult Result = Found->m_Run(Options);
  const bool Ok = Result.m_Violations.empty();
  if (!Arguments["--json"].asBool())
    for (const std::string &Violation : Result.m_Violations)
      std::cout << "violation: " << Violation << "\n";
  std::cout << Json{{"scenario", Name},
                    {"seed", Options.m_Seed},
                    {"policy", Options.m_Policy},
                    {"figures", Result.m_Figures},
                    {"violations", Result.m_Violations},
                    {"ok", Ok}}
                   .dump()
            << "\n";
  return Ok ? 0 : ExitNotMet;
}

} // namespace

int main(int Count, char **Words) {
  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments = docopt::docopt_parse(Usage, {Words + 1, Words + Count}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const std::exception &) {
    return fail("wrong arguments; see --help");
  }
  if (Arguments["random"].asBool())
    return runRandom(
        Arguments["--seed"].asString(), Arguments["--steps"].asString(),
        Arguments["--seeds"].asString(), Arguments["--faults"].asString());
  return Arguments["list"].asBool() ? listScenarios() : runScenario(Arguments);
}
