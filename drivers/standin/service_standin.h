#ifndef FULMARWINCH_DRIVERS_STANDIN_SERVICE_STANDIN_H
#define FULMARWINCH_DRIVERS_STANDIN_SERVICE_STANDIN_H

#include "core/json.h"
#include "drivers/http/http_server.h"
#include "drivers/standin/task_timer.h"

#include <map>
#include <mutex>
#include <random>
#include <string>

namespace fulmarwinch {

/// Stand-in for an ordinary HTTP service with a non-idempotent call, `POST
/// /payouts`. It ignores the idempotency key on purpose and executes a repeated
/// request again, so that its counters show every duplicate execution.
class ServiceStandin {
public:
  explicit ServiceStandin(const Json &Settings);
  ~ServiceStandin();
  ServiceStandin(const ServiceStandin &) = delete;
  ServiceStandin &operator=(const ServiceStandin &) = delete;

  /// Listens on \p Port of 127.0.0.1; returns an error if that fails.
  absl::Status start(std::uint16_t Port);
  void stop();
  /// Changes the settings that \p Settings names; ignores unknown names.
  void control(const Json &Settings);
  /// Returns the settings and the counters.
  Json status();

private:
  void handle(const HttpExchangePtr &Exchange);
  void handleControl(const HttpExchangePtr &Exchange);
  HttpResponse executePayout(const std::string &Key);
  bool drawFault(const char *Setting);

  std::mutex m_Mutex;
  Json m_Settings;
  std::mt19937_64 m_Random;
  std::uint64_t m_PayoutRequests = 0;
  std::uint64_t m_LookupRequests = 0;
  std::map<std::string, std::uint64_t> m_ExecutionsByKey;
  TaskTimer m_Timer;
  HttpServer m_Server;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_SERVICE_STANDIN_H
