#ifndef FULMARWINCH_PROXY_ZONE_CHANGE_RELAY_H
#define FULMARWINCH_PROXY_ZONE_CHANGE_RELAY_H

#include "proxy/object_watcher.h"
#include "proxy/peer_exchange.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Distributes the store's changes among the nodes in two steps, so that the
/// number of store calls grows neither with the number of nodes nor with that
/// of zones: the source forwards them to one relay in each zone, and each relay
/// to the other nodes of its zone. See FeedRole.
class ZoneChangeRelay {
public:
  ZoneChangeRelay(EventLog &Log, PeerExchange &Peers);

  /// Adds the watcher of one kind of objects, which must outlive this object.
  void addWatcher(ObjectWatcher &Watcher);
  /// Plans the part of this node among \p LiveNodes. \p IsLeaseHolder is true
  /// if it holds the lease on group formation.
  void tick(MonotonicTime Now, const std::vector<RelayCandidate> &LiveNodes,
            bool IsLeaseHolder);
  /// Processes a message of another node, which was delayed by \p Delay on its
  /// way; does nothing if it is malformed.
  void onMessage(const Json &Message, Duration Delay);

private:
  /// Sends the receivers the current revision of each kind and its age.
  void sendFreshness();
  /// Forwards changes to the receivers.
  void publish(const ObjectChangeBatch &Changes);

  EventLog &m_Log;
  PeerExchange &m_Peers;
  std::vector<ObjectWatcher *> m_Watchers;
  FeedPlan m_Plan;
  MonotonicTime m_NextFreshnessAt{};
  ChangeBatchAssembler m_Assembler;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_ZONE_CHANGE_RELAY_H
