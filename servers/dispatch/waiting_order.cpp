#include "servers/dispatch/waiting_order.h"

#include <tuple>

namespace fulmarwinch {

bool WaitingRank::operator<(const WaitingRank &Other) const {
  return std::tie(m_Priority, Other.m_OrganisationShare, m_Deadline) <
         std::tie(Other.m_Priority, m_OrganisationShare, Other.m_Deadline);
}

void FullPools::onFull(const std::string &Pool, const WaitingRank &Rank) {
  const auto [First, IsNew] = m_FirstWaiting.try_emplace(Pool, Rank);
  if (!IsNew && Rank < First->second)
    First->second = Rank;
}

bool FullPools::mustWait(const std::string &Pool,
                         const WaitingRank &Rank) const {
  const auto First = m_FirstWaiting.find(Pool);
  return First != m_FirstWaiting.end() && !(Rank < First->second);
}

} // namespace fulmarwinch
