#ifndef FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H
#define FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H

#include "servers/routing/selection_strategy.h"

namespace fulmarwinch {

/// Rendezvous hash of the prompt prefix with bounded load and hysteresis;
/// otherwise the better of two random candidates.
class AffinityStrategy : public SelectionStrategy {
public:
  explicit AffinityStrategy(const SelectionSettings &Settings);

  std::size_t select(const std::vector<Candidate> &Groups,
                     const RouteRequest &Request,
                     std::mt19937_64 &Random) override;

private:
  bool isWithinBound(const Candidate &Group, double Load, double Mean) const;
  std::size_t betterOfTwo(const std::vector<Candidate> &Groups,
                          std::mt19937_64 &Random) const;

  SelectionSettings m_Settings;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_AFFINITY_STRATEGY_H
