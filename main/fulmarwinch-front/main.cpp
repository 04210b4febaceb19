#include "core/text.h"
#include "platform/binding.h"
#include "platform/settings_reader.h"
#include "proxy/front_node.h"

#include "asio.hpp"
#include "docopt/docopt.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

constexpr const char *Usage =
    R"(Front node of fulmarwinch on a platform with an object store.

Usage:
  fulmarwinch-front [--settings FILE] [--check]
  fulmarwinch-front --version
  fulmarwinch-front --help

Options:
  --settings FILE  Settings file; the default is $FULMARWINCH_NODE_FILE.
  --check          Checks the settings and exits.
  --version        Prints the version and exits.
  --help           Prints this text and exits.
)";

constexpr int StartFailed = 1;
constexpr int UsageError = 2;
/// Period of the look at the settings file, which may change without a signal.
constexpr auto SettingsPeriod = std::chrono::seconds(2);

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Watches for signals and for changes of the settings file.
class Supervisor {
public:
  Supervisor(asio::io_context &Loop, fulmarwinch::EventLog &Log,
             fulmarwinch::FrontNode &Node, std::string Path, std::string Text)
      : m_Log(Log), m_Node(Node), m_Path(std::move(Path)),
        m_Text(std::move(Text)), m_Signals(Loop, SIGTERM, SIGINT, SIGHUP),
        m_Timer(Loop) {
    awaitSignal();
    awaitChange();
  }

private:
  void awaitSignal() {
    m_Signals.async_wait([this](const asio::error_code &Error, int Signal) {
      if (Error)
        return;
      if (Signal == SIGHUP)
        reload("signal");
      else
        m_Node.drain();
      awaitSignal();
    });
  }

  void awaitChange() {
    m_Timer.expires_after(SettingsPeriod);
    m_Timer.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      reload("timer");
      awaitChange();
    });
  }

  void reload(std::string_view Trigger) {
    const std::string Text = readFile(m_Path);
    if (Text == m_Text)
      return;
    m_Text = Text;
    const auto Settings = fulmarwinch::platform::parseSettings(Text);
    // Addresses and bounds are read at the start; a change of them takes
    // effect when the process is started again.
    m_Log.write(
        "settings_changed",
        {{"trigger", Trigger},
         {"usable", Settings.ok()},
         {"problem", Settings.ok()
                         ? std::string_view()
                         : fulmarwinch::toView(Settings.status().message())}});
  }

  fulmarwinch::EventLog &m_Log;
  fulmarwinch::FrontNode &m_Node;
  std::string m_Path;
  std::string m_Text;
  asio::signal_set m_Signals;
  asio::steady_timer m_Timer;
};

int runNode(const fulmarwinch::FrontSettings &Settings, const std::string &Path,
            const std::string &Text) {
  asio::io_context Loop(1);
  fulmarwinch::EventLog Log(STDOUT_FILENO);
  try {
    fulmarwinch::platform::ObjectClient Store(Loop, Settings.m_Store);
    const fulmarwinch::PlatformBinding Platform =
        fulmarwinch::platform::bind(Store);
    fulmarwinch::FrontNode Node(Loop, Log, Settings, Platform);
    Supervisor Signals(Loop, Log, Node, Path, Text);
    Node.start();
    Log.write("started", {{"version", FULMARWINCH_VERSION},
                          {"node", Settings.m_Node},
                          {"zone", Settings.m_Zone}});
    Loop.run();
  } catch (const std::exception &Error) {
    Log.write("failed", {{"problem", Error.what()}});
    return StartFailed;
  }
  return 0;
}

} // namespace

int main(int Count, char **Values) {
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
    std::cout << "fulmarwinch-front " << FULMARWINCH_VERSION << '\n';
    return 0;
  }
  const std::string Path = Arguments["--settings"]
                               ? Arguments["--settings"].asString()
                               : fulmarwinch::platform::settingsPath();
  const std::string Text = readFile(Path);
  const auto Settings = fulmarwinch::platform::parseSettings(Text);
  if (!Settings.ok()) {
    std::cerr << "fulmarwinch-front: " << Path << ": "
              << fulmarwinch::toView(Settings.status().message()) << '\n';
    return UsageError;
  }
  if (Arguments["--check"].asBool())
    return 0;
  return runNode(*Settings, Path, Text);
}
