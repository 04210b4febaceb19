#include "servers/configuration/watcher_choice.h"

#include "xxhash.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// Hash seed of the watcher choice. Other rendezvous choices use other seeds,
/// so that the same nodes are not chosen for every task.
constexpr XXH64_hash_t WatcherHashSeed = 0x636f6e66;

std::pair<XXH64_hash_t, std::string>
rendezvousWeightOf(const std::string &Node) {
  return {XXH3_64bits_withSeed(Node.data(), Node.size(), WatcherHashSeed),
          Node};
}

} // namespace

bool isChosenWatcher(const ConfigurationPeer &Self,
                     const std::vector<ConfigurationPeer> &Peers,
                     std::size_t WatchersPerZone) {
  const auto OwnWeight = rendezvousWeightOf(Self.m_Node);
  std::size_t HigherRankedPeers = 0;
  for (const ConfigurationPeer &Peer : Peers)
    if (Peer.m_IsAlive && Peer.m_Zone == Self.m_Zone &&
        Peer.m_Node != Self.m_Node &&
        rendezvousWeightOf(Peer.m_Node) > OwnWeight)
      ++HigherRankedPeers;
  return HigherRankedPeers < WatchersPerZone;
}

} // namespace fulmarwinch
