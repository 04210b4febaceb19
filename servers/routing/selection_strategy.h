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

/// Settings of the selection strategies; docs/decisions/routing.md gives the
/// reasons for the values. Loads are in multiples of a group's capacity.
struct SelectionSettings {
  /// Number of nodes that dispatch to the same groups.
  std::size_t m_NodesPerGroup = 1;
  /// Load that requests with one prefix may cause on one group. A prefix with
  /// more load is spread over more groups.
  double m_MaxLoadPerPrefix = 0.2;
  /// A group that has a prefix cached is used up to this multiple of the mean
  /// load of all groups, even if others are less loaded.
  double m_MaxLoadOverMean = 1.5;
  /// Up to this load a group that has the prefix cached is always used: it has
  /// no queue, and another group would only miss the prefix cache.
  double m_QueueFreeLoad = 0.5;
  /// Above this load the wait in the group's queue takes longer than the
  /// prefill of the prefix on another group, so other groups are used too.
  double m_SpilloverLoad = 1.3;
  /// Number of additional groups that may be used when all groups of a prefix
  /// exceed the limits above. With more, each prefix evicts others from the
  /// caches when the fleet is nearly full, and throughput falls sharply.
  std::size_t m_SpilloverGroups = 2;
  /// A group at or above this load is chosen only rarely.
  double m_SaturationLoad = 1.2;
  /// Dispatches of each other node since the load report, as a multiple of the
  /// dispatches of this node.
  double m_OtherNodeFactor = 0.3;
};

/// Chooses one of the candidates that passed the filters. Safe for use by
/// several threads.
class SelectionStrategy {
public:
  virtual ~SelectionStrategy() = default;
  /// Returns an index into \p Groups, which is not empty.
  virtual std::size_t select(const std::vector<Candidate> &Groups,
                             const RouteRequest &Request,
                             std::mt19937_64 &Random) = 0;
};

/// Returns the names that makeStrategy() accepts.
std::vector<std::string_view> strategyNames();

/// Returns a new strategy, or an InvalidArgument error for an unknown \p Name.
absl::StatusOr<std::unique_ptr<SelectionStrategy>>
makeStrategy(std::string_view Name, const SelectionSettings &Settings);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_SELECTION_STRATEGY_H
