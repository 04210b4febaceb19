#ifndef FULMARWINCH_NODE_GATEWAY_H
#define FULMARWINCH_NODE_GATEWAY_H

#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "node/claim_service.h"
#include "node/completion_relay.h"
#include "node/data_path.h"
#include "node/dispatch_queue.h"
#include "node/node_settings.h"

#include <array>
#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace fulmarwinch {

/// Serves the client endpoint: passes each request through a fixed sequence of
/// filters and then to the relay for its path.
class Gateway {
public:
  Gateway(const NodeSettings &Settings, DataPath &Path, HttpClient &Client,
          ClaimService &Claims);

  absl::Status start();
  /// Stops the HTTP server; \p Release is described at HttpServer::stop().
  void stop(const std::function<void()> &Release);
  /// Removes the waiting requests without answering them.
  void discardWaitingRequests() { m_Queue.clear(); }

  /// Moves streams away from groups that no longer serve and dispatches waiting
  /// requests. Must be called every few milliseconds.
  void tick(MonotonicTime Now);

  /// Refuses all further requests with the outcome not run.
  void beginShutdown() { m_IsShuttingDown = true; }
  /// Number of accepted requests that have not been answered.
  std::size_t inProgressCount() const { return m_InProgressCount; }
  /// Number of requests that wait in the dispatch queue.
  std::size_t queueDepth() const { return m_Queue.size(); }

private:
  /// Request with the values that the filters determine.
  struct RequestContext {
    HttpExchangePtr m_Exchange;
    std::string m_RequestId;
    MonotonicTime m_ArrivedAt{};
    std::shared_ptr<const ActiveConfiguration> m_Configuration;
    Organisation m_Organisation;
    Priority m_Priority = Priority::Normal;
    std::optional<MonotonicTime> m_Deadline;
    Duration m_RetryAfter{0};
  };
  using Filter = absl::Status (Gateway::*)(RequestContext &);
  using Handler = absl::Status (Gateway::*)(RequestContext &);

  struct Route {
    const char *m_Method;
    const char *m_Path;
    bool m_IsPrefix;
    Handler m_Handler;
  };

  void handle(HttpExchangePtr Exchange);
  /// Applies all filters and calls the handler of the route; returns the first
  /// error.
  absl::Status filterAndRoute(RequestContext &Request);

  absl::Status checkAcceptsRequests(RequestContext &Request);
  absl::Status authenticate(RequestContext &Request);
  absl::Status readPriority(RequestContext &Request);
  absl::Status readDeadline(RequestContext &Request);

  absl::Status handleModels(RequestContext &Request);
  absl::Status handleCompletion(RequestContext &Request);
  absl::Status handleService(RequestContext &Request);

  absl::Status limitRequestRate(RequestContext &Request);
  absl::Status limitTokenRate(RequestContext &Request, double CostTokens);
  /// Consumes \p Cost from the organisation's limit; returns LimitExceeded if
  /// it is exhausted. \p Limit is per second, 0 for unlimited.
  static absl::Status applyRateLimit(RequestContext &Request,
                                     RateLimiter &Limiter, double Limit,
                                     double Cost, std::string_view Unit);
  void submit(RequestContext &Request, AdmittedCompletion Completion);
  std::string makeRequestId();

  static const std::array<Filter, 5> Filters;
  static const std::array<Route, 4> Routes;

  const NodeSettings &m_Settings;
  DataPath &m_DataPath;
  HttpClient &m_Client;
  ClaimService &m_Claims;
  DispatchQueue m_Queue;
  const std::shared_ptr<ClientMemory> m_Memory =
      std::make_shared<ClientMemory>();
  HttpServer m_Server;
  RelayLimits m_Limits;
  std::atomic<bool> m_IsShuttingDown{false};
  std::atomic<std::size_t> m_InProgressCount{0};
  std::atomic<std::uint64_t> m_NextRequestNumber{1};
  std::string m_RequestIdPrefix;

  std::mutex m_RelaysMutex;
  std::list<std::weak_ptr<CompletionRelay>> m_Relays;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_GATEWAY_H
