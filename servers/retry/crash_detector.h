#ifndef FULMARWINCH_SERVERS_RETRY_CRASH_DETECTOR_H
#define FULMARWINCH_SERVERS_RETRY_CRASH_DETECTOR_H

#include "servers/retry/poison_detector.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Distinguishes a lost connection from a crash of the backend server, so that
/// only a crash counts against the requests that were in flight there. A crash
/// shows in the server's store entry: some seconds after the connection was
/// lost, the entry is deleted or shows a later start time.
class CrashDetector {
public:
  /// Longest time from a lost connection until the server's entry shows the
  /// crash: three heartbeats, the delay of the store and some seconds for the
  /// restart.
  static constexpr Duration DetectionTimeout = std::chrono::seconds(8);

  explicit CrashDetector(PoisonDetector &Detector) : m_Detector(Detector) {}

  /// Returns the server name that is passed to the PoisonDetector. It
  /// identifies one process: a restart of the same server has another name.
  static std::string processName(const std::string &Server,
                                 std::int64_t StartedAtMs) {
    return Server + "#" + std::to_string(StartedAtMs);
  }

  /// Must be called when the connection to \p Server was lost while a request
  /// with \p Contents ran there.
  void onConnectionLost(std::vector<ContentHash> Contents,
                        const std::string &Server, std::int64_t StartedAtMs,
                        MonotonicTime Now);
  /// Must be called when only the close of the connection to \p Server ended a
  /// response that seems to be whole. The request has completed if the server
  /// lives on.
  void onResponseClosed(std::vector<ContentHash> Contents,
                        const std::string &Server, std::int64_t StartedAtMs,
                        MonotonicTime Now);
  /// Must be called when \p Server, which started at \p StartedAtMs, has
  /// answered a probe that was sent at \p ProbedAt. Returns true if this
  /// ended a quarantine.
  bool onServerAlive(const std::string &Server, std::int64_t StartedAtMs,
                     MonotonicTime ProbedAt, MonotonicTime Now);
  /// Must be called when the store entry of \p Server was deleted (\p
  /// StartedAtMs is 0) or was written by a process that started at \p
  /// StartedAtMs. Returns true if this shows a crash for which lost connections
  /// were recorded. The crash counts from the loss of the first of them.
  bool onServerEntryChanged(const std::string &Server,
                            std::int64_t StartedAtMs);
  /// Removes the connections whose server did not crash within
  /// DetectionTimeout. Returns true if this ended a quarantine.
  bool removeExpired(MonotonicTime Now);

private:
  struct LostConnection {
    std::vector<ContentHash> m_Contents;
    std::string m_Server;
    std::int64_t m_StartedAtMs = 0;
    MonotonicTime m_LostAt{};
    /// The response seems to be whole.
    bool m_HasResponse = false;
  };

  /// Ends the watch of a connection whose server did not crash. Returns true if
  /// this ended a quarantine.
  bool endWatch(const LostConnection &Lost, MonotonicTime Now);

  PoisonDetector &m_Detector;
  std::vector<LostConnection> m_LostConnections;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_CRASH_DETECTOR_H
