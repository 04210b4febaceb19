#ifndef FULMARWINCH_CLI_COMMAND_RUNNER_H
#define FULMARWINCH_CLI_COMMAND_RUNNER_H

#include "cli/command_line.h"
#include "cli/operator_calls.h"
#include "cli/plan_wait.h"
#include "core/time.h"

#include <array>
#include <functional>
#include <iosfwd>
#include <string>

namespace fulmarwinch {

/// What a command reads, writes and waits with.
struct CommandIo {
  std::istream &m_In;
  std::ostream &m_Out;
  /// Errors and questions go here, so that standard output holds only results.
  std::ostream &m_Error;
  /// Waits; returns false if the command has to end.
  std::function<bool(Duration)> m_Pause;
  std::function<MonotonicTime()> m_Now;
};

/// Carries out one command by calls of the operator API.
class CommandRunner {
public:
  CommandRunner(CommandIo Io, OperatorCalls &Calls, const CommandLine &Line);

  ExitCode run();

private:
  using Handler = ExitCode (CommandRunner::*)();
  struct Row {
    Command m_Command;
    Handler m_Handler;
  };

  ExitCode runPlan();
  ExitCode runConfirm();
  ExitCode runGet();
  ExitCode runDescribe();
  ExitCode runWatch();
  ExitCode runZone();
  ExitCode runDrain();
  ExitCode runAudit();
  ExitCode runStatus();
  ExitCode runCompletion();

  /// Makes a plan from \p Intent, shows it, asks and confirms.
  ExitCode planAndConfirm(const Json &Intent);
  ExitCode confirm(const std::string &PlanId);
  ExitCode waitForPlan(const std::string &PlanId, const PlanWait &Wait);
  bool askOperator();
  OperatorReply collectAudit();
  ExitCode fail(const CliError &Error);
  /// Prints \p Object as one line.
  void printJson(const Json &Object);

  static const std::array<Row, 10> Rows;

  CommandIo m_Io;
  OperatorCalls &m_Calls;
  const CommandLine m_Line;
};

/// Prints an error in the form that \p AsJson asks for.
void printError(std::ostream &Out, const CliError &Error, bool AsJson);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_COMMAND_RUNNER_H
