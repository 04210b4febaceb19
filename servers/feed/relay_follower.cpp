#include "servers/feed/relay_follower.h"

#include <algorithm>

namespace fulmarwinch {

void RelayFollower::onStoreResponse(std::uint64_t Revision, bool HadChanges,
                                    MonotonicTime CurrentAt) {
  m_Revision = std::max(m_Revision, Revision);
  if (HadChanges)
    m_LastChangeRevision = std::max(m_LastChangeRevision, Revision);
  m_LastCurrentAt = std::max(m_LastCurrentAt, CurrentAt);
  m_HasGap = false;
}

bool RelayFollower::onRelayedChanges(std::uint64_t From, std::uint64_t To) {
  if (To <= m_Revision)
    return false;
  if (From > m_Revision) {
    m_HasGap = true;
    return false;
  }
  m_Revision = To;
  m_LastChangeRevision = To;
  return true;
}

void RelayFollower::onRelayConfirmation(std::uint64_t LastChange,
                                        std::uint64_t Revision, Duration Age,
                                        MonotonicTime Now) {
  if (LastChange > m_Revision) {
    m_HasGap = true;
    return;
  }
  m_Revision = std::max(m_Revision, Revision);
  m_LastCurrentAt = std::max(m_LastCurrentAt, Now - Age);
}

bool RelayFollower::needsNoStoreCall(MonotonicTime Now) const {
  return m_Following && !m_HasGap && Now - m_LastCurrentAt < m_MaxStaleness;
}

StoreCallReason RelayFollower::storeCallReason() const {
  if (!m_Following)
    return StoreCallReason::Direct;
  return m_HasGap ? StoreCallReason::Gap : StoreCallReason::Outdated;
}

} // namespace fulmarwinch
