#include "servers/retry/crash_watch.h"

#include <algorithm>

namespace fulmarwinch {

void CrashWatch::onConnectionLost(ContentHash Hash, const std::string &Server,
                                  std::int64_t StartedAtMs, MonotonicTime Now) {
  m_Cases.push_back({Hash, Server, StartedAtMs, Now + DecisionTime});
}

bool CrashWatch::onServerChanged(const std::string &Server,
                                 std::int64_t StartedAtMs, MonotonicTime Now) {
  const auto Crashed =
      std::partition(m_Cases.begin(), m_Cases.end(), [&](const Case &Each) {
        return Each.m_Server != Server || Each.m_StartedAtMs == StartedAtMs;
      });
  const bool Blamed = Crashed != m_Cases.end();
  // The detector blames every request that it still counts as in flight there.
  for (auto Each = Crashed; Each != m_Cases.end(); ++Each)
    m_Detector.onServerCrash(life(Server, Each->m_StartedAtMs), Now);
  m_Cases.erase(Crashed, m_Cases.end());
  return Blamed;
}

void CrashWatch::removeExpired(MonotonicTime Now) {
  const auto Expired =
      std::partition(m_Cases.begin(), m_Cases.end(),
                     [&](const Case &Each) { return Each.m_Until > Now; });
  for (auto Each = Expired; Each != m_Cases.end(); ++Each)
    m_Detector.onEnded(Each->m_Hash, life(Each->m_Server, Each->m_StartedAtMs));
  m_Cases.erase(Expired, m_Cases.end());
}

} // namespace fulmarwinch
