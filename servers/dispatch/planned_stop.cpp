#include "servers/dispatch/planned_stop.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Time after which the load balancer sends no new connections to a node that
/// is not ready: two failed readiness probes, one second apart.
constexpr Duration BalancerReactionTime = milliseconds(2600);
/// Part of the grace period that is reserved for the exit of the process.
constexpr Duration ExitMargin = milliseconds(350);
/// Time in which the last responses are written.
constexpr Duration LastResponsesTime = milliseconds(250);
/// Maximum part of the grace period, in percent, in which connections are
/// accepted, so that a short one leaves time to serve them.
constexpr int MaxAcceptPercent = 65;

} // namespace

void PlannedStop::begin(MonotonicTime Now, Duration GracePeriod) {
  if (m_HasBegun)
    return;
  m_HasBegun = true;
  const auto FromNow = [Now](Duration Time) {
    return Now + std::max(Duration::zero(), Time);
  };
  m_ExitsAt = FromNow(GracePeriod - ExitMargin);
  m_ResponsesDueAt = FromNow(GracePeriod - ExitMargin - LastResponsesTime);
  m_StopsAcceptingAt = FromNow(
      std::min(BalancerReactionTime, GracePeriod * MaxAcceptPercent / 100));
}

} // namespace fulmarwinch
