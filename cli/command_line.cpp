#include "cli/command_line.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"
#include "docopt/docopt.h"
#include "fmt/format.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

namespace fulmarwinch {

namespace {

constexpr std::int64_t MaxTimeoutSeconds = 86400;

/// Help of one command. The usage and the options are also the grammar.
struct CommandHelp {
  Command m_Command;
  const char *m_Usage;
  const char *m_Summary;
  /// More lines of help, each ended.
  const char *m_Details;
  /// Options that only this command has, one a line.
  const char *m_Options;
};

constexpr const char *ConfirmOptions =
    "  --yes            Confirms without asking.\n";

constexpr const char *CommonOptions =
    R"(  --server URL     Operator endpoint of any node, such as
                   http://10.0.0.1:8081; FULMARWINCH_SERVER if left out.
  --key-file FILE  File that holds the operator key; without it the key is
                   read from the variable FULMARWINCH_KEY.
  --output FORMAT  table or json [default: table].
  --help           Prints this text and exits.
)";

constexpr std::array<CommandHelp, 10> Helps{{
    {Command::Plan, "FILE", "Makes a plan from an intent and shows it.", "",
     ""},
    {Command::Confirm, "PLAN", "Confirms a plan, which applies it.", "",
     "  --wait           Shows the progress until the plan is carried out.\n"
     "  --timeout S      Longest wait in seconds [default: 120].\n"},
    {Command::Get, "[KIND]",
     "Lists configuration entries, or the groups or nodes.",
     "KIND is deployment, service, organisation, zone, vm_drain, operator, "
     "group or node.\n",
     ""},
    {Command::Describe, "ENTRY", "Shows one entry, group or node.",
     "ENTRY is KIND/NAME, for example zone/uy-south-a.\n", ""},
    {Command::Watch, "", "Prints changes of the status until interrupted.", "",
     ""},
    {Command::Zone, "(out|in) NAME",
     "Takes an availability zone out of service or back into service.", "",
     ConfirmOptions},
    {Command::Drain, "VM", "Drains a VM, or ends its drain.", "",
     "  --undo           Ends the drain.\n"
     "  --yes            Confirms without asking.\n"},
    {Command::Audit, "", "Shows who changed what on one day.", "",
     "  --day D          Day in UTC as YYYY-MM-DD; today if left out.\n"},
    {Command::Status, "", "Shows what is wrong now, then all groups and nodes.",
     "", ""},
    {Command::Completion, "bash", "Prints the completion script of a shell.",
     "", ""},
}};

using Arguments = std::map<std::string, docopt::value>;

const CommandHelp &helpRow(Command Wanted) {
  return *std::find_if(Helps.begin(), Helps.end(), [&](const CommandHelp &Row) {
    return Row.m_Command == Wanted;
  });
}

std::string text(const Arguments &Values, const char *Key) {
  const auto Value = Values.find(Key);
  return Value != Values.end() && Value->second.isString()
             ? Value->second.asString()
             : std::string();
}

bool flag(const Arguments &Values, const char *Key) {
  const auto Value = Values.find(Key);
  return Value != Values.end() && Value->second.isBool() &&
         Value->second.asBool();
}

/// Returns the first word that is neither an option nor an option's value.
std::string commandWord(const std::vector<std::string> &Words) {
  constexpr std::array<const char *, 5> WithValue{
      "--server", "--key-file", "--output", "--timeout", "--day"};
  for (std::size_t Index = 0; Index < Words.size(); ++Index) {
    if (std::find(WithValue.begin(), WithValue.end(), Words[Index]) !=
        WithValue.end())
      ++Index;
    else if (!absl::StartsWith(Words[Index], "-"))
      return Words[Index];
  }
  return {};
}

ParsedCommandLine usageError(const std::string &Message,
                             const std::string &Remedy) {
  return {std::nullopt, "", makeCliError(ExitCode::Usage, Message, Remedy)};
}

bool isDay(const std::string &Text) {
  constexpr std::string_view Form = "dddd-dd-dd";
  return Text.size() == Form.size() &&
         std::equal(
             Text.begin(), Text.end(), Form.begin(), [](char Byte, char Kind) {
               return Kind == 'd' ? Byte >= '0' && Byte <= '9' : Byte == Kind;
             });
}

/// Takes the options that only some commands have.
std::optional<CliError> takeCommandOptions(const Arguments &Values,
                                           CommandLine &Line) {
  for (const char *Key : {"FILE", "PLAN", "KIND", "ENTRY", "NAME", "VM"})
    if (const std::string Target = text(Values, Key); !Target.empty())
      Line.m_Target = Target;
  Line.m_Out = flag(Values, "out");
  Line.m_Undo = flag(Values, "--undo");
  Line.m_Yes = flag(Values, "--yes");
  Line.m_Wait = flag(Values, "--wait");
  if (Line.m_Command == Command::Confirm) {
    const std::string Timeout = text(Values, "--timeout");
    if (!absl::SimpleAtoi(Timeout, &Line.m_TimeoutSeconds) ||
        Line.m_TimeoutSeconds < 1 || Line.m_TimeoutSeconds > MaxTimeoutSeconds)
      return makeCliError(
          ExitCode::Usage, fmt::format("--timeout: found {}", Timeout),
          fmt::format("use whole seconds from 1 to {}", MaxTimeoutSeconds));
  }
  Line.m_Day = text(Values, "--day");
  if (!Line.m_Day.empty() && !isDay(Line.m_Day))
    return makeCliError(ExitCode::Usage,
                        fmt::format("--day: found {}", Line.m_Day),
                        "write the day as YYYY-MM-DD");
  return std::nullopt;
}

std::optional<CliError> takeServer(const Arguments &Values,
                                   const EnvironmentReader &Environment,
                                   CommandLine &Line) {
  const std::string Option = text(Values, "--server");
  Line.m_Server = Option.empty() ? Environment("FULMARWINCH_SERVER") : Option;
  Line.m_Server = std::string(absl::StripSuffix(Line.m_Server, "/"));
  if (!absl::StartsWith(Line.m_Server, "http://") &&
      !absl::StartsWith(Line.m_Server, "https://"))
    return makeCliError(
        ExitCode::Usage,
        Line.m_Server.empty()
            ? "no server is given"
            : fmt::format("the server is {}, which is not a URL",
                          Line.m_Server),
        "set --server or FULMARWINCH_SERVER to a URL such as "
        "http://10.0.0.1:8081");
  return std::nullopt;
}

std::optional<CliError> takeKey(const Arguments &Values,
                                const EnvironmentReader &Environment,
                                CommandLine &Line) {
  const std::string Path = text(Values, "--key-file");
  if (Path.empty()) {
    Line.m_Key = Environment("FULMARWINCH_KEY");
  } else {
    std::ifstream File(Path);
    std::ostringstream Content;
    Content << File.rdbuf();
    if (!File)
      return makeCliError(ExitCode::Usage,
                          fmt::format("cannot read the key file {}", Path),
                          "check the path and its permissions");
    Line.m_Key = std::string(absl::StripAsciiWhitespace(Content.str()));
  }
  // A key with a line break would end the header early.
  const bool IsOneWord =
      std::all_of(Line.m_Key.begin(), Line.m_Key.end(),
                  [](char Byte) { return Byte > ' ' && Byte < '\x7f'; });
  if (IsOneWord && !Line.m_Key.empty())
    return std::nullopt;
  return makeCliError(
      ExitCode::Usage,
      Line.m_Key.empty() ? "no operator key is given"
                         : "the operator key is more than one word",
      "put the key alone into a file for --key-file or into FULMARWINCH_KEY");
}

ParsedCommandLine checkArguments(Command Wanted, const Arguments &Values,
                                 const EnvironmentReader &Environment) {
  CommandLine Line;
  Line.m_Command = Wanted;
  const std::string Format = text(Values, "--output");
  if (Format != "table" && Format != "json")
    return usageError(fmt::format("--output: found {}", Format),
                      "use table or json");
  Line.m_Json = Format == "json";
  if (auto Error = takeCommandOptions(Values, Line))
    return {std::nullopt, "", Error};
  if (Wanted == Command::Completion)
    return {Line, "", std::nullopt};
  if (auto Error = takeServer(Values, Environment, Line))
    return {std::nullopt, "", Error};
  if (auto Error = takeKey(Values, Environment, Line))
    return {std::nullopt, "", Error};
  return {Line, "", std::nullopt};
}

} // namespace

std::string generalHelp() {
  std::string Text = "Command-line program for operators of fulmarwinch.\n\n"
                     "Usage:\n"
                     "  fulmarwinch COMMAND [ARGUMENTS] [OPTIONS]\n"
                     "  fulmarwinch COMMAND --help\n"
                     "  fulmarwinch --version\n\n"
                     "Commands:\n";
  for (const CommandHelp &Row : Helps) {
    const std::string Usage =
        fmt::format("{} {}", nameOf(CommandNames, Row.m_Command), Row.m_Usage);
    Text += fmt::format("  {:<20} {}\n", Usage, Row.m_Summary);
  }
  Text += "\nOptions of all commands:\n";
  Text += CommonOptions;
  Text += "\nExit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict, "
          "4 not reachable.\n";
  return Text;
}

std::string helpOf(Command Wanted) {
  const CommandHelp &Row = helpRow(Wanted);
  const std::string_view Name = nameOf(CommandNames, Wanted);
  const std::string Space = *Row.m_Usage == '\0' ? "" : " ";
  return fmt::format("{}\n{}\nUsage:\n  fulmarwinch {}{}{} [options]\n\n"
                     "Options:\n{}{}",
                     Row.m_Summary, Row.m_Details, Name, Space, Row.m_Usage,
                     Row.m_Options, CommonOptions);
}

ParsedCommandLine parseCommandLine(const std::vector<std::string> &Words,
                                   const EnvironmentReader &Environment) {
  const std::string Word = commandWord(Words);
  const bool WantsVersion =
      std::find(Words.begin(), Words.end(), "--version") != Words.end();
  if (Word.empty() && WantsVersion)
    return {std::nullopt, "fulmarwinch " FULMARWINCH_VERSION "\n",
            std::nullopt};
  if (Word.empty() &&
      std::find(Words.begin(), Words.end(), "--help") != Words.end())
    return {std::nullopt, generalHelp(), std::nullopt};
  const std::optional<Command> Wanted = valueOf(CommandNames, Word);
  if (!Wanted)
    return usageError(Word.empty() ? "no command is given"
                                   : fmt::format("no command '{}'", Word),
                      "see fulmarwinch --help");
  try {
    return checkArguments(
        *Wanted, docopt::docopt_parse(helpOf(*Wanted), Words, true, false),
        Environment);
  } catch (const docopt::DocoptExitHelp &) {
    return {std::nullopt, helpOf(*Wanted), std::nullopt};
  } catch (const std::exception &) {
    // docopt's own texts name internals of its parser.
    return usageError(fmt::format("wrong arguments of {}", Word),
                      fmt::format("see fulmarwinch {} --help", Word));
  }
}

} // namespace fulmarwinch
