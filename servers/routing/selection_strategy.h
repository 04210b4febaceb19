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
  double m_LoadBound = 1.25;
  double m_ReturnBound = 1.1;
  /// Up to this load a group has no queue, so another group would only lose
  /// the prefix cache.
  double m_QuietLoad = 0.5;
  /// Groups that are tried in the order of the prefix hash.
  std::size_t m_OrderLength = 8;
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
