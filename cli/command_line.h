#ifndef FULMARWINCH_CLI_COMMAND_LINE_H
#define FULMARWINCH_CLI_COMMAND_LINE_H

#include "cli/cli_error.h"
#include "core/enum_names.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

enum class Command {
  Plan,
  Confirm,
  Get,
  Describe,
  Watch,
  Zone,
  Drain,
  Audit,
  Status,
  Completion,
};

inline constexpr std::array<EnumName<Command>, 10> CommandNames{{
    {Command::Plan, "plan"},
    {Command::Confirm, "confirm"},
    {Command::Get, "get"},
    {Command::Describe, "describe"},
    {Command::Watch, "watch"},
    {Command::Zone, "zone"},
    {Command::Drain, "drain"},
    {Command::Audit, "audit"},
    {Command::Status, "status"},
    {Command::Completion, "completion"},
}};

/// Validated command line of one command.
struct CommandLine {
  Command m_Command = Command::Status;
  /// Positional argument of the command: an intent file, a plan ID, an entry
  /// kind, KIND/NAME, or the name of an availability zone or VM. May be empty.
  std::string m_Argument;
  /// True for `zone out`, false for `zone in`.
  bool m_IsZoneOut = false;
  bool m_UndoDrain = false;
  /// Set by --yes: the plan is confirmed without a prompt.
  bool m_SkipPrompt = false;
  /// Set by --wait: `confirm` returns once the plan is carried out.
  bool m_WaitUntilApplied = false;
  std::int64_t m_WaitTimeoutSeconds = 0;
  /// YYYY-MM-DD in UTC, or empty for the current day.
  std::string m_AuditDay;
  std::string m_ServerUrl;
  std::string m_OperatorKey;
  bool m_JsonOutput = false;
};

/// Returns the value of an environment variable, or "" if it is not set.
using EnvironmentReader = std::function<std::string(const char *Name)>;

/// Result of parsing: exactly one of a command, a text to print (help or
/// version) and an error.
struct ParsedCommandLine {
  std::optional<CommandLine> m_CommandLine;
  std::string m_InfoText;
  std::optional<CliError> m_Error;
};

/// Parses and validates \p Arguments, which excludes the program's name. Reads
/// the operator key from a file or from \p Environment.
ParsedCommandLine parseCommandLine(const std::vector<std::string> &Arguments,
                                   const EnvironmentReader &Environment);

std::string programHelp();
/// Help text of one command. docopt uses it as the grammar of the arguments.
std::string commandHelp(Command Requested);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_COMMAND_LINE_H
