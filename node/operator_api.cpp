#include "node/operator_api.h"

#include "core/error.h"
#include "core/log.h"
#include "node/authenticator.h"
#include "node/error_response.h"
#include "node/status_report.h"
#include "servers/groups/assignment_codec.h"
#include "servers/planning/plan_progress.h"

#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "fmt/format.h"

namespace fulmarwinch {

namespace {

/// Connections, with the requests in progress on them.
constexpr std::size_t MaxConnections = 64;
/// Share of the process's memory for operators' connections and requests.
constexpr double MemoryShare = 0.1;

constexpr const char *ConfirmSuffix = "/confirm";
constexpr const char *AssignmentPrefix = "assignment/";
constexpr std::size_t MaxAuditKeys = 100;
/// Assumed number of accelerators per VM; the platform's VM list does not
/// contain it.
constexpr std::int64_t AcceleratorsPerVm = 8;

/// Builds a summary from several store reads and passes it to m_OnDone after
/// the last one.
struct AssignmentReader {
  AssignmentSummary m_Summary;
  std::size_t m_PendingReads = 0;
  std::function<void(AssignmentSummary)> m_OnDone;

  void addAssignment(const std::string &Text) {
    const absl::StatusOr<Assignment> Value = parseAssignment(Text);
    if (!Value.ok())
      return;
    for (const auto &[Id, Group] : Value->m_Groups) {
      GroupSummary Row;
      Row.m_Group = Id;
      Row.m_Deployment = Group.m_Deployment;
      Row.m_Domain = Value->m_Domain;
      Row.m_Serving = Group.m_State == GroupState::Serving;
      m_Summary.m_Groups.push_back(std::move(Row));
    }
    for (const auto &[Vm, Entry] : Value->m_Vms) {
      VmSummary Row;
      Row.m_Vm = Vm;
      Row.m_Domain = Value->m_Domain;
      Row.m_Group = Entry.m_State == VmState::Assigned ? Entry.m_Group : "";
      Row.m_Accelerators = AcceleratorsPerVm;
      m_Summary.m_Vms.push_back(std::move(Row));
    }
  }

  void finishRead() {
    if (--m_PendingReads == 0)
      m_OnDone(std::move(m_Summary));
  }
};

std::vector<StoreAction> processStoreEvent(PlanConfirmation &Confirmation,
                                           const StoreCompletion &Event,
                                           std::mt19937_64 &Random) {
  const MonotonicTime Now = monotonicNow();
  if (const auto *Get = std::get_if<GetCompleted>(&Event))
    return Confirmation.onGet(*Get, Now, Random);
  return Confirmation.onPut(std::get<WriteCompleted>(Event), Now, Random);
}

} // namespace

const std::array<OperatorApi::Route, 6> OperatorApi::Routes{{
    {"POST", "/v1/intents", false, OperatorRole::Operator,
     &OperatorApi::handleIntent},
    {"GET", "/v1/plans/", true, OperatorRole::Viewer,
     &OperatorApi::handleReadPlan},
    {"POST", "/v1/plans/", true, OperatorRole::Operator,
     &OperatorApi::handleConfirmPlan},
    {"GET", "/v1/configuration", false, OperatorRole::Viewer,
     &OperatorApi::handleConfiguration},
    {"GET", "/v1/status", false, OperatorRole::Viewer,
     &OperatorApi::handleStatus},
    {"GET", "/v1/audit", false, OperatorRole::Viewer,
     &OperatorApi::handleAudit},
}};

OperatorApi::OperatorApi(OperatorApiContext Context, const std::string &Writer)
    : m_Context(std::move(Context)), m_Writer(Writer), m_Audit([&Writer] {
        AuditOptions Options;
        Options.m_Writer = Writer;
        return Options;
      }()) {}

absl::Status OperatorApi::start() {
  HttpServerOptions Options;
  Options.m_Address = m_Context.m_Settings.m_OperatorEndpoint.m_Address;
  Options.m_Port = m_Context.m_Settings.m_OperatorEndpoint.m_Port;
  Options.m_Threads = 1;
  // Of its own, so that clients cannot keep operators and probes away.
  constexpr double BytesPerMb = 1048576.0;
  const auto Bytes = static_cast<std::size_t>(memoryMb(m_Context.m_Settings) *
                                              BytesPerMb * MemoryShare);
  Options.m_Memory->setLimits(Bytes, Bytes);
  Options.m_MaxDescriptors = MaxConnections;
  return m_Server.start(
      Options, [this](const HttpExchangePtr &Exchange) { handle(Exchange); });
}

void OperatorApi::stop(const std::function<void()> &Release) {
  m_Server.stop(Release);
}

void OperatorApi::audit(AuditRecord Record) {
  m_Audit.record(std::move(Record), monotonicNow());
}

void OperatorApi::tick(MonotonicTime Now) {
  const EventHandler OnAudit = [this](const StoreCompletion &Event) {
    const MonotonicTime At = monotonicNow();
    if (const auto *Get = std::get_if<GetCompleted>(&Event))
      return m_Audit.onGet(*Get, At);
    return m_Audit.onPut(std::get<WriteCompleted>(Event), At);
  };
  executeStoreActions(m_Audit.onTick(Now), OnAudit);
  for (auto Entry = m_Confirmations.begin(); Entry != m_Confirmations.end();) {
    if (Entry->m_Confirmation->result()) {
      Entry = m_Confirmations.erase(Entry);
      continue;
    }
    executeStoreActions(Entry->m_Confirmation->onTick(Now), Entry->m_OnEvent);
    ++Entry;
  }
}

void OperatorApi::executeStoreActions(std::vector<StoreAction> Actions,
                                      const EventHandler &OnEvent) {
  for (StoreAction &Action : Actions)
    m_Context.m_Store.start(
        std::move(Action), [this, OnEvent](const StoreCompletion &Event) {
          m_Context.m_ControlThread.post([this, OnEvent, Event] {
            executeStoreActions(OnEvent(Event), OnEvent);
          });
        });
}

void OperatorApi::handle(const HttpExchangePtr &Exchange) {
  if (handleUnauthenticated(Exchange))
    return;
  m_Context.m_ControlThread.post([this, Exchange] { dispatch(Exchange); });
}

bool OperatorApi::handleUnauthenticated(const HttpExchangePtr &Exchange) {
  const std::string &Path = Exchange->request().m_Path;
  if (Path == "/healthz") {
    Exchange->respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    return true;
  }
  if (Path == "/readyz") {
    const bool IsReady = m_Context.m_AcceptsNewWork();
    Exchange->respond({IsReady ? 200 : 503,
                       {{"Content-Type", "text/plain"}},
                       IsReady ? "ready\n" : "not ready\n"});
    return true;
  }
  if (Path == "/metrics") {
    Exchange->respond({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       m_Context.m_Metrics.prometheusText()});
    return true;
  }
  return false;
}

void OperatorApi::dispatch(const HttpExchangePtr &Exchange) {
  const HttpRequest &Http = Exchange->request();
  const absl::StatusOr<Operator> Account =
      authenticateOperator(Http.m_Headers, *m_Context.m_Configuration.view(),
                           m_Context.m_Settings.m_BootstrapKeySha256);
  if (!Account.ok()) {
    refuse(Exchange, Account.status());
    return;
  }
  for (const Route &Candidate : Routes) {
    const bool PathMatches =
        Candidate.m_IsPrefix ? absl::StartsWith(Http.m_Path, Candidate.m_Path)
                             : Http.m_Path == Candidate.m_Path;
    if (!PathMatches || Http.m_Method != Candidate.m_Method)
      continue;
    if (Account->m_Role < Candidate.m_Role) {
      refuse(
          Exchange,
          makeError(ErrorKind::Forbidden,
                    fmt::format("operator {} has the role {}", Account->m_Name,
                                nameOf(OperatorRoleNames, Account->m_Role)),
                    fmt::format("use an account with the role {}",
                                nameOf(OperatorRoleNames, Candidate.m_Role))));
      return;
    }
    const std::string PathSuffix =
        Http.m_Path.substr(std::string_view(Candidate.m_Path).size());
    (this->*Candidate.m_Handler)({Exchange, *Account, PathSuffix});
    return;
  }
  refuse(Exchange, makeError(ErrorKind::NotFound,
                             fmt::format("there is no endpoint {} {}",
                                         Http.m_Method, Http.m_Path),
                             "see docs/operators/intents.md"));
}

void OperatorApi::respond(const Request &Call, const Json &Body) {
  Call.m_Exchange->respond(jsonResponse(200, Body.dump()));
}

void OperatorApi::refuse(const HttpExchangePtr &Exchange,
                         const absl::Status &Reason) {
  Exchange->respond(
      errorHttpResponse({Reason, Outcome::NotRun, Duration{0}, ""}));
}

void OperatorApi::handleIntent(const Request &Call) {
  const absl::StatusOr<Json> Intent =
      parseJson(Call.m_Exchange->request().m_Body, "the intent");
  if (!Intent.ok()) {
    refuse(Call.m_Exchange, Intent.status());
    return;
  }
  readAssignmentSummary(
      [this, Call, Intent = *Intent](AssignmentSummary Summary) {
        makePlan(Call, Intent, Summary);
      });
}

void OperatorApi::readAssignmentSummary(
    std::function<void(AssignmentSummary)> OnDone) {
  const auto Reader = std::make_shared<AssignmentReader>();
  Reader->m_OnDone = [this,
                      OnDone = std::move(OnDone)](AssignmentSummary Summary) {
    addLiveState(Summary);
    OnDone(std::move(Summary));
  };
  m_Context.m_Store.list(
      {AssignmentPrefix, "", 1000}, [this, Reader](const KeysListed &List) {
        m_Context.m_ControlThread.post([this, Reader, List] {
          // The effects of a plan are only an estimate, so a failed read leaves
          // them empty; storing the plan will then fail.
          Reader->m_PendingReads = List.m_Keys.size() + 1;
          for (const StoreKey &Key : List.m_Keys)
            executeStoreActions({GetObject{0, Key.m_Key}},
                                [Reader](const StoreCompletion &Event) {
                                  Reader->addAssignment(
                                      std::get<GetCompleted>(Event).m_Value);
                                  Reader->finishRead();
                                  return std::vector<StoreAction>();
                                });
          Reader->finishRead();
        });
      });
}

void OperatorApi::addLiveState(AssignmentSummary &Summary) const {
  for (VmSummary &Vm : Summary.m_Vms)
    Vm.m_Zone = m_Context.m_GroupControl.zoneOfVm(Vm.m_Vm);
  for (GroupSummary &Group : Summary.m_Groups) {
    const auto ReceivedView =
        m_Context.m_ViewReceiver.groups().find(Group.m_Group);
    if (ReceivedView != m_Context.m_ViewReceiver.groups().end())
      Group.m_RunningRequests =
          static_cast<std::int64_t>(ReceivedView->second.m_View.m_Running);
  }
}

void OperatorApi::makePlan(const Request &Call, const Json &Intent,
                           const AssignmentSummary &Assignment) {
  const PlanRequest PlanMetadata{
      fmt::format("{}-{}", m_Writer, m_NextPlanNumber++),
      Call.m_Operator.m_Name, unixNow()};
  const absl::StatusOr<Plan> NewPlan = Planner::plan(
      Intent, *m_Context.m_Configuration.view(), Assignment, PlanMetadata);
  if (!NewPlan.ok()) {
    refuse(Call.m_Exchange, NewPlan.status());
    return;
  }
  const auto Recorder = std::make_shared<PlanRecorder>(*NewPlan, 1);
  executeStoreActions(
      Recorder->start(),
      [this, Call, Recorder, NewPlan = *NewPlan](const StoreCompletion &Event) {
        const auto *Get = std::get_if<GetCompleted>(&Event);
        std::vector<StoreAction> NextActions =
            Get ? Recorder->onGet(*Get)
                : Recorder->onPut(std::get<WriteCompleted>(Event));
        if (NextActions.empty() && Recorder->result())
          onPlanStored(Call, NewPlan, *Recorder->result());
        return NextActions;
      });
}

void OperatorApi::onPlanStored(const Request &Call, const Plan &NewPlan,
                               const absl::Status &Result) {
  if (!Result.ok()) {
    refuse(Call.m_Exchange, Result);
    return;
  }
  audit({NewPlan.m_Operator, unixNow(), "plan", "", "", NewPlan.m_Id});
  respond(Call, toJson(NewPlan));
}

void OperatorApi::handleConfirmPlan(const Request &Call) {
  if (!absl::EndsWith(Call.m_PathSuffix, ConfirmSuffix)) {
    refuse(Call.m_Exchange,
           makeError(ErrorKind::NotFound, "there is no such endpoint",
                     "use POST /v1/plans/<id>/confirm"));
    return;
  }
  ConfigurationWriterOptions Options;
  Options.m_Writer = m_Writer;
  ConfirmRequest ConfirmInput;
  ConfirmInput.m_PlanId =
      std::string(absl::StripSuffix(Call.m_PathSuffix, ConfirmSuffix));
  ConfirmInput.m_Operator = Call.m_Operator.m_Name;
  ConfirmInput.m_Time = unixNow();
  const auto Confirmation = std::make_shared<PlanConfirmation>(
      Options, ConfirmInput, m_Context.m_Configuration.view());
  const auto IsAnswered = std::make_shared<bool>(false);
  const EventHandler OnEvent = [this, Call, Confirmation,
                                IsAnswered](const StoreCompletion &Event) {
    std::vector<StoreAction> NextActions =
        processStoreEvent(*Confirmation, Event, m_Random);
    if (Confirmation->result() && !*IsAnswered) {
      *IsAnswered = true;
      onConfirmed(Call, *Confirmation);
    }
    return NextActions;
  };
  m_Confirmations.push_back({Confirmation, OnEvent});
  executeStoreActions(Confirmation->start(monotonicNow()), OnEvent);
}

void OperatorApi::onConfirmed(const Request &Call,
                              const PlanConfirmation &Confirmation) {
  const std::string PlanId =
      Confirmation.plan() ? Confirmation.plan()->m_Id : Call.m_PathSuffix;
  const absl::StatusOr<ConfigurationRevision> &Result = *Confirmation.result();
  if (!Result.ok()) {
    audit({Call.m_Operator.m_Name, unixNow(), "confirm refused", "",
           std::string(Result.status().message()), PlanId});
    refuse(Call.m_Exchange, Result.status());
    return;
  }
  if (const std::optional<ConfigurationChange> Accepted =
          Confirmation.acceptedChange())
    m_Context.m_Configuration.applyCommitted(*Accepted);
  for (const PlannedEntry &Entry : Confirmation.plan()->m_Entries)
    audit({Call.m_Operator.m_Name, unixNow(), "change " + toText(Entry.m_Id),
           Entry.m_TextBefore, Entry.m_TextAfter, PlanId});
  respond(Call, {{"plan", PlanId}, {"revision", *Result}});
}

void OperatorApi::handleReadPlan(const Request &Call) {
  executeStoreActions(
      {GetObject{0, planKey(Call.m_PathSuffix)}},
      [this, Call](const StoreCompletion &Event) {
        const auto &Read = std::get<GetCompleted>(Event);
        if (Read.m_Outcome != StoreOutcome::Succeeded) {
          const bool IsMissing = Read.m_Outcome == StoreOutcome::NotFound;
          refuse(
              Call.m_Exchange,
              makeError(
                  IsMissing ? ErrorKind::NotFound : ErrorKind::StoreUnavailable,
                  fmt::format("plan {} could not be read", Call.m_PathSuffix),
                  IsMissing ? "correct the plan ID" : "try again later"));
          return std::vector<StoreAction>();
        }
        const absl::StatusOr<Plan> Stored = decodePlan(Read.m_Value);
        if (!Stored.ok()) {
          refuse(Call.m_Exchange, Stored.status());
          return std::vector<StoreAction>();
        }
        Json Body = toJson(*Stored);
        const std::optional<ConfigurationRevision> Revision =
            m_Context.m_Configuration.view()->revisionOfPlan(Stored->m_Id);
        Body["accepted"] = Revision.has_value();
        if (Revision)
          Body["progress"] = toJson(planProgress(
              *Revision, m_Context.m_Configuration.revisionsByNode()));
        respond(Call, Body);
        return std::vector<StoreAction>();
      });
}

void OperatorApi::handleConfiguration(const Request &Call) {
  const ConfigurationView &View = *m_Context.m_Configuration.view();
  Json Entries = Json::array();
  for (const auto &[Id, Entry] : View.entries()) {
    if (!Entry.m_Content)
      continue;
    Json Row = Json::parse(Entry.m_Content->m_JsonText, nullptr, false);
    // Operators do not need the hashes of keys, so these are not shown.
    Row.erase("apiKeySha256");
    Row.erase("keySha256");
    Entries.push_back({{"entry", Row},
                       {"revision", Entry.m_Revision},
                       {"plan", Entry.m_PlanId},
                       {"operator", Entry.m_Operator}});
  }
  respond(Call, {{"revision", View.revision()}, {"entries", Entries}});
}

void OperatorApi::handleStatus(const Request &Call) {
  respond(Call, statusJson(monotonicNow()));
}

Json OperatorApi::statusJson(MonotonicTime Now) const {
  const StatusSources Sources{m_Context.m_ViewReceiver.groups(),
                              m_Context.m_Peers.membership().table().members(),
                              *m_Context.m_Configuration.view(),
                              m_Context.m_Configuration.freshness(Now), Now};
  Json Nodes = Json::array();
  const auto Revisions = m_Context.m_Configuration.revisionsByNode();
  for (const auto &[Id, Member] :
       m_Context.m_Peers.membership().table().members()) {
    const auto Revision = Revisions.find(Id);
    Nodes.push_back(
        {{"node", Id},
         {"zone", Member.m_Zone},
         {"state", nameOf(MemberStateNames, Member.m_State)},
         {"revision", Revision == Revisions.end() ? 0 : Revision->second}});
  }
  return {{"node", m_Context.m_Settings.m_Node},
          {"ready", m_Context.m_AcceptsNewWork()},
          {"revision", m_Context.m_Configuration.view()->revision()},
          {"configuration",
           nameOf(FreshnessNames, m_Context.m_Configuration.freshness(Now))},
          {"held_shards", m_Context.m_GroupControl.heldShards(Now)},
          {"nodes", Nodes},
          {"groups", statusGroups(Sources)},
          {"problems", statusProblems(Sources)}};
}

void OperatorApi::handleAudit(const Request &Call) {
  const HttpRequest &Http = Call.m_Exchange->request();
  const std::string Day =
      queryParameter(Http, "day").value_or(auditDay(unixNow()));
  const std::string After = queryParameter(Http, "after").value_or("");
  struct AuditResponse {
    Json m_Records = Json::array();
    std::string m_LastKey;
    std::size_t m_PendingReads = 0;
    bool m_HasMore = false;
  };
  const auto Read = std::make_shared<AuditResponse>();
  const auto FinishRead = [this, Call, Read] {
    if (--Read->m_PendingReads == 0)
      respond(Call, {{"records", Read->m_Records},
                     {"after", Read->m_HasMore ? Read->m_LastKey : ""}});
  };
  m_Context.m_Store.list(
      {fmt::format("audit/{}/", Day), After, MaxAuditKeys},
      [this, Read, FinishRead](const KeysListed &List) {
        m_Context.m_ControlThread.post([this, Read, FinishRead, List] {
          Read->m_PendingReads = List.m_Keys.size() + 1;
          Read->m_HasMore = List.m_HasMore;
          for (const StoreKey &Key : List.m_Keys) {
            Read->m_LastKey = Key.m_Key;
            executeStoreActions(
                {GetObject{0, Key.m_Key}},
                [Read, FinishRead](const StoreCompletion &Event) {
                  const absl::StatusOr<AuditPage> Page =
                      decodePage(std::get<GetCompleted>(Event).m_Value);
                  if (Page.ok())
                    for (const AuditRecord &Record : Page->m_Records)
                      Read->m_Records.push_back(toJson(Record));
                  FinishRead();
                  return std::vector<StoreAction>();
                });
          }
          FinishRead();
        });
      });
}

} // namespace fulmarwinch
