#ifndef FULMARWINCH_TESTS_SUPPORT_PROCESSOR_TIME_H
#define FULMARWINCH_TESTS_SUPPORT_PROCESSOR_TIME_H

#include <algorithm>
#include <ctime>
#include <functional>
#include <limits>

namespace fulmarwinch {

/// Returns the least processor time that \p Work took in several runs, in
/// clock ticks and at least one. Two such times tell how a cost grows,
/// whatever the speed and the load of the machine.
inline double leastProcessorTime(const std::function<void()> &Work) {
  constexpr int Runs = 5;
  double Least = std::numeric_limits<double>::max();
  for (int I = 0; I < Runs; ++I) {
    const std::clock_t Begin = std::clock();
    Work();
    Least = std::min(Least, static_cast<double>(std::clock() - Begin));
  }
  return std::max(1.0, Least);
}

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_SUPPORT_PROCESSOR_TIME_H
