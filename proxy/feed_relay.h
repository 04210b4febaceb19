#ifndef FULMARWINCH_PROXY_FEED_RELAY_H
#define FULMARWINCH_PROXY_FEED_RELAY_H

#include "proxy/kind_watcher.h"
#include "proxy/peer_exchange.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Lets one node of each zone ask the store for changes and pass them on to
/// the others of its zone, so that the store's calls grow with the zones and
/// not with the nodes.
class FeedRelay {
public:
  FeedRelay(EventLog &Log, PeerExchange &Peers, std::string Node,
            std::string Zone);

  /// Adds a kind; \p Watcher must outlive the relay.
  void add(KindWatcher &Watcher);
  /// \p ZoneNodes are the live nodes of the zone. A node that \p NeedsStore
  /// asks the store itself.
  void tick(MonotonicTime Now, const std::vector<std::string> &ZoneNodes,
            bool NeedsStore);
  /// Takes a message of another node.
  void onMessage(const Json &Message);

private:
  void vouch();
  void publish(const KindChanges &Changes);
  /// Adds one part and returns all changes once the last part is there.
  std::optional<std::vector<ObjectChange>>
  assemble(const KindChanges &Part, std::size_t Index, std::size_t Count);

  EventLog &m_Log;
  PeerExchange &m_Peers;
  std::string m_Node;
  std::string m_Zone;
  std::vector<KindWatcher *> m_Watchers;
  bool m_Relays = false;
  std::string m_Relay;
  MonotonicTime m_NextVouch{};
  /// Parts of changes that did not fit into one datagram, by kind.
  struct Partial {
    std::uint64_t m_To = 0;
    std::map<std::size_t, std::vector<ObjectChange>> m_Parts;
  };
  std::map<std::string, Partial> m_Partials;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_FEED_RELAY_H
