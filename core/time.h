#ifndef FULMARWINCH_CORE_TIME_H
#define FULMARWINCH_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace fulmarwinch {

/// Length of time with microsecond resolution.
using Duration = std::chrono::microseconds;

/// Time of this process's own monotonic clock. Values of two processes must
/// never be compared.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Seconds since the Unix epoch by the system clock. Used only where a time
/// is shown to people or is part of a caller's key.
using UnixSeconds = std::int64_t;

/// Largest relative rate error assumed between the monotonic clocks of two
/// processes, in parts per million. Leases and grants are shortened by the
/// holder and prolonged by the observer by this share.
inline constexpr std::int64_t ClockRateErrorPpm = 1000;

/// Returns \p Length shortened by the clock rate error bound; for the side
/// that must stop early.
constexpr Duration shortenByClockError(Duration Length) {
  return Length - Length * ClockRateErrorPpm / 1000000;
}

/// Returns \p Length prolonged by the clock rate error bound; for the side
/// that must wait until the other one has stopped.
constexpr Duration prolongByClockError(Duration Length) {
  return Length + Length * ClockRateErrorPpm / 1000000;
}

/// Returns the current time of the monotonic clock. It counts the time in
/// which the machine was suspended, so that a lease or a grant that lapsed
/// meanwhile is seen to have lapsed. Decision code does not call this; it is
/// handed the time.
inline MonotonicTime monotonicNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

/// Returns the current time of the system clock.
inline UnixSeconds unixNow() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_TIME_H
