#ifndef FULMARWINCH_PROXY_REQUEST_RELAY_H
#define FULMARWINCH_PROXY_REQUEST_RELAY_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "proxy/client_connection.h"
#include "proxy/header_names.h"
#include "servers/dispatch/completion_rate.h"
#include "servers/dispatch/overload_admission.h"
#include "servers/dispatch/planned_stop.h"
#include "servers/dispatch/priority_admission.h"
#include "servers/dispatch/server_selector.h"
#include "servers/dispatch/stall_detector.h"
#include "servers/dispatch/waiting_order.h"
#include "servers/replicas/demand_estimator.h"
#include "servers/replicas/fleet_demand.h"
#include "servers/retry/crash_detector.h"
#include "servers/retry/poison_detector.h"
#include "servers/retry/second_attempt_policy.h"
#include "servers/retry/windowed_retry_budget.h"
#include "servers/routes/route_table.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace fulmarwinch {

class RequestRelay;

/// State that all requests of a node share. Used by one thread only.
struct RequestRelayContext {
  RequestRelayContext(asio::io_context &Loop, EventLog &Log,
                      Metrics &NodeMetrics, HeaderNames FieldNames,
                      FleetView &Fleet, ServerSelector &Selector,
                      StallDetector &Stalls)
      : m_Loop(Loop), m_Log(Log), m_Metrics(NodeMetrics),
        m_HeaderNames(std::move(FieldNames)), m_Fleet(Fleet),
        m_Selector(Selector), m_StallDetector(Stalls) {}

  asio::io_context &m_Loop;
  EventLog &m_Log;
  Metrics &m_Metrics;
  HeaderNames m_HeaderNames;
  FleetView &m_Fleet;
  ServerSelector &m_Selector;
  StallDetector &m_StallDetector;
  /// Routes of the current configuration; null until one was read.
  std::shared_ptr<const RouteTable> m_RouteTable;
  /// This node's share of the retry budget, by service.
  std::map<std::string, WindowedRetryBudget> m_RetryBudgets;
  WindowedRetryBudgetSettings m_RetryBudgetSettings;
  SecondAttemptPolicy m_SecondAttempts;
  std::minstd_rand m_Random{std::random_device()()};
  /// Detects requests and prompt parts that crashed three backend servers; they
  /// are not sent again.
  PoisonDetector m_PoisonDetector{poisonSettingsWithoutIsolation()};
  CrashDetector m_CrashDetector{m_PoisonDetector};
  /// Memory that requests, their clients and their responses hold.
  std::shared_ptr<ClientMemory> m_Memory = std::make_shared<ClientMemory>();
  /// Returns what the node lacks to serve a further request, as the cause of
  /// its rejection; empty if nothing.
  std::function<std::string_view()> m_FindShortage = [] {
    return std::string_view();
  };
  /// Returns true if the node can open a connection that it could do without.
  std::function<bool()> m_HasSpareDescriptor = [] { return true; };
  /// Number of second attempts in progress.
  std::size_t m_SecondAttemptCount = 0;
  /// Demand of first attempts and of returning clients, on this node and on all
  /// nodes.
  DemandEstimator m_DemandEstimator;
  DemandEstimator m_ReturningDemandEstimator;
  FleetDemand m_FleetDemand;
  FleetDemand m_ReturningFleetDemand;
  ReturningClients m_ReturningClients;
  ModelPriorities m_ModelPriorities;
  /// Number of groups that the requests in flight on all nodes fill, by model.
  DemandByModel m_BusyGroups;
  FirstEventLatency m_FirstEventLatency;
  CompletionRate m_CompletionRate;
  /// Shares of the requests that are admitted, by loadPoolName(); models and
  /// services without an entry are not overloaded.
  std::map<std::string, AdmissionShares> m_AdmissionShares;
  FullPools m_FullPools;
  PlannedStop m_PlannedStop;
  /// True once this node has sent a request to a service with groups.
  bool m_HasSentToGroup = false;
  /// Called repeatedly while a group seems to have stalled, with its head
  /// server.
  std::function<void(const ChosenServer &)> m_OnGroupStalled;
  /// Called when the connection to a server was lost while a request ran there.
  std::function<void(const ChosenServer &)> m_OnConnectionLost;
  /// Called when only the close of the connection ended a response to a request
  /// with suspected content.
  std::function<void(const ChosenServer &)> m_OnSuspectClosed;
  /// Called when a completed run has ended a quarantine that peers may have
  /// received.
  std::function<void()> m_OnCrashRecordsCleared;
  /// Called when a long prompt is sent, with the ID of the group's head server
  /// and the expected prefill time.
  std::function<void(const std::string &, Duration)> m_OnLongPrompt;
  /// Requests whose response is not complete; owning them here keeps the
  /// objects alive.
  std::set<std::shared_ptr<RequestRelay>> m_ActiveRequests;
};

/// Serves one client request: authenticates and routes it, sends it to backend
/// servers, retries on failure and forwards the response. The object exists
/// until the response is complete.
class RequestRelay : public std::enable_shared_from_this<RequestRelay> {
public:
  RequestRelay(RequestRelayContext &Context,
               std::shared_ptr<ClientConnection> Client, ClientRequest Request);
  ~RequestRelay();
  RequestRelay(const RequestRelay &) = delete;
  RequestRelay &operator=(const RequestRelay &) = delete;

  /// Admits the request and sends the first attempt.
  void start();
  /// Checks the deadline, dispatches a waiting request and detects stalled
  /// streams. Call it every few tens of milliseconds.
  void tick(MonotonicTime Now);
  /// Returns the rank of the request among those that wait for a server;
  /// nothing if it does not wait.
  std::optional<WaitingRank> waitingRank() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_REQUEST_RELAY_H
