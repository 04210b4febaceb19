#ifndef FULMARWINCH_CORE_RENDEZVOUS_H
#define FULMARWINCH_CORE_RENDEZVOUS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Weight of \p Node for \p Key; the node with the highest weight is first.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

/// Number of nodes in \p Nodes that come before \p Node for \p Key.
std::size_t rendezvousRank(std::string_view Key,
                           const std::vector<std::string> &Nodes,
                           std::string_view Node);

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_RENDEZVOUS_H
