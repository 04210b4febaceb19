#ifndef FULMARWINCH_NODE_GATEWAY_H
#define FULMARWINCH_NODE_GATEWAY_H

#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "node/chat_relay.h"
#include "node/claim_service.h"
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

/// Serves clients: checks each request in a fixed order of filters and hands
/// it to the relay for its kind.
class Gateway {
public:
  Gateway(const NodeSettings &Settings, DataPath &Path, HttpClient &Client,
          ClaimService &Claims);

  absl::Status start();
  /// See HttpServer::stop().
  void stop(const std::function<void()> &Release);
  /// Drops the requests that wait, unanswered.
  void dropWaiting() { m_Queue.clear(); }

  /// To be called every few milliseconds: moves streams away from groups that
  /// no longer serve and dispatches requests that wait.
  void tick(MonotonicTime Now);

  /// New work is refused as not run from now on.
  void beginShutdown() { m_IsClosed = true; }
  /// Requests that were accepted and are not answered yet.
  std::size_t inProgress() const { return m_InProgress; }
  std::size_t waiting() const { return m_Queue.size(); }

private:
  /// What the filters learn about a request.
  struct Context {
    HttpExchangePtr m_Exchange;
    std::string m_RequestId;
    MonotonicTime m_ArrivedAt{};
    std::shared_ptr<const ConfigurationInForce> m_Configuration;
    Organisation m_Organisation;
    Priority m_Priority = Priority::Normal;
    std::optional<MonotonicTime> m_Deadline;
    Duration m_RetryAfter{0};
  };
  using Filter = absl::Status (Gateway::*)(Context &);
  using Handler = absl::Status (Gateway::*)(Context &);

  struct Route {
    const char *m_Method;
    const char *m_Path;
    bool m_IsPrefix;
    Handler m_Handler;
  };

  void handle(HttpExchangePtr Exchange);
  absl::Status process(Context &Request);

  absl::Status checkOpen(Context &Request);
  absl::Status authenticate(Context &Request);
  absl::Status readPriority(Context &Request);
  absl::Status readDeadline(Context &Request);

  absl::Status handleModels(Context &Request);
  absl::Status handleCompletion(Context &Request);
  absl::Status handleService(Context &Request);

  absl::Status takeRequest(Context &Request);
  absl::Status takeTokens(Context &Request, double CostTokens);
  static absl::Status take(Context &Request, RateLimiter &Limiter, double Limit,
                           double Cost, std::string_view Unit);
  void submit(Context &Request, ChatRequest Chat);
  std::string newRequestId();

  static const std::array<Filter, 5> Filters;
  static const std::array<Route, 4> Routes;

  const NodeSettings &m_Settings;
  DataPath &m_Path;
  HttpClient &m_Client;
  ClaimService &m_Claims;
  DispatchQueue m_Queue;
  HttpServer m_Server;
  RelayLimits m_Limits;
  std::atomic<bool> m_IsClosed{false};
  std::atomic<std::size_t> m_InProgress{0};
  std::atomic<std::uint64_t> m_NextRequest{1};
  std::string m_RequestPrefix;

  std::mutex m_RelaysMutex;
  std::list<std::weak_ptr<ChatRelay>> m_Relays;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_GATEWAY_H
