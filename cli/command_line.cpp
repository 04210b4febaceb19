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

/// Help of one command. docopt also uses m_Usage and m_Options as the grammar
/// for parsing the arguments.
struct CommandHelp {
  Command m_Command;
  const char *m_Usage;
  const char *m_Summary;
  /// Further help lines, each with a line break at its end.
  const char *m_Details;
  /// Options specific to this command, one per line.
  const char *m_Options;
};

constexpr const char *ConfirmOptions =
    "  --yes            Confirms the plan without a prompt.\n";

constexpr const char *CommonOptions =
    R"(  --server URL     Operator endpoint of any node, for example
                   http://10.0.0.1:8081 [env: FULMARWINCH_SERVER].
  --key-file FILE  File that contains the operator key; if omitted, the
                   key is read from FULMARWINCH_KEY.
  --output FORMAT  Output format, table or json [default: table].
  --help           Prints this text and exits.
)";

constexpr std::array<CommandHelp, 10> HelpTable{{
    {Command::Plan, "FILE", "Creates a plan from an intent file and prints it.",
     "", ""},
    {Command::Confirm, "PLAN", "Confirms a plan so that the nodes apply it.",
     "",
     "  --wait           Prints the progress until the plan is carried out.\n"
     "  --timeout S      Time limit of --wait in seconds [default: 120].\n"},
    {Command::Get, "[KIND]",
     "Lists configuration entries, or the groups or nodes.",
     "KIND is deployment, service, organisation, zone, vm_drain, operator, "
     "group or node.\n",
     ""},
    {Command::Describe, "ENTRY", "Prints one entry, group or node.",
     "ENTRY is KIND/NAME, for example zone/uy-south-a.\n", ""},
    {Command::Watch, "", "Prints status changes until interrupted.", "", ""},
    {Command::Zone, "(out|in) NAME",
     "Takes an availability zone out of service or back into service.", "",
     ConfirmOptions},
    {Command::Drain, "VM", "Drains a VM, or cancels its drain.", "",
     "  --undo           Cancels the drain.\n"
     "  --yes            Confirms the plan without a prompt.\n"},
    {Command::Audit, "", "Lists the configuration changes of one day.", "",
     "  --day D          Day in UTC as YYYY-MM-DD; default: today.\n"},
    {Command::Status, "", "Prints current problems, then all groups and nodes.",
     "", ""},
    {Command::Completion, "bash", "Prints the shell completion script.", "",
     ""},
}};

using ParsedArguments = std::map<std::string, docopt::value>;

const CommandHelp &findHelp(Command Requested) {
  return *std::find_if(
      HelpTable.begin(), HelpTable.end(),
      [&](const CommandHelp &Row) { return Row.m_Command == Requested; });
}

std::string stringValue(const ParsedArguments &Values, const char *Key) {
  const auto Value = Values.find(Key);
  return Value != Values.end() && Value->second.isString()
             ? Value->second.asString()
             : std::string();
}

bool flagValue(const ParsedArguments &Values, const char *Key) {
  const auto Value = Values.find(Key);
  return Value != Values.end() && Value->second.isBool() &&
         Value->second.asBool();
}

/// Returns the first argument that is neither an option nor an option's value,
/// or "" if there is none.
std::string findCommandName(const std::vector<std::string> &Arguments) {
  constexpr std::array<const char *, 5> OptionsWithValue{
      "--server", "--key-file", "--output", "--timeout", "--day"};
  for (std::size_t Index = 0; Index < Arguments.size(); ++Index) {
    if (std::find(OptionsWithValue.begin(), OptionsWithValue.end(),
                  Arguments[Index]) != OptionsWithValue.end())
      ++Index;
    else if (!absl::StartsWith(Arguments[Index], "-"))
      return Arguments[Index];
  }
  return {};
}

ParsedCommandLine usageError(const std::string &Message,
                             const std::string &Remedy) {
  return {std::nullopt, "", makeCliError(ExitCode::Usage, Message, Remedy)};
}

bool isIsoDate(const std::string &Text) {
  constexpr std::string_view Pattern = "dddd-dd-dd";
  return Text.size() == Pattern.size() &&
         std::equal(Text.begin(), Text.end(), Pattern.begin(),
                    [](char Byte, char Kind) {
                      return Kind == 'd' ? Byte >= '0' && Byte <= '9'
                                         : Byte == Kind;
                    });
}

/// Stores the positional argument and the command-specific options in \p Line.
std::optional<CliError> parseCommandOptions(const ParsedArguments &Values,
                                            CommandLine &Line) {
  for (const char *Key : {"FILE", "PLAN", "KIND", "ENTRY", "NAME", "VM"})
    if (const std::string Target = stringValue(Values, Key); !Target.empty())
      Line.m_Argument = Target;
  Line.m_IsZoneOut = flagValue(Values, "out");
  Line.m_UndoDrain = flagValue(Values, "--undo");
  Line.m_SkipPrompt = flagValue(Values, "--yes");
  Line.m_WaitUntilApplied = flagValue(Values, "--wait");
  if (Line.m_Command == Command::Confirm) {
    const std::string Timeout = stringValue(Values, "--timeout");
    if (!absl::SimpleAtoi(Timeout, &Line.m_WaitTimeoutSeconds) ||
        Line.m_WaitTimeoutSeconds < 1 ||
        Line.m_WaitTimeoutSeconds > MaxTimeoutSeconds)
      return makeCliError(
          ExitCode::Usage,
          fmt::format("invalid value of --timeout: '{}'", Timeout),
          fmt::format("use a whole number of seconds from 1 to {}",
                      MaxTimeoutSeconds));
  }
  Line.m_AuditDay = stringValue(Values, "--day");
  if (!Line.m_AuditDay.empty() && !isIsoDate(Line.m_AuditDay))
    return makeCliError(
        ExitCode::Usage,
        fmt::format("invalid value of --day: '{}'", Line.m_AuditDay),
        "write the day as YYYY-MM-DD");
  return std::nullopt;
}

std::optional<CliError> parseServerUrl(const ParsedArguments &Values,
                                       const EnvironmentReader &Environment,
                                       CommandLine &Line) {
  const std::string Option = stringValue(Values, "--server");
  Line.m_ServerUrl =
      Option.empty() ? Environment("FULMARWINCH_SERVER") : Option;
  Line.m_ServerUrl = std::string(absl::StripSuffix(Line.m_ServerUrl, "/"));
  if (!absl::StartsWith(Line.m_ServerUrl, "http://") &&
      !absl::StartsWith(Line.m_ServerUrl, "https://"))
    return makeCliError(
        ExitCode::Usage,
        Line.m_ServerUrl.empty()
            ? "no operator endpoint is set"
            : fmt::format("the operator endpoint '{}' is not an HTTP URL",
                          Line.m_ServerUrl),
        "set --server or FULMARWINCH_SERVER to a URL such as "
        "http://10.0.0.1:8081");
  return std::nullopt;
}

std::optional<CliError> readOperatorKey(const ParsedArguments &Values,
                                        const EnvironmentReader &Environment,
                                        CommandLine &Line) {
  const std::string Path = stringValue(Values, "--key-file");
  if (Path.empty()) {
    Line.m_OperatorKey = Environment("FULMARWINCH_KEY");
  } else {
    std::ifstream File(Path);
    std::ostringstream Content;
    Content << File.rdbuf();
    if (!File)
      return makeCliError(ExitCode::Usage,
                          fmt::format("cannot read the key file {}", Path),
                          "check the path and its permissions");
    Line.m_OperatorKey = std::string(absl::StripAsciiWhitespace(Content.str()));
  }
  // A line break in the key would end the Authorization header and let the rest
  // of the key add header fields to the request.
  const bool IsVisibleAscii =
      std::all_of(Line.m_OperatorKey.begin(), Line.m_OperatorKey.end(),
                  [](char Byte) { return Byte > ' ' && Byte < '\x7f'; });
  if (IsVisibleAscii && !Line.m_OperatorKey.empty())
    return std::nullopt;
  return makeCliError(
      ExitCode::Usage,
      Line.m_OperatorKey.empty()
          ? "no operator key is set"
          : "the operator key contains a space, a control character or "
            "a non-ASCII character",
      "store only the key in the file for --key-file or in FULMARWINCH_KEY");
}

ParsedCommandLine buildCommandLine(Command Requested,
                                   const ParsedArguments &Values,
                                   const EnvironmentReader &Environment) {
  CommandLine Line;
  Line.m_Command = Requested;
  const std::string Format = stringValue(Values, "--output");
  if (Format != "table" && Format != "json")
    return usageError(fmt::format("invalid value of --output: '{}'", Format),
                      "use table or json");
  Line.m_JsonOutput = Format == "json";
  if (auto Error = parseCommandOptions(Values, Line))
    return {std::nullopt, "", Error};
  if (Requested == Command::Completion)
    return {Line, "", std::nullopt};
  if (auto Error = parseServerUrl(Values, Environment, Line))
    return {std::nullopt, "", Error};
  if (auto Error = readOperatorKey(Values, Environment, Line))
    return {std::nullopt, "", Error};
  return {Line, "", std::nullopt};
}

} // namespace

std::string programHelp() {
  std::string Text = "Command-line program for operators of fulmarwinch.\n\n"
                     "Usage:\n"
                     "  fulmarwinch COMMAND [ARGUMENTS] [OPTIONS]\n"
                     "  fulmarwinch COMMAND --help\n"
                     "  fulmarwinch --version\n\n"
                     "Commands:\n";
  for (const CommandHelp &Row : HelpTable) {
    const std::string Usage =
        fmt::format("{} {}", nameOf(CommandNames, Row.m_Command), Row.m_Usage);
    Text += fmt::format("  {:<20} {}\n", Usage, Row.m_Summary);
  }
  Text += "\nOptions of all commands:\n";
  Text += CommonOptions;
  Text +=
      "\nExit codes: 0 done, 1 refused or failed, 2 usage error, 3 conflict, "
      "4 not reachable.\n";
  return Text;
}

std::string commandHelp(Command Requested) {
  const CommandHelp &Row = findHelp(Requested);
  const std::string_view Name = nameOf(CommandNames, Requested);
  const std::string Space = *Row.m_Usage == '\0' ? "" : " ";
  return fmt::format("{}\n{}\nUsage:\n  fulmarwinch {}{}{} [options]\n\n"
                     "Options:\n{}{}",
                     Row.m_Summary, Row.m_Details, Name, Space, Row.m_Usage,
                     Row.m_Options, CommonOptions);
}

ParsedCommandLine parseCommandLine(const std::vector<std::string> &Arguments,
                                   const EnvironmentReader &Environment) {
  const std::string CommandName = findCommandName(Arguments);
  const bool HasVersionFlag = std::find(Arguments.begin(), Arguments.end(),
                                        "--version") != Arguments.end();
  if (CommandName.empty() && HasVersionFlag)
    return {std::nullopt, "fulmarwinch " FULMARWINCH_VERSION "\n",
            std::nullopt};
  if (CommandName.empty() && std::find(Arguments.begin(), Arguments.end(),
                                       "--help") != Arguments.end())
    return {std::nullopt, programHelp(), std::nullopt};
  const std::optional<Command> Requested = valueOf(CommandNames, CommandName);
  if (!Requested)
    return usageError(CommandName.empty()
                          ? "no command is specified"
                          : fmt::format("unknown command '{}'", CommandName),
                      "see fulmarwinch --help");
  try {
    return buildCommandLine(
        *Requested,
        docopt::docopt_parse(commandHelp(*Requested), Arguments, true, false),
        Environment);
  } catch (const docopt::DocoptExitHelp &) {
    return {std::nullopt, commandHelp(*Requested), std::nullopt};
  } catch (const std::exception &) {
    // docopt's own messages describe the internals of its parser, so the
    // operator gets this message instead.
    return usageError(
        fmt::format("invalid arguments for command {}", CommandName),
        fmt::format("see fulmarwinch {} --help", CommandName));
  }
}

} // namespace fulmarwinch
