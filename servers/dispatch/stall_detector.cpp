#include "servers/dispatch/stall_detector.h"
#include "servers/routes/engine_times.h"

#include <algorithm>

namespace fulmarwinch {

Duration StallDetector::timeSinceLastEvent(const std::string &Server,
                                           MonotonicTime Since,
                                           MonotonicTime Now) const {
  const auto LastEvent = m_LastEventAt.find(Server);
  const MonotonicTime SilentSince = LastEvent == m_LastEventAt.end()
                                        ? Since
                                        : std::max(Since, LastEvent->second);
  return Now - SilentSince;
}

Duration StallDetector::stallThreshold(const ServiceSpec &Service,
                                       const std::string &Model) const {
  const Duration EventInterval = decodeTimePerPass(Service.m_Engine, Model);
  return std::max(m_Settings.m_MinStallTime,
                  std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(EventInterval) *
                      m_Settings.m_EventIntervalFactor));
}

} // namespace fulmarwinch
