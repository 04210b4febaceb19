#include "servers/dispatch/stall_detector.h"
#include "servers/routes/engine_times.h"

#include <algorithm>

namespace fulmarwinch {

Duration StallDetector::silence(const std::string &Server, MonotonicTime Since,
                                MonotonicTime Now) const {
  const auto Last = m_LastEvent.find(Server);
  const MonotonicTime From =
      Last == m_LastEvent.end() ? Since : std::max(Since, Last->second);
  return Now - From;
}

Duration StallDetector::threshold(const ServiceSpec &Service,
                                  const std::string &Model) const {
  const Duration Event = writingTimeOfPass(Service.m_Engine, Model);
  return std::max(
      m_Settings.m_LeastSilence,
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Event) * m_Settings.m_Events));
}

} // namespace fulmarwinch
