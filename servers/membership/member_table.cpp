#include "servers/membership/member_table.h"

#include "xxhash.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

std::size_t bucketOf(const std::string &Id) {
  return XXH3_64bits(Id.data(), Id.size()) % MemberTable::BucketCount;
}

} // namespace

MemberTable::MemberTable(MemberRecord Self) : m_SelfId(Self.m_NodeId) {
  store(Self);
}

bool MemberTable::merge(const MemberRecord &Record) {
  const auto Entry = m_Members.find(Record.m_NodeId);
  if (Entry != m_Members.end() && !supersedes(Record, Entry->second))
    return false;
  if (Record.m_NodeId != m_SelfId) {
    // Dead or left members that are not in the table are ignored. Otherwise the
    // record of a peer that has not removed such a member yet would add it
    // again after this node removed it.
    if (Entry == m_Members.end() && !Record.isReachable())
      return false;
    store(Record);
    return true;
  }
  MemberRecord Self = self();
  const bool SelfHasLeft = Self.m_State == MemberState::Left;
  if (SelfHasLeft && Record.m_Incarnation == Self.m_Incarnation)
    return false;
  Self.m_Incarnation = Record.m_Incarnation + 1;
  store(Self);
  return true;
}

bool MemberTable::setMemberState(const std::string &Id, MemberState State) {
  const MemberRecord *Known = find(Id);
  if (!Known || Id == m_SelfId)
    return false;
  MemberRecord Record = *Known;
  Record.m_State = State;
  return merge(Record);
}

void MemberTable::leave() {
  MemberRecord Self = self();
  Self.m_State = MemberState::Left;
  store(Self);
}

void MemberTable::remove(const std::string &Id) {
  const auto Entry = m_Members.find(Id);
  if (Entry == m_Members.end() || Entry->second.isReachable() || Id == m_SelfId)
    return;
  toggleDigest(Entry->second);
  m_Members.erase(Entry);
}

const MemberRecord *MemberTable::find(const std::string &Id) const {
  const auto Entry = m_Members.find(Id);
  return Entry == m_Members.end() ? nullptr : &Entry->second;
}

std::uint64_t MemberTable::tableDigest() const {
  return XXH3_64bits(m_BucketDigests.data(), sizeof(m_BucketDigests));
}

std::vector<MemberRecord>
MemberTable::recordsInDifferentBuckets(const BucketDigests &Other,
                                       std::size_t Limit) const {
  std::vector<MemberRecord> Differing;
  for (const auto &[Id, Record] : m_Members) {
    if (Differing.size() >= Limit)
      break;
    const std::size_t Bucket = bucketOf(Id);
    if (m_BucketDigests[Bucket] != Other[Bucket])
      Differing.push_back(Record);
  }
  return Differing;
}

void MemberTable::store(const MemberRecord &Record) {
  const auto Entry = m_Members.find(Record.m_NodeId);
  if (Entry != m_Members.end())
    toggleDigest(Entry->second);
  toggleDigest(Record);
  m_Members.insert_or_assign(Record.m_NodeId, Record);
}

void MemberTable::toggleDigest(const MemberRecord &Record) {
  if (!Record.isReachable())
    return;
  m_BucketDigests[bucketOf(Record.m_NodeId)] ^= XXH3_64bits_withSeed(
      Record.m_NodeId.data(), Record.m_NodeId.size(), Record.m_Incarnation);
}

} // namespace fulmarwinch
