#include "core/log.h"
#include "drivers/standin/engine_standin_host.h"
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
    R"(Stand-ins (test doubles) for the platform, engines and services.

Usage:
  fulmarwinch-standin platform --port N [--config FILE] [--set JSON]
  fulmarwinch-standin engine --port N --vm NAME [--platform ADDRESS] [--control-port N] [--set JSON]
  fulmarwinch-standin engines --config FILE
  fulmarwinch-standin service --port N [--set JSON]
  fulmarwinch-standin --help

Options:
  --port N            Loopback port to listen on.
  --control-port N    Port for control calls; it accepts calls even while the
                      simulated engine is killed.
  --vm NAME           Name of the engine's VM.
  --platform ADDRESS  Platform stand-in that provides the model weights, as
                      host:port.
  --config FILE       Settings as a JSON file.
  --set JSON          Settings as JSON, in the format of POST /control; they
                      override those of --config.
  --help              Prints this text and exits.
)";

using ArgumentMap = std::map<std::string, docopt::value>;

constexpr int ExitUsage = 2;

/// Merges the settings of --config and --set; --set has priority.
absl::StatusOr<Json> readSettings(ArgumentMap Arguments) {
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

/// Blocks until the process receives SIGTERM or SIGINT. main() blocks both
/// before any thread starts, so that only sigwait() receives them.
void waitForSignal(const sigset_t &StopSignals) {
  int ReceivedSignal = 0;
  sigwait(&StopSignals, &ReceivedSignal);
}

/// Prints a start error and returns 1, or waits for a stop signal and returns
/// 0.
int waitUntilStopped(const absl::Status &Started, const sigset_t &StopSignals) {
  if (!Started.ok()) {
    std::cerr << Started.message() << '\n';
    return 1;
  }
  logLine(LogLevel::Info, "standin", "ready");
  waitForSignal(StopSignals);
  return 0;
}

int runStandin(ArgumentMap Arguments, const Json &Settings,
               const sigset_t &StopSignals) {
  const auto Port = static_cast<std::uint16_t>(
      Arguments["--port"] ? Arguments["--port"].asLong() : 0);
  if (Arguments["platform"].asBool()) {
    PlatformStandin Platform(Settings);
    return waitUntilStopped(Platform.start(Port), StopSignals);
  }
  if (Arguments["service"].asBool()) {
    ServiceStandin Service(Settings);
    return waitUntilStopped(Service.start(Port), StopSignals);
  }
  EngineStandinHost Host;
  if (Arguments["engines"].asBool())
    return waitUntilStopped(Host.start(Settings), StopSignals);
  Json Engine = Settings;
  Engine["vm"] = Arguments["--vm"].asString();
  Engine["port"] = Port;
  if (Arguments["--platform"])
    Engine["platform"] = Arguments["--platform"].asString();
  Json HostSettings = {{"engines", Json::array({Engine})}};
  if (Arguments["--control-port"])
    HostSettings["control_port"] = Arguments["--control-port"].asLong();
  return waitUntilStopped(Host.start(HostSettings), StopSignals);
}

} // namespace

} // namespace fulmarwinch

int main(int ArgumentCount, char **ArgumentValues) {
  using namespace fulmarwinch;
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  configureLogging(LogLevel::Info);
  ArgumentMap Arguments;
  try {
    Arguments = docopt::docopt_parse(
        Usage, {ArgumentValues + 1, ArgumentValues + ArgumentCount}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n' << Usage;
    return ExitUsage;
  }
  const absl::StatusOr<Json> Settings = readSettings(Arguments);
  if (!Settings.ok()) {
    std::cerr << Settings.status().message() << '\n';
    return ExitUsage;
  }
  try {
    return runStandin(Arguments, *Settings, StopSignals);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return ExitUsage;
  }
}
