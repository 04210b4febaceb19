#include "servers/routing/affinity_strategy.h"

#include "xxhash.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

AffinityStrategy::AffinityStrategy(const SelectionSettings &Settings)
    : m_Settings(Settings) {}

std::size_t AffinityStrategy::select(const std::vector<Candidate> &Groups,
                                     const RouteRequest &Request,
                                     std::mt19937_64 &Random) {
  if (!Request.m_PrefixHash)
    return betterOfTwo(Groups, Random);
  std::vector<Ranked> Order = rank(Groups, *Request.m_PrefixHash);
  const double Share = m_Popularity.count(*Request.m_PrefixHash);
  const std::size_t Holders = holdersOf(Order, Share);
  return chooseByRoom(Order, Holders, Random);
}

std::vector<AffinityStrategy::Ranked>
AffinityStrategy::rank(const std::vector<Candidate> &Groups,
                       std::uint64_t Prefix) const {
  std::vector<Ranked> Order;
  Order.reserve(Groups.size());
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    const std::uint64_t Key[2] = {Prefix, Groups[I].m_GroupHash};
    Order.push_back({XXH3_64bits(Key, sizeof Key), I,
                     expectedLoad(Groups[I], m_Settings.m_Sharers,
                                  m_Settings.m_OthersFactor)});
  }
  return Order;
}

std::size_t AffinityStrategy::holdersOf(std::vector<Ranked> &Order,
                                        double Share) const {
  double Sum = 0;
  for (const Ranked &Group : Order)
    Sum += Group.m_Load;
  // The prefix has this share of the load, and each holder takes a bounded
  // load of one prefix. Filling one holder after another would let the nodes
  // overload each of them before its next report.
  const double Wanted = std::ceil(Share * Sum / m_Settings.m_PrefixLoad);
  const double Most = static_cast<double>(Order.size());
  const auto Holders = static_cast<std::size_t>(std::clamp(Wanted, 1.0, Most));
  const std::size_t Length =
      std::min(Holders + m_Settings.m_SpillGroups, Order.size());
  std::partial_sort(Order.begin(), Order.begin() + static_cast<long>(Length),
                    Order.end(), [](const Ranked &Left, const Ranked &Right) {
                      return Left.m_Rank > Right.m_Rank;
                    });
  const double Bound = std::min(
      m_Settings.m_SpillLoad,
      std::max(m_Settings.m_QuietLoad, m_Settings.m_LoadBound * Sum / Most));
  const auto HasRoom = [Bound](const Ranked &Group) {
    return Group.m_Load <= Bound;
  };
  std::size_t Count = Holders;
  bool Enough = std::any_of(Order.begin(),
                            Order.begin() + static_cast<long>(Count), HasRoom);
  while (!Enough && Count < Length)
    Enough = HasRoom(Order[Count++]);
  return Count;
}

std::size_t AffinityStrategy::chooseByRoom(const std::vector<Ranked> &Order,
                                           std::size_t Count,
                                           std::mt19937_64 &Random) const {
  // All nodes see the same lagging loads, so a choice of the least loaded
  // group would send all of them to one group until the next report.
  constexpr double SmallestRoom = 0.05;
  std::vector<double> Weights;
  Weights.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const double Room =
        std::max(SmallestRoom, m_Settings.m_FullLoad - Order[I].m_Load);
    Weights.push_back(Room * Room);
  }
  std::discrete_distribution<std::size_t> Choose(Weights.begin(),
                                                 Weights.end());
  return Order[Choose(Random)].m_Index;
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
