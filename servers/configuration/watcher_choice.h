#ifndef FULMARWINCH_SERVERS_CONFIGURATION_WATCHER_CHOICE_H
#define FULMARWINCH_SERVERS_CONFIGURATION_WATCHER_CHOICE_H

#include "servers/configuration/freshness_tracker.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Returns whether \p Self is among the first \p Places live nodes of its
/// availability zone in rendezvous order. Nodes with different member lists
/// may choose too many watchers for a while, which only costs calls.
bool isChosenWatcher(const ConfigurationPeer &Self,
                     const std::vector<ConfigurationPeer> &Peers,
                     std::size_t Places);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_WATCHER_CHOICE_H
