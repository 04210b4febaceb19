#include "core/rendezvous.h"

#include "xxhash.h"

namespace fulmarwinch {

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  return XXH3_64bits_withSeed(Node.data(), Node.size(),
                              XXH3_64bits(Key.data(), Key.size()));
}

std::size_t rendezvousRank(std::string_view Key,
                           const std::vector<std::string> &Nodes,
                           std::string_view Node) {
  const std::uint64_t OwnWeight = rendezvousWeight(Key, Node);
  std::size_t Rank = 0;
  for (const std::string &Other : Nodes) {
    const std::uint64_t Weight = rendezvousWeight(Key, Other);
    if (Weight > OwnWeight || (Weight == OwnWeight && Other < Node))
      ++Rank;
  }
  return Rank;
}

} // namespace fulmarwinch
