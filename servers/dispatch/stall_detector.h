#ifndef FULMARWINCH_SERVERS_DISPATCH_STALL_DETECTOR_H
#define FULMARWINCH_SERVERS_DISPATCH_STALL_DETECTOR_H

#include "core/time.h"
#include "servers/routes/traffic_configuration.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// When a silent group counts as stalled.
struct StallSettings {
  /// Multiple of the time that one event takes in a full batch. Prefills of
  /// other requests lengthen single events, so it is well above 1.
  double m_Events = 4.0;
  /// Least silence. Shorter ones occur between the passes of a busy engine.
  Duration m_LeastSilence = std::chrono::milliseconds(120);
};

/// Follows the events of all streams of each backend server and tells when a
/// server's streams have fallen silent together.
class StallDetector {
public:
  explicit StallDetector(const StallSettings &Settings = {})
      : m_Settings(Settings) {}

  void onEvent(const std::string &Server, MonotonicTime Now) {
    m_LastEvent[Server] = Now;
  }

  /// Time since any stream of \p Server had an event, or since \p Since if
  /// that is later.
  Duration silence(const std::string &Server, MonotonicTime Since,
                   MonotonicTime Now) const;

  /// Silence after which a group of \p Model counts as stalled.
  Duration threshold(const ServiceSpec &Service,
                     const std::string &Model) const;

private:
  StallSettings m_Settings;
  std::map<std::string, MonotonicTime> m_LastEvent;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_STALL_DETECTOR_H
