#ifndef FULMARWINCH_CORE_RENDEZVOUS_H
#define FULMARWINCH_CORE_RENDEZVOUS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Returns the rendezvous hashing weight of \p Node for \p Key. The node with
/// the highest weight has rank 0.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

/// Returns the rank of \p Node for \p Key: the number of nodes in \p Nodes with
/// a higher weight. Nodes of equal weight are ordered by name.
std::size_t rendezvousRank(std::string_view Key,
                           const std::vector<std::string> &Nodes,
                           std::string_view Node);

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_RENDEZVOUS_H
