#ifndef FULMARWINCH_SERVERS_FEED_RELAY_TOPOLOGY_H
#define FULMARWINCH_SERVERS_FEED_RELAY_TOPOLOGY_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Live node that may become the relay of its zone.
struct RelayCandidate {
  std::string m_Name;
  std::string m_Zone;
  /// Bandwidth of the node's network link in Mbit/s; 0 if unknown.
  double m_LinkMbps = 0.0;
};

/// Part that a node takes in the distribution of the store's changes.
enum class FeedRole {
  /// Watches the store for itself only; no other node of its zone is live.
  Independent,
  /// Receives the changes from the relay of its zone.
  Follower,
  /// Receives the changes from the source, or watches the store while there is
  /// none, and forwards them to the followers of its zone.
  Relay,
  /// Watches the store and forwards the changes to the relays of all zones. The
  /// holder of the lease on group formation is the source, since it has to
  /// watch the store in any case.
  Source,
};

/// Paths on which one node receives and forwards the store's changes.
struct FeedPlan {
  FeedRole m_Role = FeedRole::Independent;
  /// Relay of the node's own zone, which may be the node itself; empty if there
  /// is none.
  std::string m_ZoneRelay;
  /// Nodes to which the node forwards changes.
  std::vector<std::string> m_Receivers;
};

/// Returns the relay of each zone with two or more nodes in \p Nodes. Of the
/// nodes with the fastest links, rendezvous hashing selects one, so that all
/// nodes with the same view select the same, whatever the order of \p Nodes.
std::map<std::string, std::string>
relayByZone(const std::vector<RelayCandidate> &Nodes);

/// Plans the part of the node \p Own among the live nodes \p Nodes.
/// \p IsLeaseHolder is true if it holds the lease on group formation.
FeedPlan planFeed(const RelayCandidate &Own,
                  const std::vector<RelayCandidate> &Nodes, bool IsLeaseHolder);

/// Maximum size of a batch that a node with a link of \p LinkMbps forwards to
/// \p ReceiverCount nodes. A larger batch would fill the link, whose queue then
/// drops datagrams; the receivers read it from the store instead.
std::size_t maxForwardedBytes(double LinkMbps, std::size_t ReceiverCount);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FEED_RELAY_TOPOLOGY_H
