#include "core/log.h"
#include "node/node.h"

#include "docopt/docopt.h"

#include <csignal>
#include <iostream>
#include <malloc.h>

namespace {

constexpr const char *Usage =
    R"(Serving node of fulmarwinch.

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

constexpr int ExitStartFailed = 1;
/// Blocks of this size and more go back to the system as soon as they are
/// freed.
constexpr int SeparateBlockBytes = 128 * 1024;
constexpr int ExitUsage = 2;

int runNode(const fulmarwinch::NodeSettings &Settings,
            const sigset_t &StopSignals) {
  fulmarwinch::Node Node(Settings);
  if (const absl::Status StartStatus = Node.start(); !StartStatus.ok()) {
    std::cerr << "fulmarwinchd: " << StartStatus.message() << '\n';
    return ExitStartFailed;
  }
  int ReceivedSignal = 0;
  sigwait(&StopSignals, &ReceivedSignal);
  Node.shutDown();
  return 0;
}

} // namespace

int main(int ArgumentCount, char **ArgumentValues) {
  mallopt(M_MMAP_THRESHOLD, SeparateBlockBytes);
  // Threads inherit the signal mask, so that only sigwait() receives SIGTERM
  // and SIGINT.
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments = docopt::docopt_parse(
        Usage, {ArgumentValues + 1, ArgumentValues + ArgumentCount}, true,
        true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n' << Usage;
    return ExitUsage;
  }
  if (Arguments["--version"].asBool()) {
    std::cout << "fulmarwinchd " << FULMARWINCH_VERSION << '\n';
    return 0;
  }
  const absl::StatusOr<fulmarwinch::NodeSettings> Settings =
      fulmarwinch::readNodeSettings(Arguments["--config"].asString());
  if (!Settings.ok()) {
    std::cerr << "fulmarwinchd: " << Settings.status().message() << '\n';
    return ExitUsage;
  }
  if (Arguments["--check"].asBool())
    return 0;
  fulmarwinch::configureLogging(Settings->m_LogLevel);
  return runNode(*Settings, StopSignals);
}
