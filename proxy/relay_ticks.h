#ifndef FULMARWINCH_PROXY_RELAY_TICKS_H
#define FULMARWINCH_PROXY_RELAY_TICKS_H

#include "core/time.h"

namespace fulmarwinch {

struct RequestRelayContext;

/// Runs the periodic work of all active requests. Those that wait for a server
/// are run last, in their order (see WaitingRank).
void tickActiveRequests(RequestRelayContext &Context, MonotonicTime Now);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_RELAY_TICKS_H
