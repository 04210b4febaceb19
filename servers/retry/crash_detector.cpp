#include "servers/retry/crash_detector.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

void CrashDetector::onConnectionLost(std::vector<ContentHash> Contents,
                                     const std::string &Server,
                                     std::int64_t StartedAtMs,
                                     MonotonicTime Now) {
  m_LostConnections.push_back(
      {std::move(Contents), Server, StartedAtMs, Now, false});
}

void CrashDetector::onResponseClosed(std::vector<ContentHash> Contents,
                                     const std::string &Server,
                                     std::int64_t StartedAtMs,
                                     MonotonicTime Now) {
  m_LostConnections.push_back(
      {std::move(Contents), Server, StartedAtMs, Now, true});
}

bool CrashDetector::onServerAlive(const std::string &Server,
                                  std::int64_t StartedAtMs,
                                  MonotonicTime ProbedAt, MonotonicTime Now) {
  const auto Completed = std::stable_partition(
      m_LostConnections.begin(), m_LostConnections.end(),
      [&](const LostConnection &Lost) {
        return !Lost.m_HasResponse || Lost.m_LostAt > ProbedAt ||
               Lost.m_Server != Server || Lost.m_StartedAtMs != StartedAtMs;
      });
  bool HasCleared = false;
  for (auto Lost = Completed; Lost != m_LostConnections.end(); ++Lost)
    HasCleared = endWatch(*Lost, Now) || HasCleared;
  m_LostConnections.erase(Completed, m_LostConnections.end());
  return HasCleared;
}

bool CrashDetector::endWatch(const LostConnection &Lost, MonotonicTime Now) {
  const std::string Process = processName(Lost.m_Server, Lost.m_StartedAtMs);
  bool HasCleared = false;
  for (const ContentHash Content : Lost.m_Contents) {
    if (Lost.m_HasResponse)
      HasCleared = m_Detector.onCompleted(Content, Process, Now) || HasCleared;
    else
      m_Detector.onInconclusiveEnd(Content, Process);
  }
  return HasCleared;
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

bool CrashDetector::removeExpired(MonotonicTime Now) {
  const auto Expired =
      std::stable_partition(m_LostConnections.begin(), m_LostConnections.end(),
                            [&](const LostConnection &Lost) {
                              return Lost.m_LostAt + DetectionTimeout > Now;
                            });
  bool HasCleared = false;
  for (auto Lost = Expired; Lost != m_LostConnections.end(); ++Lost)
    HasCleared = endWatch(*Lost, Now) || HasCleared;
  m_LostConnections.erase(Expired, m_LostConnections.end());
  return HasCleared;
}

} // namespace fulmarwinch
