#ifndef FULMARWINCH_NODE_DATA_PATH_H
#define FULMARWINCH_NODE_DATA_PATH_H

#include "core/metrics.h"
#include "servers/admission/node_slots.h"
#include "servers/admission/rate_limiter.h"
#include "servers/configuration/configuration_view.h"
#include "servers/retry/poison_detector.h"
#include "servers/retry/retry_budget.h"
#include "servers/routing/node_admission_gate.h"
#include "servers/routing/outlier_tracker.h"
#include "servers/routing/router.h"
#include "servers/routing/routing_table.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace fulmarwinch {

/// Configuration that the request path uses. It is immutable; each change
/// replaces the whole object.
struct ActiveConfiguration {
  ConfigurationView::Pointer m_View = ConfigurationView::makeEmpty();
  std::set<std::string> m_ZonesOutOfService;
  /// False while the node may be missing a configuration change
  /// (docs/design.md, section 4.4).
  bool m_MayAcceptNewWork = false;
};

/// State shared by the threads of the request path. Each component is sharded
/// or has its own lock.
class DataPath {
public:
  /// \p NodeIncarnation is the node ID with its incarnation.
  DataPath(const std::string &NodeIncarnation,
           std::unique_ptr<SelectionStrategy> Strategy, Metrics &NodeMetrics);

  void setConfiguration(ActiveConfiguration Configuration);
  std::shared_ptr<const ActiveConfiguration> configuration() const;

  /// Chooses a group for \p Request and counts the attempt as in flight there
  /// until endAttempt(). Returns an error if no group can serve the request.
  absl::StatusOr<RouteDecision> route(const RouteRequest &Request,
                                      MonotonicTime Now);
  /// Ends an attempt that route() counted as in flight. \p Times are the
  /// response times that were observed, if any.
  void endAttempt(const RouteDecision &Decision,
                  const std::optional<ObservedTimes> &Times);

  RoutingTable &routingTable() { return m_RoutingTable; }
  OutlierTracker &outlierTracker() { return m_OutlierTracker; }
  /// Slots for requests to cold groups that the shard holders granted to this
  /// node.
  NodeSlots &nodeSlots() { return m_NodeSlots; }
  /// Rate limiter for the tokens per second of each organisation.
  RateLimiter &tokenRateLimiter() { return m_TokenRateLimiter; }
  /// Rate limiter for the requests per second of each organisation.
  RateLimiter &requestRateLimiter() { return m_RequestRateLimiter; }
  Metrics &metrics() { return m_Metrics; }

  /// Returns true if the group of \p View still serves in the same generation
  /// and its view has not expired.
  bool isServing(const GroupView &View, MonotonicTime Now) const;

  /// Consumes one retry of the retry budget \p BudgetKey, the name of a
  /// deployment or "service/" and the name of a service. Returns false if none
  /// is left.
  bool tryAcquireRetry(const std::string &BudgetKey, MonotonicTime Now);
  /// Credits a successful request to the retry budget \p BudgetKey.
  void recordSuccess(const std::string &BudgetKey);

  /// Calls \p Use with the poison detector while its lock is held, and returns
  /// the result.
  template <typename Function> auto withPoisonDetector(Function Use) {
    const std::lock_guard<std::mutex> Guard(m_PoisonDetectorMutex);
    return Use(m_PoisonDetector);
  }

private:
  Metrics &m_Metrics;
  RoutingTable m_RoutingTable;
  OutlierTracker m_OutlierTracker;
  NodeSlots m_NodeSlots;
  NodeAdmissionGate m_AdmissionGate;
  Router m_Router;
  RateLimiter m_TokenRateLimiter;
  RateLimiter m_RequestRateLimiter;
  std::shared_ptr<const ActiveConfiguration> m_Configuration;
  std::mutex m_PoisonDetectorMutex;
  PoisonDetector m_PoisonDetector;
  std::mutex m_RetryBudgetMutex;
  std::map<std::string, RetryBudget> m_RetryBudgets;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_DATA_PATH_H
