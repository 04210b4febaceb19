#ifndef FULMARWINCH_SERVERS_DISPATCH_STALL_DETECTOR_H
#define FULMARWINCH_SERVERS_DISPATCH_STALL_DETECTOR_H

#include "core/time.h"
#include "servers/routes/traffic_configuration.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Conditions under which a replica group without stream events counts as
/// stalled.
struct StallSettings {
  /// Threshold as a multiple of the time between two events of a stream in a
  /// full batch. The prefill of other requests delays single events, so the
  /// factor is well above 1.
  double m_EventIntervalFactor = 4.0;
  /// Lower limit of the threshold. Shorter gaps occur between the passes of a
  /// busy engine.
  Duration m_MinStallTime = std::chrono::milliseconds(120);
};

/// Tracks the time of the last stream event of each backend server, to detect
/// servers on which all streams have stalled.
class StallDetector {
public:
  explicit StallDetector(const StallSettings &Settings = {})
      : m_Settings(Settings) {}

  /// Must be called when a stream of \p Server has produced an event.
  void onEvent(const std::string &Server, MonotonicTime Now) {
    m_LastEventAt[Server] = Now;
  }

  /// Returns the time since the last event of any stream of \p Server, or since
  /// \p Since if that is later.
  Duration timeSinceLastEvent(const std::string &Server, MonotonicTime Since,
                              MonotonicTime Now) const;

  /// Returns the time without an event after which a group of \p Model counts
  /// as stalled.
  Duration stallThreshold(const ServiceSpec &Service,
                          const std::string &Model) const;

private:
  StallSettings m_Settings;
  std::map<std::string, MonotonicTime> m_LastEventAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_STALL_DETECTOR_H
