#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_NEIGHBOUR_SELECTOR_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_NEIGHBOUR_SELECTOR_H

#include "servers/membership/member_table.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Selects the members that a node pings, to which it keeps links open.
class NeighbourSelector {
public:
  static constexpr std::size_t NeighbourCount = 4;

  /// Returns the IDs of up to NeighbourCount reachable members in rendezvous
  /// hashing order. If such members exist, one of them is in another region and
  /// another one in another availability zone of the same region.
  static std::vector<std::string> select(const MemberTable &Table);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_NEIGHBOUR_SELECTOR_H
