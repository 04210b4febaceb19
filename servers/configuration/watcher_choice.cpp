#include "servers/configuration/watcher_choice.h"

#include "xxhash.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// Seed that separates this choice from other rendezvous choices, so that the
/// same nodes are not chosen for everything.
constexpr XXH64_hash_t WatcherSeed = 0x636f6e66;

std::pair<XXH64_hash_t, std::string> weightOf(const std::string &Node) {
  return {XXH3_64bits_withSeed(Node.data(), Node.size(), WatcherSeed), Node};
}

} // namespace

bool isChosenWatcher(const ConfigurationPeer &Self,
                     const std::vector<ConfigurationPeer> &Peers,
                     std::size_t Places) {
  const auto Own = weightOf(Self.m_Node);
  std::size_t Before = 0;
  for (const ConfigurationPeer &Peer : Peers)
    if (Peer.m_Alive && Peer.m_Zone == Self.m_Zone &&
        Peer.m_Node != Self.m_Node && weightOf(Peer.m_Node) > Own)
      ++Before;
  return Before < Places;
}

} // namespace fulmarwinch
