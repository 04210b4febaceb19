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
    return lessLoadedOfTwo(Groups, Random);
  std::vector<RankedGroup> Ranking = rankGroups(Groups, *Request.m_PrefixHash);
  const double PrefixShare = m_Popularity.countRequest(*Request.m_PrefixHash);
  const std::size_t EligibleCount = eligibleGroupCount(Ranking, PrefixShare);
  return chooseByFreeCapacity(Ranking, EligibleCount, Random);
}

std::vector<AffinityStrategy::RankedGroup>
AffinityStrategy::rankGroups(const std::vector<Candidate> &Groups,
                             std::uint64_t Prefix) const {
  std::vector<RankedGroup> Ranking;
  Ranking.reserve(Groups.size());
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    const std::uint64_t Key[2] = {Prefix, Groups[I].m_GroupHash};
    Ranking.push_back({XXH3_64bits(Key, sizeof Key), I,
                       expectedLoad(Groups[I], m_Settings.m_NodesPerGroup,
                                    m_Settings.m_OtherNodeFactor)});
  }
  return Ranking;
}

std::size_t
AffinityStrategy::eligibleGroupCount(std::vector<RankedGroup> &Ranking,
                                     double PrefixShare) const {
  double TotalLoad = 0;
  for (const RankedGroup &Group : Ranking)
    TotalLoad += Group.m_Load;
  // The prefix causes PrefixShare of the total load, and each group serves at
  // most m_MaxLoadPerPrefix of it. If the nodes filled one group after another,
  // they would overload each group before its next load report.
  const double UnboundedTarget =
      std::ceil(PrefixShare * TotalLoad / m_Settings.m_MaxLoadPerPrefix);
  const double GroupCount = static_cast<double>(Ranking.size());
  const auto TargetCount =
      static_cast<std::size_t>(std::clamp(UnboundedTarget, 1.0, GroupCount));
  const std::size_t RankedCount =
      std::min(TargetCount + m_Settings.m_SpilloverGroups, Ranking.size());
  std::partial_sort(
      Ranking.begin(), Ranking.begin() + static_cast<long>(RankedCount),
      Ranking.end(), [](const RankedGroup &Left, const RankedGroup &Right) {
        return Left.m_RendezvousHash > Right.m_RendezvousHash;
      });
  const double MaxLoad =
      std::min(m_Settings.m_SpilloverLoad,
               std::max(m_Settings.m_QueueFreeLoad,
                        m_Settings.m_MaxLoadOverMean * TotalLoad / GroupCount));
  const auto IsWithinMaxLoad = [MaxLoad](const RankedGroup &Group) {
    return Group.m_Load <= MaxLoad;
  };
  std::size_t EligibleCount = TargetCount;
  bool FoundWithinMaxLoad = std::any_of(
      Ranking.begin(), Ranking.begin() + static_cast<long>(EligibleCount),
      IsWithinMaxLoad);
  while (!FoundWithinMaxLoad && EligibleCount < RankedCount)
    FoundWithinMaxLoad = IsWithinMaxLoad(Ranking[EligibleCount++]);
  return EligibleCount;
}

std::size_t
AffinityStrategy::chooseByFreeCapacity(const std::vector<RankedGroup> &Ranking,
                                       std::size_t EligibleCount,
                                       std::mt19937_64 &Random) const {
  // All nodes see the same delayed load reports. If each chose the least loaded
  // group, all would dispatch to that one group until the next report.
  constexpr double MinFreeCapacity = 0.05;
  std::vector<double> Weights;
  Weights.reserve(EligibleCount);
  for (std::size_t I = 0; I < EligibleCount; ++I) {
    const double FreeCapacity = std::max(
        MinFreeCapacity, m_Settings.m_SaturationLoad - Ranking[I].m_Load);
    Weights.push_back(FreeCapacity * FreeCapacity);
  }
  std::discrete_distribution<std::size_t> Distribution(Weights.begin(),
                                                       Weights.end());
  return Ranking[Distribution(Random)].m_GroupIndex;
}

std::size_t
AffinityStrategy::lessLoadedOfTwo(const std::vector<Candidate> &Groups,
                                  std::mt19937_64 &Random) const {
  const std::size_t First = Random() % Groups.size();
  if (Groups.size() == 1)
    return First;
  const std::size_t Second =
      (First + 1 + Random() % (Groups.size() - 1)) % Groups.size();
  return extrapolatedLoad(Groups[Second], m_Settings.m_NodesPerGroup) <
                 extrapolatedLoad(Groups[First], m_Settings.m_NodesPerGroup)
             ? Second
             : First;
}

} // namespace fulmarwinch
