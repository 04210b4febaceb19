#ifndef FULMARWINCH_PROXY_PLACEMENT_NOTICES_H
#define FULMARWINCH_PROXY_PLACEMENT_NOTICES_H

#include "proxy/request_relay.h"

namespace fulmarwinch {

/// Writes the servers that began or ceased to count as slow to the log, and
/// updates the metrics of the placement. Call it a few times a second.
void reportPlacement(RequestRelayContext &Context);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_PLACEMENT_NOTICES_H
