#include "drivers/standin/engine_standin_host.h"
#include "core/error.h"

#include <vector>

namespace fulmarwinch {

EngineStandinHost::~EngineStandinHost() { stop(); }

absl::Status EngineStandinHost::start(const Json &Config) {
  EngineOptions Defaults;
  Defaults.update(Config);
  Defaults.update(fieldOr(Config, "defaults", Json::object()));
  for (const Json &Settings : fieldOr(Config, "engines", Json::array())) {
    EngineOptions Options = Defaults;
    Options.update(Settings);
    if (Options.m_Vm.empty() || Options.m_Port == 0)
      return makeError(ErrorKind::InvalidArgument,
                       "an entry of engines has no vm or no port", "set both");
    auto Engine = std::make_unique<EngineStandin>(Options, m_Timer, *m_Client);
    const absl::Status Started = Engine->start();
    if (!Started.ok())
      return Started;
    m_Engines[Options.m_Vm] = std::move(Engine);
  }
  HttpServerOptions Options;
  Options.m_Port = fieldOr(Config, "control_port", std::uint16_t{0});
  Options.m_Threads = 1;
  if (Options.m_Port == 0)
    return absl::OkStatus();
  return m_ControlServer.start(
      Options, [this](const HttpExchangePtr &Exchange) { handle(Exchange); });
}

void EngineStandinHost::stop() {
  m_ControlServer.stop();
  for (const auto &[Vm, Engine] : m_Engines)
    Engine->stop();
  m_Timer.stop();
  // Before the timer stopped, one of its tasks may have restarted a crashed
  // engine that the first loop had stopped.
  for (const auto &[Vm, Engine] : m_Engines)
    Engine->stop();
  m_Client.reset();
}

absl::Status EngineStandinHost::control(const Json &Settings) {
  auto Vms = fieldOr(Settings, "vms", std::vector<std::string>());
  const std::string SingleVm = fieldOr(Settings, "vm", std::string());
  if (!SingleVm.empty())
    Vms.push_back(SingleVm);
  if (Vms.empty())
    for (const auto &[Vm, Engine] : m_Engines)
      Vms.push_back(Vm);
  Json EngineSettings = Settings;
  EngineSettings.erase("vm");
  EngineSettings.erase("vms");
  EngineSettings.erase("port");
  for (const std::string &Vm : Vms) {
    const auto Found = m_Engines.find(Vm);
    if (Found == m_Engines.end())
      return makeError(ErrorKind::NotFound,
                       "no engine stand-in runs for VM " + Vm,
                       "name a VM listed under engines in the configuration");
    const absl::Status Applied = Found->second->control(EngineSettings);
    if (!Applied.ok())
      return Applied;
  }
  return absl::OkStatus();
}

Json EngineStandinHost::status(const std::string &Vm) {
  Json Engines = Json::object();
  for (const auto &[Name, Engine] : m_Engines)
    if (Vm.empty() || Vm == Name)
      Engines[Name] = Engine->status();
  return {{"engines", Engines}};
}

void EngineStandinHost::handle(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Method == "POST") {
    const absl::StatusOr<Json> Body =
        parseJson(Request.m_Body, "the control request");
    const absl::Status Applied = Body.ok() ? control(*Body) : Body.status();
    if (!Applied.ok()) {
      const Json Error = {{"error", std::string(Applied.message())}};
      return Exchange->respond(
          jsonResponse(httpStatus(errorKind(Applied)), Error.dump()));
    }
  }
  Exchange->respond(jsonResponse(
      200, status(queryParameter(Request, "vm").value_or("")).dump()));
}

} // namespace fulmarwinch
