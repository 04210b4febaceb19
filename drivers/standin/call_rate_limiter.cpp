#include "drivers/standin/call_rate_limiter.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

double bucketSize(double CallsPerSecond) {
  return std::max(1.0, CallsPerSecond / 10.0);
}

} // namespace

CallRateLimiter::CallRateLimiter(double CallsPerSecond)
    : m_CallsPerSecond(CallsPerSecond),
      m_AvailableTokens(bucketSize(CallsPerSecond)) {}

bool CallRateLimiter::tryAcquire(MonotonicTime Now) {
  const std::chrono::duration<double> Elapsed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_AvailableTokens =
      std::min(bucketSize(m_CallsPerSecond),
               m_AvailableTokens + Elapsed.count() * m_CallsPerSecond);
  if (m_AvailableTokens < 1.0)
    return false;
  m_AvailableTokens -= 1.0;
  return true;
}

} // namespace fulmarwinch
