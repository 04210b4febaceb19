#ifndef FULMARWINCH_CLI_COMMAND_RUNNER_H
#define FULMARWINCH_CLI_COMMAND_RUNNER_H

#include "cli/command_line.h"
#include "cli/operator_api_client.h"
#include "cli/plan_tracker.h"
#include "core/time.h"

#include <array>
#include <functional>
#include <iosfwd>
#include <string>

namespace fulmarwinch {

/// Streams and clock of a command; tests replace them.
struct CommandIo {
  std::istream &m_Input;
  std::ostream &m_Output;
  /// Receives errors and prompts, so that m_Output contains only results.
  std::ostream &m_ErrorOutput;
  /// Sleeps for the given duration; returns false if the command must end
  /// instead of polling again.
  std::function<bool(Duration)> m_Sleep;
  std::function<MonotonicTime()> m_Now;
};

/// Runs one command by calls to the operator API.
class CommandRunner {
public:
  CommandRunner(CommandIo Io, OperatorApiClient &Api, const CommandLine &Line);

  /// Runs the command and prints its result or error.
  ExitCode run();

private:
  using Handler = ExitCode (CommandRunner::*)();
  struct HandlerEntry {
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

  /// Creates a plan from \p Intent, prints it, and confirms it if the operator
  /// agrees or --yes is set.
  ExitCode planAndConfirm(const Json &Intent);
  ExitCode confirm(const std::string &PlanId);
  /// Polls until the plan is carried out or --timeout passes.
  ExitCode waitForPlan(const std::string &PlanId, const PlanTracker &Tracker);
  /// Asks the operator to confirm the plan; the end of the input counts as a
  /// refusal.
  bool promptForConfirmation();
  /// Reads all pages of the audit trail, sorted by time.
  OperatorResponse fetchAuditTrail();
  /// Prints \p Error and returns its exit code.
  ExitCode reportError(const CliError &Error);
  /// Prints \p Object on one line and flushes the output.
  void printJson(const Json &Object);

  static const std::array<HandlerEntry, 10> Handlers;

  CommandIo m_Io;
  OperatorApiClient &m_Api;
  const CommandLine m_CommandLine;
};

/// Prints an error as JSON or as text.
void printError(std::ostream &Out, const CliError &Error, bool AsJson);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_COMMAND_RUNNER_H
