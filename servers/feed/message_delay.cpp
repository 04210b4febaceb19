#include "servers/feed/message_delay.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Time for which the fastest message counts. Clocks drift apart by 30 ms at
/// most in it.
constexpr Duration Period = std::chrono::seconds(30);

} // namespace

Duration MessageDelay::onMessage(const SendTime &Sent, MonotonicTime Now) {
  const Duration Difference = Now - Sent.m_At;
  if (!m_HasOffset || Sent.m_Process != m_Process) {
    m_Process = Sent.m_Process;
    m_HasOffset = true;
    m_CurrentMin = m_PreviousMin = Difference;
    m_PeriodEndsAt = Now + Period;
  }
  if (Now >= m_PeriodEndsAt) {
    // After a long silence the earlier period is the current one as well.
    m_PreviousMin = m_CurrentMin;
    m_CurrentMin = Difference;
    m_PeriodEndsAt = Now + Period;
  }
  m_CurrentMin = std::min(m_CurrentMin, Difference);
  return Difference - std::min(m_CurrentMin, m_PreviousMin);
}

} // namespace fulmarwinch
