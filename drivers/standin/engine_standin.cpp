#include "drivers/standin/engine_standin.h"
#include "core/error.h"

#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <algorithm>
#include <random>

namespace fulmarwinch {

namespace {

/// Delay before a "kill" received over HTTP stops the engine, so that the
/// response to that request is sent first.
constexpr Duration KillDelay = std::chrono::milliseconds(20);
constexpr const char *WrongGeneration =
    "the request is for another generation of the group";
constexpr const char *CounterNames[] = {
    "accepted", "answered",        "cut",
    "crashes",  "cut_by_order",    "cancelled",
    "falls",    "refused_not_run", "accepted_while_incomplete"};

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string newStartId(const std::string &Vm) {
  std::random_device RandomSource;
  return fmt::format("{}-{:08x}{:08x}", Vm, RandomSource(), RandomSource());
}

HttpResponse makeJsonResponse(int Status, const Json &Body) {
  return jsonResponse(Status, Body.dump());
}

HttpResponse makeRefusal(int Status, const std::string &Text,
                         const HttpHeaders &Headers) {
  HttpResponse Response = makeJsonResponse(
      Status, {{"error", {{"message", Text}, {"outcome", "not_run"}}}});
  Response.m_Headers.push_back({"X-Outcome", "not_run"});
  Response.m_Headers.insert(Response.m_Headers.end(), Headers.begin(),
                            Headers.end());
  return Response;
}

} // namespace

EngineStandin::EngineStandin(EngineOptions Options, TaskTimer &Timer,
                             HttpClient &Client)
    : m_Timer(Timer), m_Client(Client), m_Options(std::move(Options)) {
  for (const char *Name : CounterNames)
    m_Counters[Name] = 0;
}

EngineStandin::~EngineStandin() { stop(); }

absl::Status EngineStandin::start() {
  const std::lock_guard<std::mutex> StartStopGuard(m_StartStopMutex);
  HttpServerOptions ServerOptions;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_IsProcessRunning)
      return absl::OkStatus();
    resetProcessState();
    m_IsProcessRunning = true;
    ServerOptions.m_Port = m_Options.m_Port;
  }
  ServerOptions.m_Threads = 1;
  const absl::Status Started =
      m_Server.start(ServerOptions, [this](const HttpExchangePtr &Exchange) {
        handle(Exchange);
      });
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_IsProcessRunning = Started.ok();
  m_IsListening = Started.ok();
  return Started;
}

void EngineStandin::stop() {
  const std::lock_guard<std::mutex> StartStopGuard(m_StartStopMutex);
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    ++m_Epoch;
    if (!m_IsProcessRunning)
      return;
    m_IsProcessRunning = false;
    m_IsListening = false;
    m_Counters["cut"] += m_BatchSequences.size() + m_QueuedSequences.size();
  }
  m_Server.stop([this] {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    m_StalledExchanges.clear();
    m_BatchSequences.clear();
    m_QueuedSequences.clear();
  });
}

void EngineStandin::resetProcessState() {
  ++m_Epoch;
  m_StartId = newStartId(m_Options.m_Vm);
  m_State = EngineState::Empty;
  m_Assignment = Assignment();
  m_Fence = 0;
  m_IsDraining = false;
  m_IsCold = true;
  m_CompletedSinceCold = 0;
  m_CompletedRequests = 0;
  m_IsStalled = false;
  m_MemberReadiness.clear();
  m_PrefixCache.clear();
}

absl::Status EngineStandin::control(const Json &Settings) {
  if (fieldOr(Settings, "kill", false))
    stop();
  if (fieldOr(Settings, "start", false)) {
    const absl::Status Started = start();
    if (!Started.ok())
      return Started;
  }
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  applySettings(Settings);
  return absl::OkStatus();
}

void EngineStandin::applySettings(const Json &Settings) {
  m_Options.update(Settings);
  m_FailsNextLoad = fieldOr(Settings, "fail_load", m_FailsNextLoad);
  if (fieldOr(Settings, "go_cold", false)) {
    m_IsCold = true;
    m_CompletedSinceCold = 0;
    m_PrefixCache.clear();
  }
  m_IsStalled = fieldOr(Settings, "stall", m_IsStalled);
  if (m_IsStalled)
    return;
  // A timer task handles the requests received during the stall, because
  // handle() locks m_Mutex, which this thread has locked.
  m_Timer.runAfter(Duration::zero(), [this] {
    std::vector<HttpExchangePtr> StalledExchanges;
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      if (!m_IsStalled)
        StalledExchanges.swap(m_StalledExchanges);
    }
    for (const HttpExchangePtr &Exchange : StalledExchanges)
      handle(Exchange);
  });
  scheduleBatchStep();
}

void EngineStandin::handle(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Path == "/control")
    return handleControl(Exchange);
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_IsStalled) {
    m_StalledExchanges.push_back(Exchange);
    return;
  }
  if (Request.m_Path == "/v1/chat/completions" ||
      Request.m_Path == "/v1/completions")
    return handleCompletion(Exchange);
  if (Request.m_Path == "/v1/cancel")
    return handleCancel(Exchange);
  Exchange->respond(handleStatusOrOrder(Request));
}

HttpResponse EngineStandin::handleStatusOrOrder(const HttpRequest &Request) {
  if (Request.m_Path == "/v1/orders")
    return handleOrder(Request);
  if (Request.m_Path == "/v1/state")
    return makeJsonResponse(200, reportedState());
  if (Request.m_Path == "/health")
    return makeJsonResponse(m_State == EngineState::Failed ? 503 : 200,
                            Json::object());
  if (Request.m_Path == "/metrics")
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics()};
  if (Request.m_Path != "/v1/models")
    return makeJsonResponse(404, {{"error", "no such call"}});
  Json Models = Json::array();
  if (m_State == EngineState::Ready)
    Models.push_back({{"id", m_Assignment.m_Model}, {"object", "model"}});
  return makeJsonResponse(200, {{"object", "list"}, {"data", Models}});
}

void EngineStandin::handleControl(const HttpExchangePtr &Exchange) {
  if (Exchange->request().m_Method != "POST")
    return Exchange->respond(makeJsonResponse(200, status()));
  absl::StatusOr<Json> Body =
      parseJson(Exchange->request().m_Body, "the control request");
  if (!Body.ok() || !Body->is_object())
    return Exchange->respond(
        makeJsonResponse(400, {{"error", "a JSON object is expected"}}));
  // stop() joins the server's threads, of which this is one, so the timer calls
  // it.
  if (fieldOr(*Body, "kill", false))
    m_Timer.runAfter(KillDelay, [this] { stop(); });
  Body->erase("kill");
  Body->erase("start");
  static_cast<void>(control(*Body));
  Exchange->respond(makeJsonResponse(200, status()));
}

bool EngineStandin::matchesGeneration(
    const std::string &RequestedGeneration) const {
  const std::string OwnGeneration = std::to_string(m_Assignment.m_Generation);
  return RequestedGeneration == OwnGeneration ||
         RequestedGeneration == m_Assignment.m_Group + ":" + OwnGeneration;
}

std::string EngineStandin::refusalReason(const HttpRequest &Request) const {
  const std::optional<std::string> RequestedGeneration =
      findHeader(Request.m_Headers, "X-Group-Generation");
  if (RequestedGeneration && !matchesGeneration(*RequestedGeneration))
    return WrongGeneration;
  if (m_State != EngineState::Ready || m_Assignment.m_Rank != 0)
    return "the engine is not the ready head of a group";
  if (m_IsDraining)
    return "the engine is draining";
  if (m_QueuedSequences.size() >= m_Options.m_MaxQueuedRequests)
    return "the queue is full";
  return "";
}

void EngineStandin::handleCompletion(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const absl::StatusOr<Json> Body = parseJson(Request.m_Body, "the request");
  if (!Body.ok() || !Body->is_object())
    return Exchange->respond(
        makeRefusal(400, "a JSON object is expected", loadHeaders()));
  const std::string RefusalReason = refusalReason(Request);
  if (!RefusalReason.empty()) {
    ++m_Counters["refused_not_run"];
    return Exchange->respond(
        makeRefusal(RefusalReason == WrongGeneration ? 409 : 503, RefusalReason,
                    loadHeaders()));
  }
  auto NewSequence = std::make_unique<EngineSequence>(Exchange, *Body);
  ++m_Counters["accepted"];
  if (NewSequence->m_Id.empty())
    NewSequence->m_Id = fmt::format("{}-{}", m_StartId, m_Counters["accepted"]);
  m_LastAcceptedUnixMs = unixMilliseconds();
  if (isGroupIncomplete())
    ++m_Counters["accepted_while_incomplete"];
  NewSequence->m_CrashesEngine =
      !m_Options.m_CrashMarker.empty() &&
      Request.m_Body.find(m_Options.m_CrashMarker) != std::string::npos;
  m_QueuedSequences.push_back(std::move(NewSequence));
  if (m_IsCold && m_BatchSequences.size() + m_QueuedSequences.size() >
                      m_Options.m_ColdCapacity)
    return crashFromColdOverload();
  scheduleBatchStep();
}

void EngineStandin::handleCancel(const HttpExchangePtr &Exchange) {
  const absl::StatusOr<Json> Body =
      parseJson(Exchange->request().m_Body, "the request");
  const std::string Id =
      Body.ok() ? fieldOr(*Body, "id", std::string()) : std::string();
  std::size_t Cancelled = 0;
  for (std::vector<SequencePtr> *SequenceList :
       {&m_BatchSequences, &m_QueuedSequences}) {
    const auto FirstCancelled = std::stable_partition(
        SequenceList->begin(), SequenceList->end(),
        [&Id](const SequencePtr &Sequence) { return Sequence->m_Id != Id; });
    for (auto CancelledSequence = FirstCancelled;
         CancelledSequence != SequenceList->end();
         ++CancelledSequence, ++Cancelled)
      (*CancelledSequence)->fail("cancelled", loadHeaders());
    SequenceList->erase(FirstCancelled, SequenceList->end());
  }
  m_Counters["cancelled"] += Cancelled;
  Exchange->respond(makeJsonResponse(200, {{"cancelled", Cancelled > 0}}));
}

Json EngineStandin::reportedState() {
  refreshLoadReport();
  return {{"vm", m_Options.m_Vm},
          {"start_id", m_StartId},
          {"group", m_Assignment.m_Group},
          {"generation", m_Assignment.m_Generation},
          {"model", m_Assignment.m_Model},
          {"version", m_Assignment.m_Version},
          {"rank", m_Assignment.m_Rank},
          {"role", m_IsDraining ? "draining" : "serving"},
          {"fence", m_Fence},
          {"state", std::string(nameOf(EngineStateNames, m_State))},
          {"running", m_ReportedRunning},
          {"waiting", m_ReportedWaiting},
          {"capacity", m_Options.m_MaxBatchSize},
          {"cold_capacity", m_Options.m_ColdCapacity},
          {"cold", m_IsCold},
          {"completed", m_CompletedRequests},
          {"members_seen", readyMemberCount()}};
}

Json EngineStandin::status() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  Json Result = m_Counters;
  Result["executions"] = m_ExecutionsByRequest;
  Result["last_accepted_unix_ms"] = m_LastAcceptedUnixMs;
  Result["up"] = m_IsListening;
  Result["stalled"] = m_IsStalled;
  Result["held"] = m_StalledExchanges.size();
  Result["state"] = reportedState();
  return Result;
}

std::string EngineStandin::metrics() {
  refreshLoadReport();
  return fmt::format("engine_requests_running {}\n"
                     "engine_requests_waiting {}\n"
                     "engine_requests_completed_total {}\n",
                     m_ReportedRunning, m_ReportedWaiting, m_CompletedRequests);
}

void EngineStandin::refreshLoadReport() {
  const MonotonicTime Now = monotonicNow();
  if (Now - m_LoadReportedAt <
      std::chrono::milliseconds(m_Options.m_LoadReportLagMs))
    return;
  m_LoadReportedAt = Now;
  m_ReportedRunning = m_BatchSequences.size();
  m_ReportedWaiting = m_QueuedSequences.size();
}

HttpHeaders EngineStandin::loadHeaders() {
  refreshLoadReport();
  return {{"X-Start-Id", m_StartId},
          {"X-Load-Running", std::to_string(m_ReportedRunning)},
          {"X-Load-Waiting", std::to_string(m_ReportedWaiting)}};
}

} // namespace fulmarwinch
