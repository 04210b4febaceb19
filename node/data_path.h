#ifndef FULMARWINCH_NODE_DATA_PATH_H
#define FULMARWINCH_NODE_DATA_PATH_H

#include "core/metrics.h"
#include "servers/admission/rate_limiter.h"
#include "servers/admission/slot_holder.h"
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

/// Configuration that the request path uses, replaced as a whole.
struct ConfigurationInForce {
  ConfigurationView::Pointer m_View = ConfigurationView::empty();
  std::set<std::string> m_ZonesOut;
  /// False while the node may miss a change (design 4.4).
  bool m_MayAcceptNewWork = false;
};

/// State that the threads of the request path share. Each part is sharded or
/// has a lock of its own.
class DataPath {
public:
  /// \p Node is the node ID with its incarnation.
  DataPath(const std::string &Node, std::unique_ptr<SelectionStrategy> Strategy,
           Metrics &Figures);

  void setConfiguration(ConfigurationInForce Configuration);
  std::shared_ptr<const ConfigurationInForce> configuration() const;

  /// Chooses a group and counts the attempt there.
  absl::StatusOr<RouteDecision> route(const RouteRequest &Request,
                                      MonotonicTime Now);
  /// Ends an attempt that route() counted.
  void endAttempt(const RouteDecision &Decision,
                  const std::optional<ObservedTimes> &Times);

  RoutingTable &table() { return m_Table; }
  OutlierTracker &outliers() { return m_Outliers; }
  SlotHolder &slots() { return m_Slots; }
  /// Limits tokens per second of each organisation.
  RateLimiter &rateLimiter() { return m_RateLimiter; }
  /// Limits requests per second of each organisation.
  RateLimiter &requestLimiter() { return m_RequestLimiter; }
  Metrics &metrics() { return m_Metrics; }

  /// Returns true if the group still serves with this generation.
  bool isServing(const GroupView &View, MonotonicTime Now) const;

  bool tryRetry(const std::string &Deployment, MonotonicTime Now);
  void onSuccess(const std::string &Deployment);

  /// Runs \p Use with the poison detector under its lock.
  template <typename Function> auto withPoison(Function Use) {
    const std::lock_guard<std::mutex> Guard(m_PoisonMutex);
    return Use(m_Poison);
  }

private:
  Metrics &m_Metrics;
  RoutingTable m_Table;
  OutlierTracker m_Outliers;
  SlotHolder m_Slots;
  NodeAdmissionGate m_Gate;
  Router m_Router;
  RateLimiter m_RateLimiter;
  RateLimiter m_RequestLimiter;
  std::shared_ptr<const ConfigurationInForce> m_Configuration;
  std::mutex m_PoisonMutex;
  PoisonDetector m_Poison;
  std::mutex m_BudgetMutex;
  std::map<std::string, RetryBudget> m_Budgets;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_DATA_PATH_H
