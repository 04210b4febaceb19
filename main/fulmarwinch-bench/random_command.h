#ifndef FULMARWINCH_MAIN_FULMARWINCH_BENCH_RANDOM_COMMAND_H
#define FULMARWINCH_MAIN_FULMARWINCH_BENCH_RANDOM_COMMAND_H

#include <string>

namespace fulmarwinch {

/// Runs `fulmarwinch-bench random` and returns the exit code: 0 no violation,
/// 1 a violation, 2 wrong arguments.
int runRandom(const std::string &Seed, const std::string &Steps,
              const std::string &Seeds, const std::string &Faults);

} // namespace fulmarwinch

#endif // FULMARWINCH_MAIN_FULMARWINCH_BENCH_RANDOM_COMMAND_H
