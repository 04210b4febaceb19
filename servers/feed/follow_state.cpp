#include "servers/feed/follow_state.h"
#include "core/rendezvous.h"

#include <algorithm>

namespace fulmarwinch {

void FollowState::onStoreAnswer(std::uint64_t Revision, bool HadChanges,
                                MonotonicTime Now) {
  m_Revision = std::max(m_Revision, Revision);
  if (HadChanges)
    m_LastChange = std::max(m_LastChange, Revision);
  m_LastCurrentAt = std::max(m_LastCurrentAt, Now);
  m_HasGap = false;
}

bool FollowState::onChanges(std::uint64_t From, std::uint64_t To) {
  if (To <= m_Revision)
    return false;
  if (From > m_Revision) {
    m_HasGap = true;
    return false;
  }
  m_Revision = To;
  m_LastChange = To;
  return true;
}

void FollowState::onVouch(std::uint64_t LastChange, std::uint64_t Revision,
                          Duration Age, MonotonicTime Now) {
  if (LastChange > m_Revision) {
    m_HasGap = true;
    return;
  }
  m_Revision = std::max(m_Revision, Revision);
  m_LastCurrentAt = std::max(m_LastCurrentAt, Now - Age);
}

bool FollowState::mayIdle(MonotonicTime Now) const {
  return m_Following && !m_HasGap && Now - m_LastCurrentAt < m_MaxStaleness;
}

std::optional<std::string> relayOf(const std::string &Zone,
                                   const std::vector<std::string> &ZoneNodes) {
  if (ZoneNodes.size() < 2)
    return std::nullopt;
  for (const std::string &Node : ZoneNodes)
    if (rendezvousRank("relay/" + Zone, ZoneNodes, Node) == 0)
      return Node;
  return std::nullopt;
}

} // namespace fulmarwinch
