#include "core/log.h"
#include "drivers/standin/engine_host.h"
#include "drivers/standin/platform_standin.h"
#include "drivers/standin/service_standin.h"

#include "docopt/docopt.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace fulmarwinch {

namespace {

constexpr const char *Usage =
    R"(Stand-ins for the platform, engines and services.

Usage:
  fulmarwinch-standin platform --port N [--config FILE] [--set JSON]
  fulmarwinch-standin engine --port N --vm NAME [--platform ADDRESS] [--control-port N] [--set JSON]
  fulmarwinch-standin engines --config FILE
  fulmarwinch-standin service --port N [--set JSON]
  fulmarwinch-standin --help

Options:
  --port N            Loopback port to listen on.
  --control-port N    Port for control calls that stays reachable when the
                      engine is killed.
  --vm NAME           Name of the engine's VM.
  --platform ADDRESS  Platform stand-in that serves the weights, as host:port.
  --config FILE       Settings as a JSON file.
  --set JSON          Settings as JSON, in the form that POST /control takes.
  --help              Shows this text.
)";
using CommandLine = std::map<std::string, docopt::value>;

constexpr int UsageExitCode = 2;

absl::StatusOr<Json> readSettings(CommandLine Arguments) {
  Json Settings = Json::object();
  if (Arguments["--config"]) {
    std::ifstream File(Arguments["--config"].asString());
    std::ostringstream Text;
    Text << File.rdbuf();
    absl::StatusOr<Json> Parsed =
        parseJson(Text.str(), Arguments["--config"].asString());
    if (!Parsed.ok())
      return Parsed;
    Settings = *std::move(Parsed);
  }
  if (Arguments["--set"]) {
    const absl::StatusOr<Json> Parsed =
        parseJson(Arguments["--set"].asString(), "the value of --set");
    if (!Parsed.ok())
      return Parsed;
    Settings.update(*Parsed);
  }
  return Settings;
}

/// Waits for SIGTERM or SIGINT, which all threads have blocked.
void waitForSignal(const sigset_t &Signals) {
  int Received = 0;
  sigwait(&Signals, &Received);
}

int report(const absl::Status &Started, const sigset_t &Signals) {
  if (!Started.ok()) {
    std::cerr << Started.message() << '\n';
    return 1;
  }
  logLine(LogLevel::Info, "standin", "ready");
  waitForSignal(Signals);
  return 0;
}

int run(CommandLine Arguments, const Json &Settings, const sigset_t &Signals) {
  const auto Port = static_cast<std::uint16_t>(
      Arguments["--port"] ? Arguments["--port"].asLong() : 0);
  if (Arguments["platform"].asBool()) {
    PlatformStandin Platform(Settings);
    return report(Platform.start(Port), Signals);
  }
  if (Arguments["service"].asBool()) {
    ServiceStandin Service(Settings);
    return report(Service.start(Port), Signals);
  }
  EngineHost Host;
  if (Arguments["engines"].asBool())
    return report(Host.start(Settings), Signals);
  Json Engine = Settings;
  Engine["vm"] = Arguments["--vm"].asString();
  Engine["port"] = Port;
  if (Arguments["--platform"])
    Engine["platform"] = Arguments["--platform"].asString();
  Json Config = {{"engines", Json::array({Engine})}};
  if (Arguments["--control-port"])
    Config["control_port"] = Arguments["--control-port"].asLong();
  return report(Host.start(Config), Signals);
}

} // namespace

} // namespace fulmarwinch

int main(int Count, char **Values) {
  using namespace fulmarwinch;
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  configureLogging(LogLevel::Info);
  CommandLine Arguments;
  try {
    Arguments = docopt::docopt_parse(Usage, {Values + 1, Values + Count}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n' << Usage;
    return UsageExitCode;
  }
  const absl::StatusOr<Json> Settings = readSettings(Arguments);
  if (!Settings.ok()) {
    std::cerr << Settings.status().message() << '\n';
    return UsageExitCode;
  }
  try {
    return run(Arguments, *Settings, Signals);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return UsageExitCode;
  }
}
