#include "drivers/standin/call_rate.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

double burstOf(double PerSecond) { return std::max(1.0, PerSecond / 10.0); }

} // namespace

CallRate::CallRate(double PerSecond)
    : m_PerSecond(PerSecond), m_Tokens(burstOf(PerSecond)) {}

bool CallRate::tryTake(MonotonicTime Now) {
  const std::chrono::duration<double> Elapsed = Now - m_Updated;
  m_Updated = Now;
  m_Tokens =
      std::min(burstOf(m_PerSecond), m_Tokens + Elapsed.count() * m_PerSecond);
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

} // namespace fulmarwinch
