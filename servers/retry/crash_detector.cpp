#include "servers/retry/crash_detector.h"

#include <algorithm>

namespace fulmarwinch {

void CrashDetector::onConnectionLost(ContentHash Hash,
                                     const std::string &Server,
                                     std::int64_t StartedAtMs,
                                     MonotonicTime Now) {
  m_LostConnections.push_back({Hash, Server, StartedAtMs, Now});
}

bool CrashDetector::onServerEntryChanged(const std::string &Server,
                                         std::int64_t StartedAtMs) {
  const auto Crashed = std::stable_partition(
      m_LostConnections.begin(), m_LostConnections.end(),
      [&](const LostConnection &Lost) {
        return Lost.m_Server != Server || Lost.m_StartedAtMs == StartedAtMs;
      });
  const bool IsCrash = Crashed != m_LostConnections.end();
  // The PoisonDetector records the crash for every request that is still in
  // flight on the server. Connections to one process are in the order in which
  // they were lost.
  for (auto Lost = Crashed; Lost != m_LostConnections.end(); ++Lost)
    m_Detector.onServerCrash(processName(Server, Lost->m_StartedAtMs),
                             Lost->m_LostAt);
  m_LostConnections.erase(Crashed, m_LostConnections.end());
  return IsCrash;
}

void CrashDetector::removeExpired(MonotonicTime Now) {
  const auto Expired =
      std::stable_partition(m_LostConnections.begin(), m_LostConnections.end(),
                            [&](const LostConnection &Lost) {
                              return Lost.m_LostAt + DetectionTimeout > Now;
                            });
  for (auto Lost = Expired; Lost != m_LostConnections.end(); ++Lost)
    m_Detector.onInconclusiveEnd(
        Lost->m_Hash, processName(Lost->m_Server, Lost->m_StartedAtMs));
  m_LostConnections.erase(Expired, m_LostConnections.end());
}

} // namespace fulmarwinch
