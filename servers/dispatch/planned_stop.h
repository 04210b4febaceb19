#ifndef FULMARWINCH_SERVERS_DISPATCH_PLANNED_STOP_H
#define FULMARWINCH_SERVERS_DISPATCH_PLANNED_STOP_H

#include "core/time.h"

namespace fulmarwinch {

/// Schedule of a planned stop of this node. The node first serves as usual
/// while the load balancer still sends connections to it, then takes only
/// requests that it can finish, gives each remaining request a response, and
/// exits before the grace period ends.
class PlannedStop {
public:
  /// Starts the stop. Further calls have no effect.
  void begin(MonotonicTime Now, Duration GracePeriod);
  bool hasBegun() const { return m_HasBegun; }

  /// Time from which no new connections are accepted; max() if no stop has
  /// begun, like the other times.
  MonotonicTime stopsAcceptingAt() const { return m_StopsAcceptingAt; }
  /// Time by which each request has a response.
  MonotonicTime responsesDueAt() const { return m_ResponsesDueAt; }
  /// Time at which the process exits at the latest.
  MonotonicTime exitsAt() const { return m_ExitsAt; }

  /// True if a request with \p Deadline may be sent to a server at \p Now.
  /// Later in the stop, a request that may outlast the process is for another
  /// node.
  bool mayServe(MonotonicTime Now, MonotonicTime Deadline) const {
    return Now < m_StopsAcceptingAt || Deadline <= m_ResponsesDueAt;
  }

private:
  bool m_HasBegun = false;
  MonotonicTime m_StopsAcceptingAt = MonotonicTime::max();
  MonotonicTime m_ResponsesDueAt = MonotonicTime::max();
  MonotonicTime m_ExitsAt = MonotonicTime::max();
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_PLANNED_STOP_H
