#ifndef FULMARWINCH_DRIVERS_STANDIN_ENGINE_STANDIN_HOST_H
#define FULMARWINCH_DRIVERS_STANDIN_ENGINE_STANDIN_HOST_H

#include "drivers/standin/engine_standin.h"

#include <map>
#include <memory>
#include <string>

namespace fulmarwinch {

/// Runs the engine stand-ins of several VMs in one process, each on its own
/// port, and a control port that stays reachable while engines are stopped.
class EngineStandinHost {
public:
  EngineStandinHost() = default;
  ~EngineStandinHost();
  EngineStandinHost(const EngineStandinHost &) = delete;
  EngineStandinHost &operator=(const EngineStandinHost &) = delete;

  /// Starts the engines of \p Config and the control port, if one is set. Form:
  /// {"platform", "control_port", "defaults":{option:value},
  /// "engines":[{"vm","port",option:value}]}.
  absl::Status start(const Json &Config);

  /// Stops the control port and all engines.
  void stop();

  /// Applies \p Settings to the engines of the VMs named by its members "vm"
  /// and "vms", or to all engines if it names none. Returns NotFound for an
  /// unknown VM.
  absl::Status control(const Json &Settings);

  /// Returns {"engines":{vm:status}} for \p Vm, or for all VMs if it is empty.
  Json status(const std::string &Vm = "");

private:
  void handle(const HttpExchangePtr &Exchange);

  std::unique_ptr<HttpClient> m_Client = std::make_unique<HttpClient>(1);
  TaskTimer m_Timer;
  std::map<std::string, std::unique_ptr<EngineStandin>> m_Engines;
  HttpServer m_ControlServer;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_STANDIN_HOST_H
