#include "servers/feed/relay_follower.h"

#include <algorithm>

namespace fulmarwinch {

void RelayFollower::onStoreResponse(StorePosition Position, bool HadChanges,
                                    MonotonicTime CurrentAt) {
  m_Position = std::max(m_Position, Position);
  if (HadChanges)
    m_LastChange = std::max(m_LastChange, Position);
  m_LastCurrentAt = std::max(m_LastCurrentAt, CurrentAt);
  m_HasGap = false;
}

bool RelayFollower::onRelayedChanges(StorePosition From, StorePosition To) {
  if (To <= m_Position)
    return false;
  if (From > m_Position) {
    m_HasGap = true;
    return false;
  }
  m_Position = To;
  m_LastChange = To;
  return true;
}

void RelayFollower::onRelayConfirmation(StorePosition LastChange,
                                        StorePosition Position, Duration Age,
                                        MonotonicTime Now) {
  if (LastChange > m_Position) {
    m_HasGap = true;
    return;
  }
  m_Position = std::max(m_Position, Position);
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
