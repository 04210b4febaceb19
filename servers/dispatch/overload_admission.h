#ifndef FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H
#define FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H

#include "servers/dispatch/server_selector.h"

namespace fulmarwinch {

/// Returns the share of the requests of one model, from 0 to 1, that its groups
/// can serve without a growing queue. \p DemandedGroups is the number of groups
/// that the requests of all nodes would keep busy.
///
/// If more requests are admitted, all of them wait in the queues of the groups
/// and most are late; the load reports of many nodes are too old to prevent
/// this. The remaining requests are rejected at once, so that their clients can
/// return when groups have been added.
double admittedShare(double DemandedGroups, const GroupSupply &Supply);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_OVERLOAD_ADMISSION_H
