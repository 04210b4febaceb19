#ifndef FULMARWINCH_SERVERS_RETRY_CRASH_WATCH_H
#define FULMARWINCH_SERVERS_RETRY_CRASH_WATCH_H

#include "servers/retry/poison_detector.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Tells apart a connection that was lost and a server that crashed, so that a
/// request is blamed only for the latter. A crash is known from the server's
/// entry, which goes or shows a later start some seconds after the connection
/// was lost.
class CrashWatch {
public:
  /// Time that a crashed server's entry takes to show it: three heartbeats,
  /// the lag of the store and some seconds for the restart.
  static constexpr Duration DecisionTime = std::chrono::seconds(8);

  explicit CrashWatch(PoisonDetector &Detector) : m_Detector(Detector) {}

  /// Name under which the detector knows one start of a server.
  static std::string life(const std::string &Server, std::int64_t StartedAtMs) {
    return Server + "#" + std::to_string(StartedAtMs);
  }

  void onConnectionLost(ContentHash Hash, const std::string &Server,
                        std::int64_t StartedAtMs, MonotonicTime Now);
  /// The server's entry is gone, or shows another start if \p StartedAtMs is
  /// not 0. Returns true if requests were blamed.
  bool onServerChanged(const std::string &Server, std::int64_t StartedAtMs,
                       MonotonicTime Now);
  /// Drops the cases in which the server lived on.
  void removeExpired(MonotonicTime Now);

private:
  struct Case {
    ContentHash m_Hash = 0;
    std::string m_Server;
    std::int64_t m_StartedAtMs = 0;
    MonotonicTime m_Until{};
  };

  PoisonDetector &m_Detector;
  std::vector<Case> m_Cases;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_CRASH_WATCH_H
