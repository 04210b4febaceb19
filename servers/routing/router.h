#ifndef FULMARWINCH_SERVERS_ROUTING_ROUTER_H
#define FULMARWINCH_SERVERS_ROUTING_ROUTER_H

#include "servers/routing/candidate_filter.h"
#include "servers/routing/routing_table.h"
#include "servers/routing/selection_strategy.h"

namespace fulmarwinch {

/// Group that the router chose for a request.
struct RouteDecision {
  std::shared_ptr<const GroupView> m_View;
  /// The group is cold, and the attempt occupies one of its slots.
  bool m_UsesSlot = false;
};

/// Chooses the group for a request and counts the request as in flight there.
/// Safe for use by several threads if each passes its own random generator.
class Router {
public:
  Router(RoutingTable &Table, OutlierTracker &Outliers, AdmissionGate &Gate,
         std::unique_ptr<SelectionStrategy> Strategy);

  /// Returns the chosen group, or an error whose message lists how many groups
  /// were rejected for which reason. When the attempt has ended, the caller
  /// must call NodeAdmissionGate::endAttempt() and report success or failure to
  /// the outlier tracker.
  absl::StatusOr<RouteDecision>
  route(const RouteRequest &Request,
        const std::set<std::string> &ZonesOutOfService, MonotonicTime Now,
        std::mt19937_64 &Random);

private:
  using RejectionCounts = std::array<std::size_t, RejectionReasonNames.size()>;

  /// Returns the groups of the deployment that pass all filters, and counts the
  /// rejected ones by reason.
  std::vector<Candidate> filter(const RouteRequest &Request,
                                const RouteContext &Context,
                                RejectionCounts &Rejected) const;
  /// Returns the error for a request that no group can serve.
  static absl::Status refusalFor(const RouteRequest &Request,
                                 const RejectionCounts &Rejected);
  static absl::Status refusalStatus(const RejectionCounts &Rejected,
                                    const std::string &Problem);

  RoutingTable &m_Table;
  OutlierTracker &m_Outliers;
  AdmissionGate &m_Gate;
  std::unique_ptr<SelectionStrategy> m_Strategy;
  std::vector<CandidateFilter> m_Filters;
};

/// Returns true if \p Refusal, an error from Router::route(), is at least
/// partly due to the demands of the request or to groups on which it failed
/// before. Other requests for the deployment may then still be served.
bool dependsOnRequest(const absl::Status &Refusal);

/// Lowers the weight of stragglers, groups whose time per token is far above
/// the median of all groups, so that they get fewer requests.
void lowerStragglerWeights(std::vector<Candidate> &Groups);

/// Returns the \p Count groups that \p Node uses: those with the highest
/// rendezvous weight for it. Returns all if there are fewer.
std::vector<std::string>
chooseGroupSubset(const std::string &Node,
                  const std::vector<std::string> &Groups, std::size_t Count);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ROUTER_H
