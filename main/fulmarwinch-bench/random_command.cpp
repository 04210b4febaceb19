#include "main/fulmarwinch-bench/random_command.h"

#include "core/json.h"
#include "randomised/randomised_run.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "fmt/format.h"

#include <algorithm>
#include <iostream>
#include <optional>

namespace fulmarwinch {

namespace {

constexpr int ExitViolation = 1;
constexpr int ExitUsage = 2;

int fail(const std::string &Text) {
  std::cerr << "fulmarwinch-bench: " << Text << "\n";
  return ExitUsage;
}

/// Returns the fault kinds that \p Text lists, or nothing if one is unknown.
std::optional<std::vector<std::string>>
parseFaultKinds(const std::string &Text) {
  const std::vector<std::string> &KnownKinds = RandomisedRun::faultKinds();
  if (Text == "all")
    return KnownKinds;
  if (Text == "none")
    return std::vector<std::string>{};
  std::vector<std::string> FaultKinds = absl::StrSplit(Text, ',');
  for (const std::string &Kind : FaultKinds)
    if (std::find(KnownKinds.begin(), KnownKinds.end(), Kind) ==
        KnownKinds.end())
      return std::nullopt;
  return FaultKinds;
}

void printViolation(std::uint64_t Seed, std::uint64_t Step,
                    const EventLog &Log) {
  std::cout << fmt::format("violation: seed {} step {} invariant {}: {}\n",
                           Seed, Step, Log.invariant(), Log.violation());
  for (const std::string &Line : Log.lastEvents())
    std::cout << "  " << Line << "\n";
}

} // namespace

int runRandom(const std::string &SeedText, const std::string &StepsText,
              const std::string &SeedsText, const std::string &FaultsText) {
  std::uint64_t FirstSeed = 0;
  std::uint64_t StepCount = 0;
  std::uint64_t SeedCount = 0;
  if (!absl::SimpleAtoi(SeedText, &FirstSeed))
    return fail(fmt::format("invalid value of --seed: '{}'; use a whole number",
                            SeedText));
  if (!absl::SimpleAtoi(StepsText, &StepCount) || StepCount == 0)
    return fail(fmt::format("invalid value of --steps: '{}'; use 1 or more",
                            StepsText));
  if (!absl::SimpleAtoi(SeedsText, &SeedCount) || SeedCount == 0)
    return fail(fmt::format("invalid value of --seeds: '{}'; use 1 or more",
                            SeedsText));
  const auto FaultKinds = parseFaultKinds(FaultsText);
  if (!FaultKinds)
    return fail(fmt::format(
        "invalid value of --faults: '{}'; use all, none or kinds from {}",
        FaultsText, fmt::join(RandomisedRun::faultKinds(), ",")));
  std::uint64_t TotalSteps = 0;
  std::uint64_t CombinedHash = 0;
  std::map<std::string, std::uint64_t> EventCounts;
  Json Violations = Json::array();
  for (std::uint64_t CurrentSeed = FirstSeed;
       CurrentSeed < FirstSeed + SeedCount; ++CurrentSeed) {
    RandomisedRun Run(CurrentSeed, *FaultKinds);
    const std::uint64_t StepsOfRun = Run.run(StepCount);
    TotalSteps += StepsOfRun;
    CombinedHash = CombinedHash * 31 + Run.eventLog().hash();
    for (const auto &[Kind, Count] : Run.eventLog().counts())
      EventCounts[Kind] += Count;
    if (!Run.eventLog().isViolated())
      continue;
    printViolation(CurrentSeed, StepsOfRun, Run.eventLog());
    Violations.push_back({{"seed", CurrentSeed},
                          {"step", StepsOfRun},
                          {"invariant", Run.eventLog().invariant()},
                          {"seen", Run.eventLog().violation()}});
  }
  for (const auto &[Kind, Count] : EventCounts)
    std::cout << fmt::format("{:24} {}\n", Kind, Count);
  const bool IsPassed = Violations.empty();
  std::cout << Json{{"scenario", "random"},
                    {"seed", FirstSeed},
                    {"seeds", SeedCount},
                    {"steps", TotalSteps},
                    {"events", EventCounts},
                    {"hash", fmt::format("{:016x}", CombinedHash)},
                    {"violations", Violations},
                    {"ok", IsPassed}}
                   .dump()
            << "\n";
  return IsPassed ? 0 : ExitViolation;
}

} // namespace fulmarwinch
