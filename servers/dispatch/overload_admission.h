#ifndef FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H
#define FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H

#include "servers/dispatch/first_event_latency.h"
#include "servers/dispatch/server_selector.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Groups that the requests of one model would keep busy on all nodes.
/// Returning requests are those of clients that were rejected before.
struct ModelDemand {
  double m_FirstAttempts = 0.0;
  double m_Returning = 0.0;
};

/// Shares of the requests of one model, from 0 to 1, that are admitted.
struct AdmittedShares {
  double m_FirstAttempts = 1.0;
  double m_Returning = 1.0;

  bool admitsAll() const {
    return m_FirstAttempts >= 1.0 && m_Returning >= 1.0;
  }
};

/// Returns the shares that the groups of a model can serve without a growing
/// queue. Nothing is rejected before \p Latency shows that queues have grown.
/// \p WasOverloaded is true if requests are being rejected now.
///
/// If more requests are admitted, all of them wait in the queues of the groups
/// and most are late; the load reports of many nodes are too old to prevent
/// this. The remaining requests are rejected at once. First attempts go first:
/// they can still be served within their objective, and each of them that is
/// rejected for a returning request would make one more client late.
AdmittedShares admittedShares(const ModelDemand &Demand,
                              const GroupSupply &Supply,
                              const RelativeLatency &Latency,
                              bool WasOverloaded);

/// Tells first attempts from requests of clients that were rejected before and
/// have therefore less time left than usual.
class ReturningClients {
public:
  /// Records the time that a request of \p Route has left. Returns true if its
  /// client seems to have been rejected before.
  bool isReturning(const std::string &Route, Duration TimeLeft);

private:
  /// Average time left, in seconds, by route.
  std::map<std::string, double> m_UsualSeconds;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H
