#ifndef FULMARWINCH_SERVERS_ROUTING_SELECTION_STRATEGY_H
#define FULMARWINCH_SERVERS_ROUTING_SELECTION_STRATEGY_H

#include "servers/routing/group_view.h"
#include "servers/routing/route_request.h"

#include "absl/status/statusor.h"

#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Figures that strategies use. The values are measured ones
/// (docs/decisions/routing.md).
struct SelectionSettings {
  /// Nodes that use the same groups.
  std::size_t m_Sharers = 1;
  /// Load of one prefix that one group takes, as a share of its capacity.
  double m_PrefixLoad = 0.2;
  /// Holders of a prefix are not passed over up to this multiple of the mean
  /// load, nor up to m_QuietLoad, where a group has no queue and another group
  /// would only lose the prefix cache.
  double m_LoadBound = 1.5;
  double m_QuietLoad = 0.5;
  /// Above this load the wait for a place is longer than reading the prefix.
  double m_SpillLoad = 1.3;
  /// Further groups in the order of the prefix that are used when no holder
  /// is within the bounds. With more, each prefix displaces others from the
  /// caches when the fleet is nearly full, and throughput collapses.
  std::size_t m_SpillGroups = 2;
  /// Load from which on a holder is chosen rarely.
  double m_FullLoad = 1.2;
  /// Dispatches of each other node since the report, as a multiple of the own
  /// ones.
  double m_OthersFactor = 0.3;
};

/// Chooses one of the candidates that passed the filters.
class SelectionStrategy {
public:
  virtual ~SelectionStrategy() = default;
  /// Returns an index into \p Groups, which is not empty.
  virtual std::size_t select(const std::vector<Candidate> &Groups,
                             const RouteRequest &Request,
                             std::mt19937_64 &Random) = 0;
};

/// Names that makeStrategy() knows.
std::vector<std::string_view> strategyNames();

/// Returns the strategy that is called \p Name.
absl::StatusOr<std::unique_ptr<SelectionStrategy>>
makeStrategy(std::string_view Name, const SelectionSettings &Settings);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_SELECTION_STRATEGY_H
