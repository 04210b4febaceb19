#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_TABLE_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_TABLE_H

#include "servers/membership/member_record.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Table of all known members, including this node.
class MemberTable {
public:
  /// Number of digest buckets, into which members are hashed by their ID.
  static constexpr std::size_t BucketCount = 64;
  using BucketDigests = std::array<std::uint64_t, BucketCount>;

  explicit MemberTable(MemberRecord Self);

  /// Merges a received record. Returns true if the table changed. If a received
  /// record of this node supersedes the one in the table, this node refutes it
  /// by raising its incarnation.
  bool merge(const MemberRecord &Record);

  /// Sets the state of a member at its current incarnation. Returns true if the
  /// table changed.
  bool setMemberState(const std::string &Id, MemberState State);

  /// Sets the state of this node to Left. From then on, records of its current
  /// incarnation are not refuted.
  void leave();
  /// Removes a member that is dead or has left; other members are not removed.
  void remove(const std::string &Id);

  const MemberRecord &self() const { return m_Members.at(m_SelfId); }
  /// Returns the record of the member, or null if it is unknown.
  const MemberRecord *find(const std::string &Id) const;
  const std::map<std::string, MemberRecord> &members() const {
    return m_Members;
  }

  /// One digest per bucket of members, over their IDs and incarnations. It
  /// covers alive and suspected members without distinguishing them, and no
  /// others.
  const BucketDigests &bucketDigests() const { return m_BucketDigests; }
  /// Returns one digest over all buckets.
  std::uint64_t tableDigest() const;
  /// Returns at most \p Limit members whose bucket digest differs from the one
  /// in \p Other.
  std::vector<MemberRecord>
  recordsInDifferentBuckets(const BucketDigests &Other,
                            std::size_t Limit) const;

private:
  void store(const MemberRecord &Record);
  /// Adds the record to the digest of its bucket, or removes it if it was added
  /// before (XOR).
  void toggleDigest(const MemberRecord &Record);

  std::string m_SelfId;
  std::map<std::string, MemberRecord> m_Members;
  BucketDigests m_BucketDigests{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_TABLE_H
