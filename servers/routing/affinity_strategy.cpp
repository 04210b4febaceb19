#include "servers/routing/affinity_strategy.h"

#include "xxhash.h"

#include <algorithm>

namespace fulmarwinch {

AffinityStrategy::AffinityStrategy(const SelectionSettings &Settings)
    : m_Settings(Settings) {}

std::size_t AffinityStrategy::select(const std::vector<Candidate> &Groups,
                                     const RouteRequest &Request,
                                     std::mt19937_64 &Random) {
  if (!Request.m_PrefixHash)
    return betterOfTwo(Groups, Random);
  double Sum = 0;
  std::vector<std::pair<std::uint64_t, std::size_t>> Order;
  Order.reserve(Groups.size());
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    Sum += correctedLoad(Groups[I], m_Settings.m_Sharers);
    const std::uint64_t Key[2] = {*Request.m_PrefixHash, Groups[I].m_GroupHash};
    Order.emplace_back(XXH3_64bits(Key, sizeof Key), I);
  }
  const double Mean = Sum / static_cast<double>(Groups.size());
  const std::size_t Length = std::min(m_Settings.m_OrderLength, Order.size());
  std::partial_sort(Order.begin(), Order.begin() + static_cast<long>(Length),
                    Order.end(), std::greater<>());
  for (std::size_t I = 0; I < Length; ++I) {
    const Candidate &Group = Groups[Order[I].second];
    const double Load = correctedLoad(Group, m_Settings.m_Sharers);
    if (isWithinBound(Group, Load, Mean))
      return Order[I].second;
  }
  return betterOfTwo(Groups, Random);
}

bool AffinityStrategy::isWithinBound(const Candidate &Group, double Load,
                                     double Mean) const {
  const bool PassedOver = Group.m_PassedOver && *Group.m_PassedOver;
  const double Bound =
      PassedOver ? m_Settings.m_ReturnBound : m_Settings.m_LoadBound;
  const bool Within = Load <= std::max(Bound * Mean, m_Settings.m_QuietLoad);
  if (Group.m_PassedOver)
    *Group.m_PassedOver = !Within;
  return Within;
}

std::size_t AffinityStrategy::betterOfTwo(const std::vector<Candidate> &Groups,
                                          std::mt19937_64 &Random) const {
  const std::size_t First = Random() % Groups.size();
  if (Groups.size() == 1)
    return First;
  const std::size_t Second =
      (First + 1 + Random() % (Groups.size() - 1)) % Groups.size();
  return correctedLoad(Groups[Second], m_Settings.m_Sharers) <
                 correctedLoad(Groups[First], m_Settings.m_Sharers)
             ? Second
             : First;
}

} // namespace fulmarwinch
