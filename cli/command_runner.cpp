#include "cli/command_runner.h"

#include "cli/audit_text.h"
#include "cli/completion.h"
#include "cli/entry_text.h"
#include "cli/plan_text.h"
#include "cli/status_change_detector.h"
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

/// Poll interval of the status. Nodes ping each other twice a second, so
/// polling more often would show few additional changes.
constexpr Duration PollPeriod = std::chrono::seconds(1);
constexpr const char *StatusPath = "/v1/status";
constexpr const char *ConfigurationPath = "/v1/configuration";
/// Maximum number of pages read from the audit trail, so that the command ends
/// even if a faulty server returns the same pages repeatedly.
constexpr std::size_t MaxAuditPages = 10000;

std::string planPath(const std::string &PlanId) {
  return fmt::format("/v1/plans/{}", percentEncode(PlanId));
}

std::string confirmCommand(const Json &Plan) {
  return fmt::format("fulmarwinch confirm {}",
                     fieldOr<std::string>(Plan, "id", ""));
}

CliError unknownKind(const std::string &Kind) {
  return makeCliError(ExitCode::Usage, fmt::format("unknown kind '{}'", Kind),
                      "see fulmarwinch get --help");
}

} // namespace

const std::array<CommandRunner::HandlerEntry, 10> CommandRunner::Handlers{{
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

CommandRunner::CommandRunner(CommandIo Io, OperatorApiClient &Api,
                             const CommandLine &Line)
    : m_Io(std::move(Io)), m_Api(Api), m_CommandLine(Line) {}

ExitCode CommandRunner::run() {
  for (const HandlerEntry &Candidate : Handlers)
    if (Candidate.m_Command == m_CommandLine.m_Command)
      return (this->*Candidate.m_Handler)();
  return ExitCode::Usage;
}

ExitCode CommandRunner::reportError(const CliError &Error) {
  printError(m_Io.m_ErrorOutput, Error, m_CommandLine.m_JsonOutput);
  return Error.m_Code;
}

void CommandRunner::printJson(const Json &Object) {
  m_Io.m_Output << Object.dump(-1, ' ', false, Json::error_handler_t::replace)
                << std::endl;
}

ExitCode CommandRunner::runPlan() {
  std::ifstream File(m_CommandLine.m_Argument);
  std::ostringstream Intent;
  Intent << File.rdbuf();
  if (!File)
    return reportError(makeCliError(
        ExitCode::Usage,
        fmt::format("cannot read the file {}", m_CommandLine.m_Argument),
        "check the path and that the file is not empty"));
  const OperatorResponse Plan = m_Api.post("/v1/intents", Intent.str());
  if (!Plan.ok())
    return reportError(*Plan.m_Error);
  if (m_CommandLine.m_JsonOutput)
    printJson(Plan.m_Body);
  else
    m_Io.m_Output << planText(Plan.m_Body) << "\nNothing has changed yet. "
                  << "Confirm the plan with:\n  " << confirmCommand(Plan.m_Body)
                  << '\n';
  return ExitCode::Done;
}

ExitCode CommandRunner::runConfirm() {
  if (!m_CommandLine.m_WaitUntilApplied)
    return confirm(m_CommandLine.m_Argument);
  const OperatorResponse Plan = m_Api.get(planPath(m_CommandLine.m_Argument));
  if (!Plan.ok())
    return reportError(*Plan.m_Error);
  const OperatorResponse Status = m_Api.get(StatusPath);
  if (!Status.ok())
    return reportError(*Status.m_Error);
  const PlanTracker Tracker(Plan.m_Body, Status.m_Body);
  const ExitCode Code = confirm(m_CommandLine.m_Argument);
  return Code == ExitCode::Done ? waitForPlan(m_CommandLine.m_Argument, Tracker)
                                : Code;
}

ExitCode CommandRunner::confirm(const std::string &PlanId) {
  const OperatorResponse Response =
      m_Api.post(fmt::format("{}/confirm", planPath(PlanId)), "");
  if (!Response.ok())
    return reportError(*Response.m_Error);
  if (m_CommandLine.m_JsonOutput)
    printJson(Response.m_Body);
  else
    m_Io.m_Output << fmt::format(
                         "plan {} is accepted as revision {}", PlanId,
                         fieldOr<std::int64_t>(Response.m_Body, "revision", 0))
                  << std::endl;
  return ExitCode::Done;
}

ExitCode CommandRunner::waitForPlan(const std::string &PlanId,
                                    const PlanTracker &Tracker) {
  const MonotonicTime Deadline =
      m_Io.m_Now() + std::chrono::seconds(m_CommandLine.m_WaitTimeoutSeconds);
  std::string LastText;
  while (true) {
    const OperatorResponse Plan = m_Api.get(planPath(PlanId));
    const OperatorResponse Status =
        Plan.ok() ? m_Api.get(StatusPath) : OperatorResponse();
    // If either request failed, the next poll retries it.
    if (Plan.ok() && Status.ok()) {
      const PlanRolloutProgress Progress =
          Tracker.progress(Plan.m_Body, Status.m_Body);
      const std::string Text = toText(Progress);
      if (Text != LastText && m_CommandLine.m_JsonOutput)
        printJson(toJson(Progress));
      else if (Text != LastText)
        m_Io.m_Output << Text << std::endl;
      LastText = Text;
      if (Progress.isDone())
        return ExitCode::Done;
    }
    if (m_Io.m_Now() >= Deadline || !m_Io.m_Sleep(PollPeriod)) {
      if (!Plan.ok())
        return reportError(*Plan.m_Error);
      if (!Status.ok())
        return reportError(*Status.m_Error);
      return reportError(makeCliError(
          ExitCode::Failed,
          fmt::format("plan {} is accepted but not carried out after {} s",
                      PlanId, m_CommandLine.m_WaitTimeoutSeconds),
          "see fulmarwinch status; run the same command again to keep "
          "waiting"));
    }
  }
}

ExitCode CommandRunner::runGet() {
  const std::string &Kind = m_CommandLine.m_Argument;
  if (!Kind.empty() && !isEntryKind(Kind) && !isStatusKind(Kind))
    return reportError(unknownKind(Kind));
  const bool IsFromStatus = isStatusKind(Kind);
  const OperatorResponse Response =
      m_Api.get(IsFromStatus ? StatusPath : ConfigurationPath);
  if (!Response.ok())
    return reportError(*Response.m_Error);
  if (IsFromStatus) {
    const std::string List = Kind + "s";
    if (m_CommandLine.m_JsonOutput)
      printJson(fieldOr(Response.m_Body, List.c_str(), Json::array()));
    else
      m_Io.m_Output << (Kind == "group" ? groupTable(Response.m_Body)
                                        : nodeTable(Response.m_Body));
    return ExitCode::Done;
  }
  const Json Entries = entriesOfKind(Response.m_Body, Kind);
  if (m_CommandLine.m_JsonOutput)
    printJson(Entries);
  else
    m_Io.m_Output << entryTable(Entries);
  return ExitCode::Done;
}

ExitCode CommandRunner::runDescribe() {
  const auto KindAndName = splitEntryName(m_CommandLine.m_Argument);
  if (!KindAndName)
    return reportError(
        makeCliError(ExitCode::Usage,
                     fmt::format("'{}' is not of the form KIND/NAME",
                                 m_CommandLine.m_Argument),
                     "specify an entry such as zone/uy-south-a"));
  const auto &[Kind, Name] = *KindAndName;
  if (!isEntryKind(Kind) && !isStatusKind(Kind))
    return reportError(unknownKind(Kind));
  const OperatorResponse Response =
      m_Api.get(isStatusKind(Kind) ? StatusPath : ConfigurationPath);
  if (!Response.ok())
    return reportError(*Response.m_Error);
  const Json Found = isStatusKind(Kind)
                         ? findStatusItem(Response.m_Body, Kind, Name)
                         : findEntry(Response.m_Body, Kind, Name);
  if (Found.is_null())
    return reportError(
        {ExitCode::Failed, "not_found",
         fmt::format("{} does not exist", m_CommandLine.m_Argument),
         fmt::format("see fulmarwinch get {}", Kind)});
  if (m_CommandLine.m_JsonOutput) {
    printJson(Found);
    return ExitCode::Done;
  }
  if (isStatusKind(Kind)) {
    m_Io.m_Output << keyValueLines(Found);
    return ExitCode::Done;
  }
  Json LastChange = Found;
  LastChange.erase("entry");
  m_Io.m_Output << keyValueLines(Found["entry"]) << "\nLast change\n"
                << keyValueLines(LastChange);
  return ExitCode::Done;
}

ExitCode CommandRunner::runWatch() {
  StatusChangeDetector Detector;
  bool HasEverResponded = false;
  bool IsResponding = false;
  do {
    const OperatorResponse Status = m_Api.get(StatusPath);
    // Only a failure of the first request ends the command. Later failures are
    // printed once per outage, since operators run `watch` while nodes are
    // replaced.
    if (!Status.ok() && !HasEverResponded)
      return reportError(*Status.m_Error);
    if (!Status.ok() && IsResponding)
      reportError(*Status.m_Error);
    IsResponding = Status.ok();
    HasEverResponded = true;
    if (!IsResponding)
      continue;
    const UnixSeconds Time = unixNow();
    for (const StatusChange &Change : Detector.update(Status.m_Body)) {
      Json ChangeJson = toJson(Change);
      ChangeJson["time"] = Time;
      if (m_CommandLine.m_JsonOutput)
        printJson(ChangeJson);
      else
        m_Io.m_Output << formatUtcTime(Time) << ' ' << toText(Change)
                      << std::endl;
    }
  } while (m_Io.m_Sleep(PollPeriod));
  return ExitCode::Done;
}

ExitCode CommandRunner::runZone() {
  const Json Entry = {{"kind", "zone"},
                      {"name", m_CommandLine.m_Argument},
                      {"inService", !m_CommandLine.m_IsZoneOut}};
  return planAndConfirm({{"entries", Json::array({Entry})}});
}

ExitCode CommandRunner::runDrain() {
  Json Entry = {{"kind", "vm_drain"}, {"name", m_CommandLine.m_Argument}};
  if (m_CommandLine.m_UndoDrain)
    Entry["remove"] = true;
  return planAndConfirm({{"entries", Json::array({Entry})}});
}

ExitCode CommandRunner::planAndConfirm(const Json &Intent) {
  const OperatorResponse Plan =
      m_Api.post("/v1/intents",
                 Intent.dump(-1, ' ', false, Json::error_handler_t::replace));
  if (!Plan.ok())
    return reportError(*Plan.m_Error);
  // With JSON output the plan goes to the error output, like the prompt, so
  // that standard output contains only the JSON object of the confirmation.
  std::ostream &PlanOutput =
      m_CommandLine.m_JsonOutput ? m_Io.m_ErrorOutput : m_Io.m_Output;
  if (!m_CommandLine.m_JsonOutput || !m_CommandLine.m_SkipPrompt)
    PlanOutput << planText(Plan.m_Body) << std::endl;
  if (!m_CommandLine.m_SkipPrompt && !promptForConfirmation())
    return reportError(makeCliError(
        ExitCode::Failed,
        "the plan was not confirmed; the configuration is unchanged",
        fmt::format("to confirm the plan later, run: {}",
                    confirmCommand(Plan.m_Body))));
  return confirm(fieldOr<std::string>(Plan.m_Body, "id", ""));
}

bool CommandRunner::promptForConfirmation() {
  m_Io.m_ErrorOutput << "Confirm this plan? [y/N] " << std::flush;
  std::string Answer;
  if (!std::getline(m_Io.m_Input, Answer))
    m_Io.m_ErrorOutput << '\n';
  Answer = absl::AsciiStrToLower(Answer);
  return Answer == "y" || Answer == "yes";
}

OperatorResponse CommandRunner::fetchAuditTrail() {
  Json Records = Json::array();
  std::string Cursor;
  for (std::size_t Page = 0; Page < MaxAuditPages; ++Page) {
    std::string Query;
    if (!m_CommandLine.m_AuditDay.empty())
      Query = fmt::format("?day={}", m_CommandLine.m_AuditDay);
    if (!Cursor.empty())
      Query += fmt::format("{}after={}", Query.empty() ? '?' : '&',
                           percentEncode(Cursor));
    OperatorResponse Response = m_Api.get(fmt::format("/v1/audit{}", Query));
    if (!Response.ok())
      return Response;
    for (Json &Record : fieldOr(Response.m_Body, "records", Json::array()))
      Records.push_back(std::move(Record));
    const std::string NextCursor =
        fieldOr<std::string>(Response.m_Body, "after", "");
    if (NextCursor.empty() || NextCursor == Cursor)
      break;
    Cursor = NextCursor;
  }
  return {sortedByTime(Records), std::nullopt};
}

ExitCode CommandRunner::runAudit() {
  const OperatorResponse Records = fetchAuditTrail();
  if (!Records.ok())
    return reportError(*Records.m_Error);
  if (m_CommandLine.m_JsonOutput)
    printJson(Records.m_Body);
  else
    m_Io.m_Output << auditTable(Records.m_Body);
  return ExitCode::Done;
}

ExitCode CommandRunner::runStatus() {
  const OperatorResponse Status = m_Api.get(StatusPath);
  if (!Status.ok())
    return reportError(*Status.m_Error);
  if (m_CommandLine.m_JsonOutput)
    printJson(Status.m_Body);
  else
    m_Io.m_Output << statusText(Status.m_Body);
  return ExitCode::Done;
}

ExitCode CommandRunner::runCompletion() {
  m_Io.m_Output << bashCompletion();
  return ExitCode::Done;
}

} // namespace fulmarwinch
