#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_NEIGHBOUR_SELECTOR_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_NEIGHBOUR_SELECTOR_H

#include "servers/membership/member_table.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Chooses the members to which a node keeps links.
class NeighbourSelector {
public:
  static constexpr std::size_t NeighbourCount = 4;

  /// Returns up to NeighbourCount reachable members in rendezvous order, at
  /// least one of them in another availability zone and one in another region
  /// where such members exist. One member can satisfy only one of the rules.
  static std::vector<std::string> select(const MemberTable &Table);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_NEIGHBOUR_SELECTOR_H
