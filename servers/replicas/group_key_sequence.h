#ifndef FULMARWINCH_SERVERS_REPLICAS_GROUP_KEY_SEQUENCE_H
#define FULMARWINCH_SERVERS_REPLICAS_GROUP_KEY_SEQUENCE_H

#include "servers/fleet/backend_server.h"

#include <cstdint>
#include <string>

namespace fulmarwinch {

/// Keys for the groups that a lease holder forms. No key is returned twice: the
/// store grants each lease epoch to one process, which keeps one sequence for
/// all of its planners, and the sequence never goes back within an epoch.
class GroupKeySequence {
public:
  /// Must be called when the process holds the lease of \p LeaseEpoch, also if
  /// it has held the same epoch before.
  void beginLease(std::uint64_t LeaseEpoch);
  /// Returns the key of a new group of \p Model, which is unique and has a
  /// higher epoch than all keys before.
  GroupKey next(const std::string &Model);
  /// True if \p Key belongs to the lease epoch that the process held last.
  bool isOfThisLease(const GroupKey &Key) const;

private:
  std::uint64_t m_LeaseEpoch = 0;
  std::uint64_t m_LastNumber = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_GROUP_KEY_SEQUENCE_H
