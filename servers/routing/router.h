#ifndef FULMARWINCH_SERVERS_ROUTING_ROUTER_H
#define FULMARWINCH_SERVERS_ROUTING_ROUTER_H

#include "servers/routing/candidate_filter.h"
#include "servers/routing/routing_table.h"
#include "servers/routing/selection_strategy.h"

namespace fulmarwinch {

/// Where a request goes.
struct RouteDecision {
  std::shared_ptr<const GroupView> m_View;
  /// The attempt holds a slot of a cold group.
  bool m_UsesSlot = false;
};

/// Chooses the group for a request and counts the request there. Safe for use
/// by several threads if each brings its own random numbers.
class Router {
public:
  Router(RoutingTable &Table, OutlierTracker &Outliers, AdmissionGate &Gate,
         std::unique_ptr<SelectionStrategy> Strategy);

  /// Returns the group, or a refusal whose message counts the reasons. After
  /// a decision the caller ends the attempt at the gate and reports success
  /// or failure to the outlier tracker.
  absl::StatusOr<RouteDecision> route(const RouteRequest &Request,
                                      const std::set<std::string> &ZonesOut,
                                      MonotonicTime Now,
                                      std::mt19937_64 &Random);

private:
  using ReasonCounts = std::array<std::size_t, RemovalReasonNames.size()>;

  std::vector<Candidate> filter(const RouteRequest &Request,
                                const RouteContext &Context,
                                ReasonCounts &Removed) const;
  static absl::Status refuse(const RouteRequest &Request,
                             const ReasonCounts &Removed);
  static absl::Status refusalOf(const ReasonCounts &Removed,
                                const std::string &Problem);

  RoutingTable &m_Table;
  OutlierTracker &m_Outliers;
  AdmissionGate &m_Gate;
  std::unique_ptr<SelectionStrategy> m_Strategy;
  std::vector<CandidateFilter> m_Filters;
};

/// Returns true if \p Refusal, a result of Router::route(), is at least partly
/// due to what the request demands or where it failed, so that other requests
/// of the deployment may still be served.
bool dependsOnRequest(const absl::Status &Refusal);

/// Sets the weight of groups whose time per token is far above the median of
/// their peers, so that stragglers get less work.
void weighStragglers(std::vector<Candidate> &Groups);

/// Returns the \p Count groups of \p Groups that come first in the rendezvous
/// order of \p Node.
std::vector<std::string> chooseSubset(const std::string &Node,
                                      const std::vector<std::string> &Groups,
                                      std::size_t Count);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ROUTER_H
