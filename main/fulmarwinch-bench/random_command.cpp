#include "main/fulmarwinch-bench/random_command.h"

#include "core/json.h"
#include "randomised/random_run.h"

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

std::optional<std::vector<std::string>> parseFaults(const std::string &Text) {
  const std::vector<std::string> &Known = RandomRun::faultKinds();
  if (Text == "all")
    return Known;
  if (Text == "none")
    return std::vector<std::string>{};
  std::vector<std::string> Kinds = absl::StrSplit(Text, ',');
  for (const std::string &Kind : Kinds)
    if (std::find(Known.begin(), Known.end(), Kind) == Known.end())
      return std::nullopt;
  return Kinds;
}

void printViolation(std::uint64_t Seed, std::uint64_t Step,
                    const EventLog &Log) {
  std::cout << fmt::format("violation: seed {} step {} invariant {}: {}\n",
                           Seed, Step, Log.invariant(), Log.violation());
  for (const std::string &Line : Log.last())
    std::cout << "  " << Line << "\n";
}

} // namespace

int runRandom(const std::string &Seed, const std::string &Steps,
              const std::string &Seeds, const std::string &Faults) {
  std::uint64_t First = 0;
  std::uint64_t StepCount = 0;
  std::uint64_t SeedCount = 0;
  if (!absl::SimpleAtoi(Seed, &First))
    return fail(fmt::format("--seed is '{}'; use a whole number", Seed));
  if (!absl::SimpleAtoi(Steps, &StepCount) || StepCount == 0)
    return fail(fmt::format("--steps is '{}'; use 1 or more", Steps));
  if (!absl::SimpleAtoi(Seeds, &SeedCount) || SeedCount == 0)
    return fail(fmt::format("--seeds is '{}'; use 1 or more", Seeds));
  const auto Kinds = parseFaults(Faults);
  if (!Kinds)
    return fail(fmt::format("--faults is '{}'; use all, none or some of {}",
                            Faults, fmt::join(RandomRun::faultKinds(), ",")));
  std::uint64_t StepsRun = 0;
  std::uint64_t Hash = 0;
  std::map<std::string, std::uint64_t> Counts;
  Json Violations = Json::array();
  for (std::uint64_t Number = First; Number < First + SeedCount; ++Number) {
    RandomRun Run(Number, *Kinds);
    const std::uint64_t Done = Run.run(StepCount);
    StepsRun += Done;
    Hash = Hash * 31 + Run.log().hash();
    for (const auto &[Kind, Count] : Run.log().counts())
      Counts[Kind] += Count;
    if (!Run.log().isViolated())
      continue;
    printViolation(Number, Done, Run.log());
    Violations.push_back({{"seed", Number},
                          {"step", Done},
                          {"invariant", Run.log().invariant()},
                          {"seen", Run.log().violation()}});
  }
  for (const auto &[Kind, Count] : Counts)
    std::cout << fmt::format("{:24} {}\n", Kind, Count);
  const bool Ok = Violations.empty();
  std::cout << Json{{"scenario", "random"},
                    {"seed", First},
                    {"seeds", SeedCount},
                    {"steps", StepsRun},
                    {"events", Counts},
                    {"hash", fmt::format("{:016x}", Hash)},
                    {"violations", Violations},
                    {"ok", Ok}}
                   .dump()
            << "\n";
  return Ok ? 0 : ExitViolation;
}

} // namespace fulmarwinch
