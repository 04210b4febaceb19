#ifndef FULMARWINCH_PROXY_ZONE_CHANGE_RELAY_H
#define FULMARWINCH_PROXY_ZONE_CHANGE_RELAY_H

#include "proxy/object_watcher.h"
#include "proxy/peer_exchange.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Distributes the store's changes within a zone. One node of the zone, the
/// relay, watches the store and forwards the changes to the other nodes, its
/// followers, so that the number of store calls grows with the number of zones
/// and not of nodes.
class ZoneChangeRelay {
public:
  ZoneChangeRelay(EventLog &Log, PeerExchange &Peers, std::string Node,
                  std::string Zone);

  /// Adds the watcher of one kind of objects, which must outlive this object.
  void addWatcher(ObjectWatcher &Watcher);
  /// Selects the relay from \p ZoneNodes, the live nodes of the zone. If
  /// \p NeedsDirectWatch is true, this node watches the store even as a
  /// follower.
  void tick(MonotonicTime Now, const std::vector<std::string> &ZoneNodes,
            bool NeedsDirectWatch);
  /// Processes a message of another node; does nothing if it is malformed.
  void onMessage(const Json &Message);

private:
  /// Sends the followers the current revision of each kind and its age.
  void sendFreshness();
  /// Forwards changes that this relay read from the store.
  void publish(const ObjectChangeBatch &Changes);
  /// Stores one part of a batch and returns all changes of the batch once it is
  /// complete.
  std::optional<std::vector<ObjectChange>>
  addPart(const ObjectChangeBatch &Part, std::size_t Index, std::size_t Count);

  EventLog &m_Log;
  PeerExchange &m_Peers;
  std::string m_NodeName;
  std::string m_Zone;
  std::vector<ObjectWatcher *> m_Watchers;
  bool m_IsRelay = false;
  /// Name of the zone's relay, which may be this node; empty if there is none.
  std::string m_RelayNode;
  MonotonicTime m_NextFreshnessAt{};
  /// Received parts of batches that did not fit into one datagram, by kind.
  struct PartialBatch {
    std::uint64_t m_ToRevision = 0;
    std::map<std::size_t, std::vector<ObjectChange>> m_Parts;
  };
  std::map<std::string, PartialBatch> m_PartialBatches;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_ZONE_CHANGE_RELAY_H
