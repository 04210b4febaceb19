#include "drivers/standin/engine_standin.h"
#include "core/error.h"

#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <algorithm>
#include <random>

namespace fulmarwinch {

namespace {

/// Time that lets the answer to a request leave before a scheduled crash.
constexpr Duration CrashDelay = std::chrono::milliseconds(20);
constexpr const char *OtherGeneration = "the group generation differs";
constexpr const char *Counters[] = {
    "accepted", "answered",        "cut",
    "crashes",  "cut_by_order",    "cancelled",
    "falls",    "refused_not_run", "accepted_while_incomplete"};

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string newStartId(const std::string &Vm) {
  std::random_device Source;
  return fmt::format("{}-{:08x}{:08x}", Vm, Source(), Source());
}

HttpResponse jsonAnswer(int Status, const Json &Body) {
  return jsonResponse(Status, Body.dump());
}

HttpResponse refusalAnswer(int Status, const std::string &Text,
                           const HttpHeaders &Headers) {
  HttpResponse Response = jsonAnswer(
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
  for (const char *Name : Counters)
    m_Counters[Name] = 0;
}

EngineStandin::~EngineStandin() { stop(); }

absl::Status EngineStandin::start() {
  const std::lock_guard<std::mutex> LifeGuard(m_LifeMutex);
  HttpServerOptions ServerOptions;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_IsUp)
      return absl::OkStatus();
    reset();
    m_IsUp = true;
    ServerOptions.m_Port = m_Options.m_Port;
  }
  ServerOptions.m_Threads = 1;
  const absl::Status Started =
      m_Server.start(ServerOptions, [this](const HttpExchangePtr &Exchange) {
        handle(Exchange);
      });
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_IsUp = Started.ok();
  m_IsListening = Started.ok();
  return Started;
}

void EngineStandin::stop() {
  const std::lock_guard<std::mutex> LifeGuard(m_LifeMutex);
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    ++m_Epoch;
    if (!m_IsUp)
      return;
    m_IsUp = false;
    m_IsListening = false;
    m_Counters["cut"] += m_Running.size() + m_Waiting.size();
  }
  m_Server.stop([this] {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Held.clear();
    m_Running.clear();
    m_Waiting.clear();
  });
}

void EngineStandin::reset() {
  ++m_Epoch;
  m_StartId = newStartId(m_Options.m_Vm);
  m_State = EngineState::Empty;
  m_Assignment = Assignment();
  m_Fence = 0;
  m_IsDraining = false;
  m_IsCold = true;
  m_CompletedSinceCold = 0;
  m_Completed = 0;
  m_IsStalled = false;
  m_MemberReady.clear();
  m_Cache.clear();
}

absl::Status EngineStandin::control(const Json &Settings) {
  if (memberOr(Settings, "kill", false))
    stop();
  if (memberOr(Settings, "start", false)) {
    const absl::Status Started = start();
    if (!Started.ok())
      return Started;
  }
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  setFaults(Settings);
  return absl::OkStatus();
}

void EngineStandin::setFaults(const Json &Settings) {
  m_Options.update(Settings);
  m_FailsNextLoad = memberOr(Settings, "fail_load", m_FailsNextLoad);
  if (memberOr(Settings, "go_cold", false)) {
    m_IsCold = true;
    m_CompletedSinceCold = 0;
    m_Cache.clear();
  }
  m_IsStalled = memberOr(Settings, "stall", m_IsStalled);
  if (m_IsStalled)
    return;
  // The held requests are handled by a task since the lock is held here.
  m_Timer.after(Duration::zero(), [this] {
    std::vector<HttpExchangePtr> Held;
    {
      const std::lock_guard<std::mutex> Guard(m_Mutex);
      if (!m_IsStalled)
        Held.swap(m_Held);
    }
    for (const HttpExchangePtr &Exchange : Held)
      handle(Exchange);
  });
  scheduleStep();
}

void EngineStandin::handle(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Path == "/control")
    return handleControl(Exchange);
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_IsStalled) {
    m_Held.push_back(Exchange);
    return;
  }
  if (Request.m_Path == "/v1/chat/completions" ||
      Request.m_Path == "/v1/completions")
    return handleCompletion(Exchange);
  if (Request.m_Path == "/v1/cancel")
    return handleCancel(Exchange);
  Exchange->respond(handlePlain(Request));
}

HttpResponse EngineStandin::handlePlain(const HttpRequest &Request) {
  if (Request.m_Path == "/v1/orders")
    return handleOrder(Request);
  if (Request.m_Path == "/v1/state")
    return jsonAnswer(200, state());
  if (Request.m_Path == "/health")
    return jsonAnswer(m_State == EngineState::Failed ? 503 : 200,
                      Json::object());
  if (Request.m_Path == "/metrics")
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics()};
  if (Request.m_Path != "/v1/models")
    return jsonAnswer(404, {{"error", "no such call"}});
  Json Models = Json::array();
  if (m_State == EngineState::Ready)
    Models.push_back({{"id", m_Assignment.m_Model}, {"object", "model"}});
  return jsonAnswer(200, {{"object", "list"}, {"data", Models}});
}

void EngineStandin::handleControl(const HttpExchangePtr &Exchange) {
  if (Exchange->request().m_Method != "POST")
    return Exchange->respond(jsonAnswer(200, status()));
  absl::StatusOr<Json> Body =
      parseJson(Exchange->request().m_Body, "the control request");
  if (!Body.ok() || !Body->is_object())
    return Exchange->respond(jsonAnswer(400, {{"error", "no JSON object"}}));
  // This thread belongs to the server that a kill stops.
  if (memberOr(*Body, "kill", false))
    m_Timer.after(CrashDelay, [this] { stop(); });
  Body->erase("kill");
  Body->erase("start");
  static_cast<void>(control(*Body));
  Exchange->respond(jsonAnswer(200, status()));
}

bool EngineStandin::isOwnGeneration(const std::string &Wanted) const {
  const std::string Number = std::to_string(m_Assignment.m_Generation);
  return Wanted == Number || Wanted == m_Assignment.m_Group + ":" + Number;
}

std::string EngineStandin::refusal(const HttpRequest &Request) const {
  const std::optional<std::string> Wanted =
      findHeader(Request.m_Headers, "X-Group-Generation");
  if (Wanted && !isOwnGeneration(*Wanted))
    return OtherGeneration;
  if (m_State != EngineState::Ready || m_Assignment.m_Rank != 0)
    return "the engine is not the ready head of a group";
  if (m_IsDraining)
    return "the engine is draining";
  if (m_Waiting.size() >= m_Options.m_MaxWaiting)
    return "the queue is full";
  return "";
}

void EngineStandin::handleCompletion(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const absl::StatusOr<Json> Body = parseJson(Request.m_Body, "the request");
  if (!Body.ok() || !Body->is_object())
    return Exchange->respond(
        refusalAnswer(400, "a JSON object is expected", loadHeaders()));
  const std::string Refusal = refusal(Request);
  if (!Refusal.empty()) {
    ++m_Counters["refused_not_run"];
    return Exchange->respond(refusalAnswer(
        Refusal == OtherGeneration ? 409 : 503, Refusal, loadHeaders()));
  }
  auto New = std::make_unique<EngineSequence>(Exchange, *Body);
  ++m_Counters["accepted"];
  if (New->m_Id.empty())
    New->m_Id = fmt::format("{}-{}", m_StartId, m_Counters["accepted"]);
  m_LastAcceptedUnixMs = unixMilliseconds();
  if (isIncomplete())
    ++m_Counters["accepted_while_incomplete"];
  New->m_CrashesEngine =
      !m_Options.m_CrashMark.empty() &&
      Request.m_Body.find(m_Options.m_CrashMark) != std::string::npos;
  m_Waiting.push_back(std::move(New));
  if (m_IsCold &&
      m_Running.size() + m_Waiting.size() > m_Options.m_ColdCapacity)
    return fallOver();
  scheduleStep();
}

void EngineStandin::handleCancel(const HttpExchangePtr &Exchange) {
  const absl::StatusOr<Json> Body =
      parseJson(Exchange->request().m_Body, "the request");
  const std::string Id =
      Body.ok() ? memberOr(*Body, "id", std::string()) : std::string();
  std::size_t Cancelled = 0;
  for (std::vector<SequencePtr> *List : {&m_Running, &m_Waiting}) {
    const auto Cut = std::stable_partition(
        List->begin(), List->end(),
        [&Id](const SequencePtr &Item) { return Item->m_Id != Id; });
    for (auto Next = Cut; Next != List->end(); ++Next, ++Cancelled)
      (*Next)->fail("cancelled", loadHeaders());
    List->erase(Cut, List->end());
  }
  m_Counters["cancelled"] += Cancelled;
  Exchange->respond(jsonAnswer(200, {{"cancelled", Cancelled > 0}}));
}

Json EngineStandin::state() {
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
          {"capacity", m_Options.m_Capacity},
          {"cold_capacity", m_Options.m_ColdCapacity},
          {"cold", m_IsCold},
          {"completed", m_Completed},
          {"members_seen", membersSeen()}};
}

Json EngineStandin::status() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  Json Result = m_Counters;
  Result["executions"] = m_Executions;
  Result["last_accepted_unix_ms"] = m_LastAcceptedUnixMs;
  Result["up"] = m_IsListening;
  Result["stalled"] = m_IsStalled;
  Result["held"] = m_Held.size();
  Result["state"] = state();
  return Result;
}

std::string EngineStandin::metrics() {
  refreshLoadReport();
  return fmt::format("engine_requests_running {}\n"
                     "engine_requests_waiting {}\n"
                     "engine_requests_completed_total {}\n",
                     m_ReportedRunning, m_ReportedWaiting, m_Completed);
}

void EngineStandin::refreshLoadReport() {
  const MonotonicTime Now = monotonicNow();
  if (Now - m_ReportedAt <
      std::chrono::milliseconds(m_Options.m_LoadReportLagMs))
    return;
  m_ReportedAt = Now;
  m_ReportedRunning = m_Running.size();
  m_ReportedWaiting = m_Waiting.size();
}

HttpHeaders EngineStandin::loadHeaders() {
  refreshLoadReport();
  return {{"X-Start-Id", m_StartId},
          {"X-Load-Running", std::to_string(m_ReportedRunning)},
          {"X-Load-Waiting", std::to_string(m_ReportedWaiting)}};
}

} // namespace fulmarwinch
