#include "servers/replicas/group_key_sequence.h"
#include "core/text.h"

namespace fulmarwinch {

namespace {

/// Number of group epochs reserved for one lease epoch. The groups of a lease
/// holder that formed more would have the epochs of the next holder, though not
/// the names.
constexpr std::uint64_t EpochsPerLeaseEpoch = 100000;

} // namespace

void GroupKeySequence::beginLease(std::uint64_t LeaseEpoch) {
  if (LeaseEpoch == m_LeaseEpoch)
    return;
  m_LeaseEpoch = LeaseEpoch;
  m_LastNumber = 0;
}

GroupKey GroupKeySequence::next(const std::string &Model) {
  const std::uint64_t Number = ++m_LastNumber;
  return {concat(Model, ".", m_LeaseEpoch, ".", Number),
          m_LeaseEpoch * EpochsPerLeaseEpoch + Number};
}

bool GroupKeySequence::isOfThisLease(const GroupKey &Key) const {
  return Key.m_Epoch > m_LeaseEpoch * EpochsPerLeaseEpoch &&
         Key.m_Epoch <= m_LeaseEpoch * EpochsPerLeaseEpoch + m_LastNumber;
}

} // namespace fulmarwinch
