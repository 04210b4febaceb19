#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_TABLE_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_TABLE_H

#include "servers/membership/member_record.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// All known members, the own node included.
class MemberTable {
public:
  static constexpr std::size_t DigestCount = 64;
  using Digests = std::array<std::uint64_t, DigestCount>;

  explicit MemberTable(MemberRecord Self);

  /// Merges one received record. Returns whether the table changed. A record
  /// that contradicts the own node raises the own incarnation instead.
  bool merge(const MemberRecord &Record);

  /// Records a local judgement about a member at its current incarnation.
  bool mark(const std::string &Id, MemberState State);

  /// Marks the own node as left; it no longer refutes.
  void leave();
  /// Drops a member that is dead or has left.
  void forget(const std::string &Id);

  const MemberRecord &self() const { return m_Members.at(m_SelfId); }
  const MemberRecord *find(const std::string &Id) const;
  const std::map<std::string, MemberRecord> &members() const {
    return m_Members;
  }

  /// One digest per group of members. It covers
  /// alive and suspected members alike, and no others.
  const Digests &digests() const { return m_Digests; }
  std::uint64_t digest() const;
  /// Returns the members whose digest group differs from \p Other.
  std::vector<MemberRecord> differing(const Digests &Other,
                                      std::size_t Limit) const;

private:
  void store(const MemberRecord &Record);
  void toggleDigest(const MemberRecord &Record);

  std::string m_SelfId;
  std::map<std::string, MemberRecord> m_Members;
  Digests m_Digests{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_TABLE_H
