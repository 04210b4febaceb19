#include "drivers/standin/call_rate.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

double bucketSize(double PerSecond) { return std::max(1.0, PerSecond / 10.0); }

} // namespace

CallRateLimiter::CallRateLimiter(double PerSecond)
    : m_PerSecond(PerSecond), m_Tokens(bucketSize(PerSecond)) {}

bool CallRateLimiter::tryAcquire(MonotonicTime Now) {
  const std::chrono::duration<double> Elapsed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_Tokens = std::min(bucketSize(m_PerSecond),
                      m_Tokens + Elapsed.count() * m_PerSecond);
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

} // namespace fulmarwinch
