#ifndef FULMARWINCH_CORE_TIME_H
#define FULMARWINCH_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace fulmarwinch {

/// Time interval with microsecond resolution.
using Duration = std::chrono::microseconds;

/// Time of this process's monotonic clock. Never compare the values of two
/// processes.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Seconds since the Unix epoch according to the system clock. Use it only for
/// times that are shown to people or are part of a caller's key.
using UnixSeconds = std::int64_t;

/// Maximum rate difference assumed between the monotonic clocks of two
/// processes, in parts per million. The holder of a lease or grant assumes a
/// duration shorter by this share, and every observer one longer by this share.
inline constexpr std::int64_t MaxClockDriftPpm = 1000;

/// Returns \p Length reduced by the maximum clock rate error, for the holder of
/// a lease or grant, who must stop early.
constexpr Duration shortenByClockDrift(Duration Length) {
  return Length - Length * MaxClockDriftPpm / 1000000;
}

/// Returns \p Length increased by the maximum clock rate error, for an
/// observer, who must wait until the holder has stopped.
constexpr Duration extendByClockDrift(Duration Length) {
  return Length + Length * MaxClockDriftPpm / 1000000;
}

/// Returns the current time of the monotonic clock. It includes the time in
/// which the machine was suspended, so that a lease or grant that expired
/// meanwhile counts as expired. Decision code does not call this function but
/// receives the time as a parameter.
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
