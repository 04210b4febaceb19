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

constexpr const char *ConfirmSuffix = "/confirm";
constexpr const char *AssignmentPrefix = "assignment/";
constexpr std::size_t MaxAuditKeys = 100;
/// Accelerators of one VM, until the platform's list tells them.
constexpr std::int64_t AcceleratorsPerVm = 8;

/// Collects the answers to several reads and ends when the last has arrived.
struct AssignmentReader {
  AssignmentSummary m_Summary;
  std::size_t m_Remaining = 0;
  std::function<void(AssignmentSummary)> m_Done;

  void add(const std::string &Text) {
    const absl::StatusOr<Assignment> Value = parseAssignment(Text);
    if (!Value.ok())
      return;
    for (const auto &[Id, Group] : Value->m_Groups) {
      SummaryGroup Row;
      Row.m_Group = Id;
      Row.m_Deployment = Group.m_Deployment;
      Row.m_Domain = Value->m_Domain;
      Row.m_Serving = Group.m_State == GroupState::Serving;
      m_Summary.m_Groups.push_back(std::move(Row));
    }
    for (const auto &[Vm, Entry] : Value->m_Vms) {
      SummaryVm Row;
      Row.m_Vm = Vm;
      Row.m_Domain = Value->m_Domain;
      Row.m_Group = Entry.m_State == VmState::Assigned ? Entry.m_Group : "";
      Row.m_Accelerators = AcceleratorsPerVm;
      m_Summary.m_Vms.push_back(std::move(Row));
    }
  }

  void end() {
    if (--m_Remaining == 0)
      m_Done(std::move(m_Summary));
  }
};

std::vector<StoreAction> startFlow(PlanConfirmation &Flow,
                                   const StoreCompletion &Event,
                                   std::mt19937_64 &Random) {
  const MonotonicTime Now = monotonicNow();
  if (const auto *Get = std::get_if<GetCompleted>(&Event))
    return Flow.onGet(*Get, Now, Random);
  return Flow.onPut(std::get<PutCompleted>(Event), Now, Random);
}

} // namespace

const std::array<OperatorApi::Route, 6> OperatorApi::Routes{{
    {"POST", "/v1/intents", false, OperatorRole::Operator,
     &OperatorApi::handleIntent},
    {"GET", "/v1/plans/", true, OperatorRole::Viewer, &OperatorApi::handlePlan},
    {"POST", "/v1/plans/", true, OperatorRole::Operator,
     &OperatorApi::handleConfirm},
    {"GET", "/v1/configuration", false, OperatorRole::Viewer,
     &OperatorApi::handleConfiguration},
    {"GET", "/v1/status", false, OperatorRole::Viewer,
     &OperatorApi::handleStatus},
    {"GET", "/v1/audit", false, OperatorRole::Viewer,
     &OperatorApi::handleAudit},
}};

OperatorApi::OperatorApi(OperatorApiParts Parts, const std::string &Writer)
    : m_Parts(std::move(Parts)), m_Writer(Writer), m_Audit([&Writer] {
        AuditOptions Options;
        Options.m_Writer = Writer;
        return Options;
      }()) {}

absl::Status OperatorApi::start() {
  HttpServerOptions Options;
  Options.m_Address = m_Parts.m_Settings.m_OperatorEndpoint.m_Address;
  Options.m_Port = m_Parts.m_Settings.m_OperatorEndpoint.m_Port;
  Options.m_Threads = 1;
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
    return m_Audit.onPut(std::get<PutCompleted>(Event), At);
  };
  run(m_Audit.onTick(Now), OnAudit);
  for (auto Entry = m_Confirmations.begin(); Entry != m_Confirmations.end();) {
    if (Entry->m_Flow->result()) {
      Entry = m_Confirmations.erase(Entry);
      continue;
    }
    run(Entry->m_Flow->onTick(Now), Entry->m_OnEvent);
    ++Entry;
  }
}

void OperatorApi::run(std::vector<StoreAction> Actions,
                      const EventHandler &OnEvent) {
  for (StoreAction &Action : Actions)
    m_Parts.m_Store.start(std::move(Action),
                          [this, OnEvent](const StoreCompletion &Event) {
                            m_Parts.m_Control.post([this, OnEvent, Event] {
                              run(OnEvent(Event), OnEvent);
                            });
                          });
}

void OperatorApi::handle(const HttpExchangePtr &Exchange) {
  if (handleOpen(Exchange))
    return;
  m_Parts.m_Control.post([this, Exchange] { dispatch(Exchange); });
}

bool OperatorApi::handleOpen(const HttpExchangePtr &Exchange) {
  const std::string &Path = Exchange->request().m_Path;
  if (Path == "/healthz") {
    Exchange->respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    return true;
  }
  if (Path == "/readyz") {
    const bool IsReady = m_Parts.m_IsReady();
    Exchange->respond({IsReady ? 200 : 503,
                       {{"Content-Type", "text/plain"}},
                       IsReady ? "ready\n" : "not ready\n"});
    return true;
  }
  if (Path == "/metrics") {
    Exchange->respond({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       m_Parts.m_Metrics.prometheusText()});
    return true;
  }
  return false;
}

void OperatorApi::dispatch(const HttpExchangePtr &Exchange) {
  const HttpRequest &Http = Exchange->request();
  const absl::StatusOr<Operator> Account =
      authenticateOperator(Http.m_Headers, *m_Parts.m_Configuration.view(),
                           m_Parts.m_Settings.m_BootstrapKeySha256);
  if (!Account.ok()) {
    refuse(Exchange, Account.status());
    return;
  }
  for (const Route &Candidate : Routes) {
    const bool Matches = Candidate.m_IsPrefix
                             ? absl::StartsWith(Http.m_Path, Candidate.m_Path)
                             : Http.m_Path == Candidate.m_Path;
    if (!Matches || Http.m_Method != Candidate.m_Method)
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
    const std::string Rest =
        Http.m_Path.substr(std::string_view(Candidate.m_Path).size());
    (this->*Candidate.m_Handler)({Exchange, *Account, Rest});
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
  readAssignments([this, Call, Intent = *Intent](AssignmentSummary Summary) {
    makePlan(Call, Intent, Summary);
  });
}

void OperatorApi::readAssignments(std::function<void(AssignmentSummary)> Done) {
  const auto Reader = std::make_shared<AssignmentReader>();
  Reader->m_Done = [this, Done = std::move(Done)](AssignmentSummary Summary) {
    addLiveFigures(Summary);
    Done(std::move(Summary));
  };
  m_Parts.m_Store.list(
      {AssignmentPrefix, "", 1000}, [this, Reader](const KeysListed &List) {
        m_Parts.m_Control.post([this, Reader, List] {
          // The effects of a plan are an estimate, so a store that cannot be
          // read only makes it empty; storing the plan will then fail.
          Reader->m_Remaining = List.m_Keys.size() + 1;
          for (const StoreKey &Key : List.m_Keys)
            run({GetObject{0, Key.m_Key}},
                [Reader](const StoreCompletion &Event) {
                  Reader->add(std::get<GetCompleted>(Event).m_Value);
                  Reader->end();
                  return std::vector<StoreAction>();
                });
          Reader->end();
        });
      });
}

void OperatorApi::addLiveFigures(AssignmentSummary &Summary) const {
  for (SummaryVm &Vm : Summary.m_Vms)
    Vm.m_Zone = m_Parts.m_Groups.zoneOfVm(Vm.m_Vm);
  for (SummaryGroup &Group : Summary.m_Groups) {
    const auto Known = m_Parts.m_Views.groups().find(Group.m_Group);
    if (Known != m_Parts.m_Views.groups().end())
      Group.m_RunningRequests =
          static_cast<std::int64_t>(Known->second.m_View.m_Running);
  }
}

void OperatorApi::makePlan(const Request &Call, const Json &Intent,
                           const AssignmentSummary &Assignment) {
  const PlanRequest Wanted{fmt::format("{}-{}", m_Writer, m_NextPlan++),
                           Call.m_Operator.m_Name, unixNow()};
  const absl::StatusOr<Plan> Made = Planner::plan(
      Intent, *m_Parts.m_Configuration.view(), Assignment, Wanted);
  if (!Made.ok()) {
    refuse(Call.m_Exchange, Made.status());
    return;
  }
  const auto Recorder = std::make_shared<PlanRecorder>(*Made, 1);
  run(Recorder->start(),
      [this, Call, Recorder, Made = *Made](const StoreCompletion &Event) {
        const auto *Get = std::get_if<GetCompleted>(&Event);
        std::vector<StoreAction> Next =
            Get ? Recorder->onGet(*Get)
                : Recorder->onPut(std::get<PutCompleted>(Event));
        if (Next.empty() && Recorder->result())
          onPlanStored(Call, Made, *Recorder->result());
        return Next;
      });
}

void OperatorApi::onPlanStored(const Request &Call, const Plan &Made,
                               const absl::Status &Result) {
  if (!Result.ok()) {
    refuse(Call.m_Exchange, Result);
    return;
  }
  audit({Made.m_Operator, unixNow(), "plan", "", "", Made.m_Id});
  respond(Call, toJson(Made));
}

void OperatorApi::handleConfirm(const Request &Call) {
  if (!absl::EndsWith(Call.m_Rest, ConfirmSuffix)) {
    refuse(Call.m_Exchange,
           makeError(ErrorKind::NotFound, "there is no such endpoint",
                     "use POST /v1/plans/<id>/confirm"));
    return;
  }
  WriterOptions Options;
  Options.m_Writer = m_Writer;
  ConfirmRequest Confirm;
  Confirm.m_PlanId = std::string(absl::StripSuffix(Call.m_Rest, ConfirmSuffix));
  Confirm.m_Operator = Call.m_Operator.m_Name;
  Confirm.m_Time = unixNow();
  const auto Flow = std::make_shared<PlanConfirmation>(
      Options, Confirm, m_Parts.m_Configuration.view());
  const auto IsAnswered = std::make_shared<bool>(false);
  const EventHandler OnEvent = [this, Call, Flow,
                                IsAnswered](const StoreCompletion &Event) {
    std::vector<StoreAction> Next = startFlow(*Flow, Event, m_Random);
    if (Flow->result() && !*IsAnswered) {
      *IsAnswered = true;
      onConfirmed(Call, *Flow);
    }
    return Next;
  };
  m_Confirmations.push_back({Flow, OnEvent});
  run(Flow->start(monotonicNow()), OnEvent);
}

void OperatorApi::onConfirmed(const Request &Call,
                              const PlanConfirmation &Flow) {
  const std::string PlanId = Flow.plan() ? Flow.plan()->m_Id : Call.m_Rest;
  const absl::StatusOr<ConfigurationRevision> &Result = *Flow.result();
  if (!Result.ok()) {
    audit({Call.m_Operator.m_Name, unixNow(), "confirm refused", "",
           std::string(Result.status().message()), PlanId});
    refuse(Call.m_Exchange, Result.status());
    return;
  }
  if (const std::optional<ConfigurationChange> Accepted = Flow.accepted())
    m_Parts.m_Configuration.onAccepted(*Accepted);
  for (const PlannedEntry &Entry : Flow.plan()->m_Entries)
    audit({Call.m_Operator.m_Name, unixNow(), "change " + toText(Entry.m_Id),
           Entry.m_Before, Entry.m_After, PlanId});
  respond(Call, {{"plan", PlanId}, {"revision", *Result}});
}

void OperatorApi::handlePlan(const Request &Call) {
  run({GetObject{0, planKey(Call.m_Rest)}}, [this, Call](
                                                const StoreCompletion &Event) {
    const auto &Read = std::get<GetCompleted>(Event);
    if (Read.m_Outcome != StoreOutcome::Applied) {
      const bool IsMissing = Read.m_Outcome == StoreOutcome::NotFound;
      refuse(Call.m_Exchange,
             makeError(IsMissing ? ErrorKind::NotFound
                                 : ErrorKind::StoreUnavailable,
                       fmt::format("plan {} could not be read", Call.m_Rest),
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
        m_Parts.m_Configuration.view()->revisionOfPlan(Stored->m_Id);
    Body["accepted"] = Revision.has_value();
    if (Revision)
      Body["progress"] = toJson(
          progressOf(*Revision, m_Parts.m_Configuration.knownRevisions()));
    respond(Call, Body);
    return std::vector<StoreAction>();
  });
}

void OperatorApi::handleConfiguration(const Request &Call) {
  const ConfigurationView &View = *m_Parts.m_Configuration.view();
  Json Entries = Json::array();
  for (const auto &[Id, Entry] : View.entries()) {
    if (!Entry.m_Content)
      continue;
    Json Row = Json::parse(Entry.m_Content->m_Text, nullptr, false);
    // Hashes of keys are of no use to readers and need not be shown.
    Row.erase("apiKeySha256");
    Row.erase("keySha256");
    Entries.push_back({{"entry", Row},
                       {"revision", Entry.m_Revision},
                       {"plan", Entry.m_Plan},
                       {"operator", Entry.m_Operator}});
  }
  respond(Call, {{"revision", View.revision()}, {"entries", Entries}});
}

void OperatorApi::handleStatus(const Request &Call) {
  respond(Call, statusJson(monotonicNow()));
}

Json OperatorApi::statusJson(MonotonicTime Now) const {
  const StatusSources Sources{m_Parts.m_Views.groups(),
                              m_Parts.m_Peers.membership().table().members(),
                              *m_Parts.m_Configuration.view(),
                              m_Parts.m_Configuration.freshness(Now), Now};
  Json Nodes = Json::array();
  const auto Revisions = m_Parts.m_Configuration.knownRevisions();
  for (const auto &[Id, Member] :
       m_Parts.m_Peers.membership().table().members()) {
    const auto Revision = Revisions.find(Id);
    Nodes.push_back(
        {{"node", Id},
         {"zone", Member.m_Zone},
         {"state", nameOf(MemberStateNames, Member.m_State)},
         {"revision", Revision == Revisions.end() ? 0 : Revision->second}});
  }
  return {{"node", m_Parts.m_Settings.m_Node},
          {"ready", m_Parts.m_IsReady()},
          {"revision", m_Parts.m_Configuration.view()->revision()},
          {"configuration",
           nameOf(FreshnessNames, m_Parts.m_Configuration.freshness(Now))},
          {"held_shards", m_Parts.m_Groups.heldShards(Now)},
          {"nodes", Nodes},
          {"groups", statusGroups(Sources)},
          {"problems", statusProblems(Sources)}};
}

void OperatorApi::handleAudit(const Request &Call) {
  const HttpRequest &Http = Call.m_Exchange->request();
  const std::string Day =
      queryParameter(Http, "day").value_or(auditDay(unixNow()));
  const std::string After = queryParameter(Http, "after").value_or("");
  struct Pages {
    Json m_Records = Json::array();
    std::string m_Last;
    std::size_t m_Remaining = 0;
    bool m_HasMore = false;
  };
  const auto Read = std::make_shared<Pages>();
  const auto Finish = [this, Call, Read] {
    if (--Read->m_Remaining == 0)
      respond(Call, {{"records", Read->m_Records},
                     {"after", Read->m_HasMore ? Read->m_Last : ""}});
  };
  m_Parts.m_Store.list(
      {fmt::format("audit/{}/", Day), After, MaxAuditKeys},
      [this, Read, Finish](const KeysListed &List) {
        m_Parts.m_Control.post([this, Read, Finish, List] {
          Read->m_Remaining = List.m_Keys.size() + 1;
          Read->m_HasMore = List.m_HasMore;
          for (const StoreKey &Key : List.m_Keys) {
            Read->m_Last = Key.m_Key;
            run({GetObject{0, Key.m_Key}},
                [Read, Finish](const StoreCompletion &Event) {
                  const absl::StatusOr<AuditPage> Page =
                      decodePage(std::get<GetCompleted>(Event).m_Value);
                  if (Page.ok())
                    for (const AuditRecord &Record : Page->m_Records)
                      Read->m_Records.push_back(toJson(Record));
                  Finish();
                  return std::vector<StoreAction>();
                });
          }
          Finish();
        });
      });
}

} // namespace fulmarwinch
