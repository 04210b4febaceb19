#ifndef FULMARWINCH_DRIVERS_STANDIN_ENGINE_HOST_H
#define FULMARWINCH_DRIVERS_STANDIN_ENGINE_HOST_H

#include "drivers/standin/engine_standin.h"

#include <map>
#include <memory>
#include <string>

namespace fulmarwinch {

/// Engine stand-ins of several VMs in one process, each on its own port, and a
/// control port that stays reachable while they are killed.
class EngineHost {
public:
  EngineHost() = default;
  ~EngineHost();
  EngineHost(const EngineHost &) = delete;
  EngineHost &operator=(const EngineHost &) = delete;

  /// Starts the engines of \p Config: {"platform", "control_port",
  /// "defaults":{option:value}, "engines":[{"vm","port",option:value}]}.
  absl::Status start(const Json &Config);
  void stop();

  /// Applies \p Settings to the engine that its "vm" names, or to those in
  /// its "vms", or to all.
  absl::Status control(const Json &Settings);

  /// Returns {"engines":{vm:status}}, of all VMs if \p Vm is empty.
  Json status(const std::string &Vm = "");

private:
  void handle(const HttpExchangePtr &Exchange);

  std::unique_ptr<HttpClient> m_Client = std::make_unique<HttpClient>(1);
  TaskTimer m_Timer;
  std::map<std::string, std::unique_ptr<EngineStandin>> m_Engines;
  HttpServer m_Control;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_HOST_H
