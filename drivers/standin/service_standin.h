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

/// Stand-in for a plain service with a non-idempotent call. It executes a
/// repeated key again on purpose, so that its counts show every execution.
class ServiceStandin {
public:
  explicit ServiceStandin(const Json &Settings);
  ~ServiceStandin();
  ServiceStandin(const ServiceStandin &) = delete;
  ServiceStandin &operator=(const ServiceStandin &) = delete;

  absl::Status start(std::uint16_t Port);
  void stop();
  void control(const Json &Settings);
  Json status();

private:
  void handle(const HttpExchangePtr &Exchange);
  void handleControl(const HttpExchangePtr &Exchange);
  HttpResponse execute(const std::string &Key);
  bool happens(const char *Setting);

  std::mutex m_Mutex;
  Json m_Settings;
  std::mt19937_64 m_Random;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Lookups = 0;
  std::map<std::string, std::uint64_t> m_Executions;
  TaskTimer m_Timer;
  HttpServer m_Server;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_SERVICE_STANDIN_H
