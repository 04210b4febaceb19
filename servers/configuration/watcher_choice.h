#ifndef FULMARWINCH_SERVERS_CONFIGURATION_WATCHER_CHOICE_H
#define FULMARWINCH_SERVERS_CONFIGURATION_WATCHER_CHOICE_H

#include "servers/configuration/freshness_tracker.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Returns whether \p Self is one of the \p WatchersPerZone nodes that watch
/// the object store for their availability zone: those with the highest
/// rendezvous weight among the live nodes of the zone. While the member lists
/// of nodes differ, more nodes may watch, which only costs extra store calls.
bool isChosenWatcher(const ConfigurationPeer &Self,
                     const std::vector<ConfigurationPeer> &Peers,
                     std::size_t WatchersPerZone);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_WATCHER_CHOICE_H
