#include "core/text.h"
#include "platform/binding.h"
#include "platform/settings_reader.h"
#include "proxy/front_node.h"

#include "asio.hpp"
#include "docopt/docopt.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <unistd.h>

namespace {

constexpr const char *Usage =
    R"(Front node of fulmarwinch for a platform that provides an object store.

Usage:
  fulmarwinch-front [--settings FILE] [--second-attempt-share SHARE]
                    [--enable PARTS] [--check]
  fulmarwinch-front --version
  fulmarwinch-front --help

Options:
  --settings FILE               Settings file; default: the file in
                                $FULMARWINCH_NODE_FILE.
  --second-attempt-share SHARE  Send requests that may be repeated to a second
                                server as well if the first one is slow: at most
                                this share of the requests, from 0 (never) to
                                0.2. [default: 0]
  --enable PARTS                Switches on parts of the decisions under load,
                                separated by commas: placement, supply.
  --check                       Checks the settings and exits.
  --version                     Prints the version and exits.
  --help                        Prints this text and exits.
)";

constexpr int ExitStartFailed = 1;
constexpr int ExitUsage = 2;
/// Period in which the settings file is checked for changes, since it may be
/// changed without a SIGHUP.
constexpr auto SettingsPollPeriod = std::chrono::seconds(2);

/// Size of blocks that return to the system as soon as they are freed. The
/// library raises its own threshold with each large block that is freed, and
/// such blocks then leave gaps that are not used again.
constexpr int SeparateBlockBytes = 128 * 1024;

/// Returns the content of a file, or "" if it cannot be read.
std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Starts a drain on SIGTERM and SIGINT. Checks the settings file on SIGHUP and
/// periodically, and logs its changes.
class SignalAndSettingsWatcher {
public:
  SignalAndSettingsWatcher(asio::io_context &Loop, fulmarwinch::EventLog &Log,
                           fulmarwinch::FrontNode &Node, std::string Path,
                           std::string Text)
      : m_Log(Log), m_Node(Node), m_SettingsPath(std::move(Path)),
        m_LastSettings(std::move(Text)),
        m_Signals(Loop, SIGTERM, SIGINT, SIGHUP), m_PollTimer(Loop) {
    awaitNextSignal();
    scheduleNextPoll();
  }

private:
  void awaitNextSignal() {
    m_Signals.async_wait(
        [this](const asio::error_code &Error, int SignalNumber) {
          if (Error)
            return;
          if (SignalNumber == SIGHUP)
            logSettingsChange("signal");
          else
            m_Node.drain();
          awaitNextSignal();
        });
  }

  void scheduleNextPoll() {
    m_PollTimer.expires_after(SettingsPollPeriod);
    m_PollTimer.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      logSettingsChange("timer");
      scheduleNextPoll();
    });
  }

  void logSettingsChange(std::string_view Trigger) {
    const std::string Text = readFile(m_SettingsPath);
    if (Text == m_LastSettings)
      return;
    m_LastSettings = Text;
    const auto Settings = fulmarwinch::platform::parseFrontSettings(Text);
    // The change is only logged: addresses and limits are read at startup and
    // take effect after a restart of the process.
    m_Log.write("settings_changed",
                {{"trigger", Trigger},
                 {"usable", Settings.ok()},
                 {"problem",
                  Settings.ok()
                      ? std::string_view()
                      : fulmarwinch::toStdView(Settings.status().message())}});
  }

  fulmarwinch::EventLog &m_Log;
  fulmarwinch::FrontNode &m_Node;
  std::string m_SettingsPath;
  std::string m_LastSettings;
  asio::signal_set m_Signals;
  asio::steady_timer m_PollTimer;
};

int runNode(const fulmarwinch::FrontSettings &Settings, const std::string &Path,
            const std::string &Text) {
  asio::io_context Loop(1);
  fulmarwinch::EventLog Log(STDOUT_FILENO);
  try {
    fulmarwinch::platform::ObjectStoreClient ObjectStore(
        Loop, Settings.m_StoreEndpoint);
    const fulmarwinch::PlatformBinding Platform =
        fulmarwinch::platform::makePlatformBinding(ObjectStore);
    fulmarwinch::FrontNode Node(Loop, Log, Settings, Platform);
    SignalAndSettingsWatcher Watcher(Loop, Log, Node, Path, Text);
    Node.start();
    Log.write("started", {{"version", FULMARWINCH_VERSION},
                          {"node", Settings.m_NodeName},
                          {"zone", Settings.m_Zone}});
    Loop.run();
  } catch (const std::exception &Error) {
    Log.write("failed", {{"problem", Error.what()}});
    return ExitStartFailed;
  }
  return 0;
}

} // namespace

int main(int ArgumentCount, char **ArgumentValues) {
  mallopt(M_MMAP_THRESHOLD, SeparateBlockBytes);
  signal(SIGPIPE, SIG_IGN);
  // The settings are read below, so a SIGHUP before that has nothing to change.
  // Without this, it would end the process until the node handles it.
  signal(SIGHUP, SIG_IGN);
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
    std::cout << "fulmarwinch-front " << FULMARWINCH_VERSION << '\n';
    return 0;
  }
  const std::string Path = Arguments["--settings"]
                               ? Arguments["--settings"].asString()
                               : fulmarwinch::platform::frontSettingsPath();
  const std::string Text = readFile(Path);
  auto Settings = fulmarwinch::platform::parseFrontSettings(Text);
  const auto SecondAttemptShare =
      fulmarwinch::platform::parseSecondAttemptShare(
          Arguments["--second-attempt-share"].asString());
  if (!SecondAttemptShare.ok()) {
    std::cerr << "fulmarwinch-front: "
              << fulmarwinch::toStdView(SecondAttemptShare.status().message())
              << '\n';
    return ExitUsage;
  }
  const auto EnabledParts = fulmarwinch::platform::parseEnabledParts(
      Arguments["--enable"] ? Arguments["--enable"].asString() : "");
  if (!EnabledParts.ok()) {
    std::cerr << "fulmarwinch-front: "
              << fulmarwinch::toStdView(EnabledParts.status().message())
              << '\n';
    return ExitUsage;
  }
  if (!Settings.ok()) {
    std::cerr << "fulmarwinch-front: " << Path << ": "
              << fulmarwinch::toStdView(Settings.status().message()) << '\n';
    return ExitUsage;
  }
  Settings->m_SecondAttemptShare = *SecondAttemptShare;
  Settings->m_EnabledParts = *EnabledParts;
  if (Arguments["--check"].asBool())
    return 0;
  return runNode(*Settings, Path, Text);
}
