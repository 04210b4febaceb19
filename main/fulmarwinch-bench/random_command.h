#ifndef FULMARWINCH_MAIN_FULMARWINCH_BENCH_RANDOM_COMMAND_H
#define FULMARWINCH_MAIN_FULMARWINCH_BENCH_RANDOM_COMMAND_H

#include <string>

namespace fulmarwinch {

/// Runs `fulmarwinch-bench random` with the values of its options and prints
/// the result. Returns the exit code: 0 for no violated invariant, 1 for at
/// least one, 2 for invalid arguments.
int runRandom(const std::string &SeedText, const std::string &StepsText,
              const std::string &SeedsText, const std::string &FaultsText);

} // namespace fulmarwinch

#endif // FULMARWINCH_MAIN_FULMARWINCH_BENCH_RANDOM_COMMAND_H
