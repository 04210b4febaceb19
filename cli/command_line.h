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

/// What the operator asked for, checked.
struct CommandLine {
  Command m_Command = Command::Status;
  /// File, plan, kind, entry, availability zone or VM of the command.
  std::string m_Target;
  /// True for `zone out`, false for `zone in`.
  bool m_Out = false;
  bool m_Undo = false;
  bool m_Yes = false;
  bool m_Wait = false;
  std::int64_t m_TimeoutSeconds = 0;
  std::string m_Day;
  std::string m_Server;
  std::string m_Key;
  bool m_Json = false;
};

/// Returns the value of an environment variable, empty if it is not set.
using EnvironmentReader = std::function<std::string(const char *Name)>;

/// Either a command, or a help text to print, or an error.
struct ParsedCommandLine {
  std::optional<CommandLine> m_Line;
  std::string m_Help;
  std::optional<CliError> m_Error;
};

/// Parses the arguments without the program's name.
ParsedCommandLine parseCommandLine(const std::vector<std::string> &Words,
                                   const EnvironmentReader &Environment);

/// Help of the whole program and of one command.
std::string generalHelp();
std::string helpOf(Command Command);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_COMMAND_LINE_H
