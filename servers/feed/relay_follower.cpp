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
  m_HasMissedEra = false;
}

bool RelayFollower::isBehind(StorePosition Named) {
  if (Named <= m_Position)
    return false;
  m_HasGap = true;
  m_HasMissedEra |= Named.m_Era > m_Position.m_Era;
  return true;
}

bool RelayFollower::onRelayedChanges(StorePosition From, StorePosition To) {
  if (To <= m_Position)
    return false;
  if (isBehind(From))
    return false;
  m_Position = To;
  m_LastChange = To;
  return true;
}

void RelayFollower::onRelayConfirmation(StorePosition LastChange,
                                        StorePosition Position, Duration Age,
                                        MonotonicTime Now) {
  if (isBehind(LastChange))
    return;
  m_Position = std::max(m_Position, Position);
  m_LastCurrentAt = std::max(m_LastCurrentAt, Now - Age);
}

bool RelayFollower::needsNoStoreCall(MonotonicTime Now) const {
  return m_Following && !m_HasGap && Now - m_LastCurrentAt < m_MaxStaleness;
}

StoreCallReason RelayFollower::storeCallReason() const {
  if (!m_Following)
    return StoreCallReason::Direct;
  if (m_HasMissedEra)
    return StoreCallReason::Restored;
  return m_HasGap ? StoreCallReason::Gap : StoreCallReason::Outdated;
}

} // namespace fulmarwinch
