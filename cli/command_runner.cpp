#include "cli/command_runner.h"

#include "cli/audit_text.h"
#include "cli/completion.h"
#include "cli/entry_text.h"
#include "cli/plan_text.h"
#include "cli/status_changes.h"
#include "cli/status_text.h"
#include "drivers/http/http_message.h"

#include "absl/strings/ascii.h"
#include "fmt/format.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace fulmarwinch {

namespace {

/// The status changes at most this often; nodes ping each other twice a
/// second.
constexpr Duration PollPeriod = std::chrono::seconds(1);
constexpr const char *StatusPath = "/v1/status";
constexpr const char *ConfigurationPath = "/v1/configuration";
/// Bound for a server that returns the same page again and again.
constexpr std::size_t MaxAuditPages = 10000;

std::string planPath(const std::string &PlanId) {
  return fmt::format("/v1/plans/{}", percentEncode(PlanId));
}

std::string confirmCommand(const Json &Plan) {
  return fmt::format("fulmarwinch confirm {}",
                     memberOr<std::string>(Plan, "id", ""));
}

CliError unknownKind(const std::string &Kind) {
  return makeCliError(ExitCode::Usage, fmt::format("no kind '{}'", Kind),
                      "see fulmarwinch get --help");
}

} // namespace

const std::array<CommandRunner::Row, 10> CommandRunner::Rows{{
    {Command::Plan, &CommandRunner::runPlan},
    {Command::Confirm, &CommandRunner::runConfirm},
    {Command::Get, &CommandRunner::runGet},
    {Command::Describe, &CommandRunner::runDescribe},
    {Command::Watch, &CommandRunner::runWatch},
    {Command::Zone, &CommandRunner::runZone},
    {Command::Drain, &CommandRunner::runDrain},
    {Command::Audit, &CommandRunner::runAudit},
    {Command::Status, &CommandRunner::runStatus},
    {Command::Completion, &CommandRunner::runCompletion},
}};

void printError(std::ostream &Out, const CliError &Error, bool AsJson) {
  if (AsJson)
    Out << toJson(Error).dump(-1, ' ', false, Json::error_handler_t::replace)
        << '\n';
  else
    Out << toText(Error);
}

CommandRunner::CommandRunner(CommandIo Io, OperatorCalls &Calls,
                             const CommandLine &Line)
    : m_Io(std::move(Io)), m_Calls(Calls), m_Line(Line) {}

ExitCode CommandRunner::run() {
  for (const Row &Candidate : Rows)
    if (Candidate.m_Command == m_Line.m_Command)
      return (this->*Candidate.m_Handler)();
  return ExitCode::Usage;
}

ExitCode CommandRunner::fail(const CliError &Error) {
  printError(m_Io.m_Error, Error, m_Line.m_Json);
  return Error.m_Code;
}

void CommandRunner::printJson(const Json &Object) {
  m_Io.m_Out << Object.dump(-1, ' ', false, Json::error_handler_t::replace)
             << std::endl;
}

ExitCode CommandRunner::runPlan() {
  std::ifstream File(m_Line.m_Target);
  std::ostringstream Intent;
  Intent << File.rdbuf();
  if (!File)
    return fail(
        makeCliError(ExitCode::Usage,
                     fmt::format("cannot read the file {}", m_Line.m_Target),
                     "check the path and that the file is not empty"));
  const OperatorReply Plan = m_Calls.post("/v1/intents", Intent.str());
  if (!Plan.ok())
    return fail(*Plan.m_Error);
  if (m_Line.m_Json)
    printJson(Plan.m_Body);
  else
    m_Io.m_Out << planText(Plan.m_Body) << "\nNothing has changed yet. "
               << "Confirm the plan with:\n  " << confirmCommand(Plan.m_Body)
               << '\n';
  return ExitCode::Done;
}

ExitCode CommandRunner::runConfirm() {
  if (!m_Line.m_Wait)
    return confirm(m_Line.m_Target);
  const OperatorReply Plan = m_Calls.get(planPath(m_Line.m_Target));
  if (!Plan.ok())
    return fail(*Plan.m_Error);
  const OperatorReply Status = m_Calls.get(StatusPath);
  if (!Status.ok())
    return fail(*Status.m_Error);
  const PlanWait Wait(Plan.m_Body, Status.m_Body);
  const ExitCode Code = confirm(m_Line.m_Target);
  return Code == ExitCode::Done ? waitForPlan(m_Line.m_Target, Wait) : Code;
}

ExitCode CommandRunner::confirm(const std::string &PlanId) {
  const OperatorReply Reply =
      m_Calls.post(fmt::format("{}/confirm", planPath(PlanId)), "");
  if (!Reply.ok())
    return fail(*Reply.m_Error);
  if (m_Line.m_Json)
    printJson(Reply.m_Body);
  else
    m_Io.m_Out << fmt::format(
                      "plan {} is accepted as revision {}", PlanId,
                      memberOr<std::int64_t>(Reply.m_Body, "revision", 0))
               << std::endl;
  return ExitCode::Done;
}

ExitCode CommandRunner::waitForPlan(const std::string &PlanId,
                                    const PlanWait &Wait) {
  const MonotonicTime End =
      m_Io.m_Now() + std::chrono::seconds(m_Line.m_TimeoutSeconds);
  std::string Last;
  while (true) {
    const OperatorReply Plan = m_Calls.get(planPath(PlanId));
    const OperatorReply Status =
        Plan.ok() ? m_Calls.get(StatusPath) : OperatorReply();
    // A node that does not answer for a moment does not end the wait.
    if (Plan.ok() && Status.ok()) {
      const PlanWaitState State = Wait.state(Plan.m_Body, Status.m_Body);
      const std::string Text = toText(State);
      if (Text != Last && m_Line.m_Json)
        printJson(toJson(State));
      else if (Text != Last)
        m_Io.m_Out << Text << std::endl;
      Last = Text;
      if (State.isDone())
        return ExitCode::Done;
    }
    if (m_Io.m_Now() >= End || !m_Io.m_Pause(PollPeriod)) {
      if (!Plan.ok())
        return fail(*Plan.m_Error);
      if (!Status.ok())
        return fail(*Status.m_Error);
      return fail(makeCliError(
          ExitCode::Failed,
          fmt::format("plan {} is accepted but not carried out after {} s",
                      PlanId, m_Line.m_TimeoutSeconds),
          "see fulmarwinch status; the same command waits on"));
    }
  }
}

ExitCode CommandRunner::runGet() {
  const std::string &Kind = m_Line.m_Target;
  if (!Kind.empty() && !isEntryKind(Kind) && !isStatusKind(Kind))
    return fail(unknownKind(Kind));
  const bool IsStatus = isStatusKind(Kind);
  const OperatorReply Reply =
      m_Calls.get(IsStatus ? StatusPath : ConfigurationPath);
  if (!Reply.ok())
    return fail(*Reply.m_Error);
  if (IsStatus) {
    const std::string List = Kind + "s";
    if (m_Line.m_Json)
      printJson(memberOr(Reply.m_Body, List.c_str(), Json::array()));
    else
      m_Io.m_Out << (Kind == "group" ? groupTable(Reply.m_Body)
                                     : nodeTable(Reply.m_Body));
    return ExitCode::Done;
  }
  const Json Rows = entriesOfKind(Reply.m_Body, Kind);
  if (m_Line.m_Json)
    printJson(Rows);
  else
    m_Io.m_Out << entryTable(Rows);
  return ExitCode::Done;
}

ExitCode CommandRunner::runDescribe() {
  const auto Parts = splitEntry(m_Line.m_Target);
  if (!Parts)
    return fail(makeCliError(ExitCode::Usage,
                             fmt::format("no entry '{}'", m_Line.m_Target),
                             "write KIND/NAME, for example zone/uy-south-a"));
  const auto &[Kind, Name] = *Parts;
  if (!isEntryKind(Kind) && !isStatusKind(Kind))
    return fail(unknownKind(Kind));
  const OperatorReply Reply =
      m_Calls.get(isStatusKind(Kind) ? StatusPath : ConfigurationPath);
  if (!Reply.ok())
    return fail(*Reply.m_Error);
  const Json Found = isStatusKind(Kind)
                         ? findStatusItem(Reply.m_Body, Kind, Name)
                         : findEntry(Reply.m_Body, Kind, Name);
  if (Found.is_null())
    return fail({ExitCode::Failed, "not_found",
                 fmt::format("there is no {}", m_Line.m_Target),
                 fmt::format("see fulmarwinch get {}", Kind)});
  if (m_Line.m_Json) {
    printJson(Found);
    return ExitCode::Done;
  }
  if (isStatusKind(Kind)) {
    m_Io.m_Out << objectText(Found);
    return ExitCode::Done;
  }
  Json Origin = Found;
  Origin.erase("entry");
  m_Io.m_Out << objectText(Found["entry"]) << "\nLast change\n"
             << objectText(Origin);
  return ExitCode::Done;
}

ExitCode CommandRunner::runWatch() {
  StatusChanges Changes;
  bool WasReached = false;
  bool IsReached = false;
  do {
    const OperatorReply Status = m_Calls.get(StatusPath);
    // Only a failure at the start ends the watch, since it is most useful
    // while nodes are replaced.
    if (!Status.ok() && !WasReached)
      return fail(*Status.m_Error);
    if (!Status.ok() && IsReached)
      fail(*Status.m_Error);
    IsReached = Status.ok();
    WasReached = true;
    if (!IsReached)
      continue;
    const UnixSeconds Time = unixNow();
    for (const StatusChange &Change : Changes.next(Status.m_Body)) {
      Json Line = toJson(Change);
      Line["time"] = Time;
      if (m_Line.m_Json)
        printJson(Line);
      else
        m_Io.m_Out << timeText(Time) << ' ' << toText(Change) << std::endl;
    }
  } while (m_Io.m_Pause(PollPeriod));
  return ExitCode::Done;
}

ExitCode CommandRunner::runZone() {
  const Json Entry = {{"kind", "zone"},
                      {"name", m_Line.m_Target},
                      {"inService", !m_Line.m_Out}};
  return planAndConfirm({{"entries", Json::array({Entry})}});
}

ExitCode CommandRunner::runDrain() {
  Json Entry = {{"kind", "vm_drain"}, {"name", m_Line.m_Target}};
  if (m_Line.m_Undo)
    Entry["remove"] = true;
  return planAndConfirm({{"entries", Json::array({Entry})}});
}

ExitCode CommandRunner::planAndConfirm(const Json &Intent) {
  const OperatorReply Plan =
      m_Calls.post("/v1/intents",
                   Intent.dump(-1, ' ', false, Json::error_handler_t::replace));
  if (!Plan.ok())
    return fail(*Plan.m_Error);
  // The plan is shown where the question is, so that standard output holds
  // one JSON object in the end.
  std::ostream &Shown = m_Line.m_Json ? m_Io.m_Error : m_Io.m_Out;
  if (!m_Line.m_Json || !m_Line.m_Yes)
    Shown << planText(Plan.m_Body) << std::endl;
  if (!m_Line.m_Yes && !askOperator())
    return fail(makeCliError(
        ExitCode::Failed, "the plan was not confirmed; nothing has changed",
        fmt::format("to confirm it later: {}", confirmCommand(Plan.m_Body))));
  return confirm(memberOr<std::string>(Plan.m_Body, "id", ""));
}

bool CommandRunner::askOperator() {
  m_Io.m_Error << "Confirm this plan? [y/N] " << std::flush;
  std::string Answer;
  if (!std::getline(m_Io.m_In, Answer))
    m_Io.m_Error << '\n';
  Answer = absl::AsciiStrToLower(Answer);
  return Answer == "y" || Answer == "yes";
}

OperatorReply CommandRunner::collectAudit() {
  Json Records = Json::array();
  std::string After;
  for (std::size_t Page = 0; Page < MaxAuditPages; ++Page) {
    std::string Query;
    if (!m_Line.m_Day.empty())
      Query = fmt::format("?day={}", m_Line.m_Day);
    if (!After.empty())
      Query += fmt::format("{}after={}", Query.empty() ? '?' : '&',
                           percentEncode(After));
    OperatorReply Reply = m_Calls.get(fmt::format("/v1/audit{}", Query));
    if (!Reply.ok())
      return Reply;
    for (Json &Record : memberOr(Reply.m_Body, "records", Json::array()))
      Records.push_back(std::move(Record));
    const std::string Last = memberOr<std::string>(Reply.m_Body, "after", "");
    if (Last.empty() || Last == After)
      break;
    After = Last;
  }
  return {sortedByTime(Records), std::nullopt};
}

ExitCode CommandRunner::runAudit() {
  const OperatorReply Records = collectAudit();
  if (!Records.ok())
    return fail(*Records.m_Error);
  if (m_Line.m_Json)
    printJson(Records.m_Body);
  else
    m_Io.m_Out << auditTable(Records.m_Body);
  return ExitCode::Done;
}

ExitCode CommandRunner::runStatus() {
  const OperatorReply Status = m_Calls.get(StatusPath);
  if (!Status.ok())
    return fail(*Status.m_Error);
  if (m_Line.m_Json)
    printJson(Status.m_Body);
  else
    m_Io.m_Out << statusText(Status.m_Body);
  return ExitCode::Done;
}

ExitCode CommandRunner::runCompletion() {
  m_Io.m_Out << bashCompletion();
  return ExitCode::Done;
}

} // namespace fulmarwinch
