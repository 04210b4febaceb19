#ifndef FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H
#define FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H

#include "servers/routing/prefix_popularity.h"
#include "servers/routing/selection_strategy.h"

namespace fulmarwinch {

/// Routes requests with the same prompt prefix to few groups, so that they hit
/// the prefix cache. The number of groups grows with the prefix's share of the
/// requests. Among them a group is chosen at random, weighted by its free
/// capacity.
class AffinityStrategy : public SelectionStrategy {
public:
  explicit AffinityStrategy(const SelectionSettings &Settings);
  std::size_t select(const std::vector<Candidate> &Groups,
                     const RouteRequest &Request,
                     std::mt19937_64 &Random) override;

private:
  /// A group with its rendezvous hash for the prefix and its expected load.
  struct RankedGroup {
    std::uint64_t m_RendezvousHash = 0;
    std::size_t m_GroupIndex = 0;
    double m_Load = 0;
  };

  std::vector<RankedGroup> rankGroups(const std::vector<Candidate> &Groups,
                                      std::uint64_t Prefix) const;
  /// Returns how many of the highest ranked groups may serve a prefix that has
  /// \p PrefixShare of the requests. Sorts these groups to the front of
  /// \p Ranking.
  std::size_t eligibleGroupCount(std::vector<RankedGroup> &Ranking,
                                 double PrefixShare) const;
  /// Chooses one of the first \p EligibleCount groups at random, weighted by
  /// the square of the free capacity. Returns its index among the candidates.
  std::size_t chooseByFreeCapacity(const std::vector<RankedGroup> &Ranking,
                                   std::size_t EligibleCount,
                                   std::mt19937_64 &Random) const;
  /// Draws two groups at random and returns the index of the less loaded one.
  std::size_t lessLoadedOfTwo(const std::vector<Candidate> &Groups,
                              std::mt19937_64 &Random) const;

  SelectionSettings m_Settings;
  PrefixPopularity m_Popularity;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H
