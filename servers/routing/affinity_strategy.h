#ifndef FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H
#define FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H

#include "servers/routing/prefix_popularity.h"
#include "servers/routing/selection_strategy.h"

namespace fulmarwinch {

/// Keeps a prompt prefix on few groups, so that their prefix cache is used. A
/// prefix has more groups the more requests it gets, and its requests are
/// spread over them at random in favour of the less loaded ones.
class AffinityStrategy : public SelectionStrategy {
public:
  explicit AffinityStrategy(const SelectionSettings &Settings);
  std::size_t select(const std::vector<Candidate> &Groups,
                     const RouteRequest &Request,
                     std::mt19937_64 &Random) override;

private:
  /// Groups in the order of the prefix, with their expected loads.
  struct Ranked {
    std::uint64_t m_Rank = 0;
    std::size_t m_Index = 0;
    double m_Load = 0;
  };

  std::vector<Ranked> rank(const std::vector<Candidate> &Groups,
                           std::uint64_t Prefix) const;
  /// Number of groups in the order of the prefix that may be chosen.
  std::size_t holdersOf(std::vector<Ranked> &Order, double Share) const;
  std::size_t chooseByRoom(const std::vector<Ranked> &Order, std::size_t Count,
                           std::mt19937_64 &Random) const;
  std::size_t betterOfTwo(const std::vector<Candidate> &Groups,
                          std::mt19937_64 &Random) const;

  SelectionSettings m_Settings;
  PrefixPopularity m_Popularity;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H
