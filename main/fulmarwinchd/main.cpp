#include "core/log.h"
#include "node/node.h"

#include "docopt/docopt.h"

#include <csignal>
#include <iostream>

namespace {

constexpr const char *Usage = R"(Serving node of fulmarwinch.

Usage:
  fulmarwinchd --config FILE [--check]
  fulmarwinchd --version
  fulmarwinchd --help

Options:
  --config FILE  Settings as a JSON file, see docs/operators/settings.md.
  --check        Checks the settings and exits.
  --version      Prints the version and exits.
  --help         Prints this text and exits.
)";

constexpr int StartFailed = 1;
constexpr int UsageError = 2;

int runNode(const fulmarwinch::NodeSettings &Settings,
            const sigset_t &Signals) {
  fulmarwinch::Node Node(Settings);
  if (const absl::Status Result = Node.start(); !Result.ok()) {
    std::cerr << "fulmarwinchd: " << Result.message() << '\n';
    return StartFailed;
  }
  int Received = 0;
  sigwait(&Signals, &Received);
  Node.shutDown();
  return 0;
}

} // namespace

int main(int Count, char **Values) {
  // All threads inherit the mask, so that only sigwait() receives the signals.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments =
        docopt::docopt_parse(Usage, {Values + 1, Values + Count}, true, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n' << Usage;
    return UsageError;
  }
  if (Arguments["--version"].asBool()) {
    std::cout << "fulmarwinchd " << FULMARWINCH_VERSION << '\n';
    return 0;
  }
  const absl::StatusOr<fulmarwinch::NodeSettings> Settings =
      fulmarwinch::readNodeSettings(Arguments["--config"].asString());
  if (!Settings.ok()) {
    std::cerr << "fulmarwinchd: " << Settings.status().message() << '\n';
    return UsageError;
  }
  if (Arguments["--check"].asBool())
    return 0;
  fulmarwinch::configureLogging(Settings->m_LogLevel);
  return runNode(*Settings, Signals);
}
