#ifndef FULMARWINCH_PROXY_REQUEST_RELAY_H
#define FULMARWINCH_PROXY_REQUEST_RELAY_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "proxy/client_connection.h"
#include "proxy/request_dialect.h"
#include "servers/dispatch/server_selector.h"
#include "servers/dispatch/stall_detector.h"
#include "servers/replicas/demand_estimator.h"
#include "servers/retry/crash_watch.h"
#include "servers/retry/poison_detector.h"
#include "servers/retry/windowed_retry_budget.h"
#include "servers/routes/route_table.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace fulmarwinch {

class RequestRelay;

/// What all requests of a node share. Used by one thread.
struct RelayContext {
  RelayContext(asio::io_context &Loop, EventLog &Log, Metrics &Figures,
               RequestDialect Dialect, FleetView &Fleet,
               ServerSelector &Selector, StallDetector &Stalls)
      : m_Loop(Loop), m_Log(Log), m_Figures(Figures),
        m_Dialect(std::move(Dialect)), m_Fleet(Fleet), m_Selector(Selector),
        m_Stalls(Stalls) {}

  asio::io_context &m_Loop;
  EventLog &m_Log;
  Metrics &m_Figures;
  RequestDialect m_Dialect;
  FleetView &m_Fleet;
  ServerSelector &m_Selector;
  StallDetector &m_Stalls;
  /// Null until a configuration was read.
  std::shared_ptr<const RouteTable> m_Table;
  /// Repeats of this node by service; its share of the platform's bound.
  std::map<std::string, WindowedRetryBudget> m_Budgets;
  WindowedRetryBudgetSettings m_BudgetSettings;
  std::minstd_rand m_Random{std::random_device()()};
  /// Requests that crashed this many servers are not sent on.
  PoisonDetector m_Poison{{3, std::chrono::minutes(1), 4096}};
  CrashWatch m_Crashes{m_Poison};
  DemandEstimator m_Demand;
  bool m_TrafficSeen = false;
  /// Called while a group led by a server seems to stand still.
  std::function<void(const ChosenServer &)> m_OnStalled;
  /// Called with the head that a long prompt was sent to, and the time that it
  /// takes to read.
  std::function<void(const std::string &, Duration)> m_OnLongPrompt;
  /// Requests whose response has not ended.
  std::set<std::shared_ptr<RequestRelay>> m_Active;
};

/// Serves one request of a client: checks it, sends it to backend servers and
/// passes the response on. Lives until the response has ended.
class RequestRelay : public std::enable_shared_from_this<RequestRelay> {
public:
  RequestRelay(RelayContext &Context, std::shared_ptr<ClientConnection> Client,
               ClientRequest Request);
  ~RequestRelay();
  RequestRelay(const RequestRelay &) = delete;
  RequestRelay &operator=(const RequestRelay &) = delete;

  void start();
  /// Checks time limits and silent streams; called every few ten milliseconds.
  void tick(MonotonicTime Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_REQUEST_RELAY_H
