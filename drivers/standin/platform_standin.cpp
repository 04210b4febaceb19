#include "drivers/standin/platform_standin.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr std::size_t MaxValueBytes = 1000000;
/// Larger than MaxValueBytes because JSON escapes in the body may multiply the
/// size of the value.
constexpr std::size_t MaxBodyBytes = 8U << 20U;
constexpr std::uint64_t MaxWatchMs = 60000;
constexpr std::uint64_t MaxListLimit = 1000;
constexpr const char *ObjectPath = "/v1/objects/";

Json defaultSettings() {
  return {{"outage", false},       {"slow_ms", 0},
          {"lose_answers", 0.0},   {"lost_answer_delay_ms", 0},
          {"vm_lag_ms", 0},        {"writes_per_s", 400.0},
          {"reads_per_s", 2000.0}, {"weight_bytes_per_s", 1e9}};
}

Duration durationSetting(const Json &Settings, const char *Key) {
  return std::chrono::milliseconds(fieldOr(Settings, Key, 0));
}

HttpResponse makeJsonResponse(int Status, const Json &Body) {
  return jsonResponse(Status, Body.dump());
}

HttpResponse makeErrorResponse(int Status, const std::string &Text) {
  return makeJsonResponse(Status, {{"error", Text}});
}

std::string objectKeyOf(const HttpRequest &Request) {
  return percentDecode(
      std::string_view(Request.m_Path).substr(std::string(ObjectPath).size()));
}

/// Returns the name under which the API call is counted, or an empty string if
/// there is no such call.
std::string callKindOf(const HttpRequest &Request) {
  if (Request.m_Path.rfind(ObjectPath, 0) == 0) {
    if (Request.m_Method == "GET")
      return "get";
    if (Request.m_Method == "PUT")
      return "put";
    return Request.m_Method == "DELETE" ? "delete" : "";
  }
  if (Request.m_Method != "GET")
    return "";
  if (Request.m_Path == "/v1/objects")
    return "list";
  if (Request.m_Path == "/v1/watch")
    return "watch";
  return Request.m_Path == "/v1/vms" ? "vms" : "";
}

bool isWriteCall(const std::string &Kind) {
  return Kind == "put" || Kind == "delete";
}

std::size_t valueBytes(const Json &Value) {
  return Value.is_string() ? Value.get_ref<const std::string &>().size()
                           : Value.dump().size();
}

HttpResponse writeResponse(const ObjectTable::WriteResult &Result,
                           StoreEra Era) {
  if (Result.m_Outcome == StoreOutcome::NotFound)
    return makeJsonResponse(404, {{"error", "no such object"}, {"era", Era}});
  const int Status = Result.m_Outcome == StoreOutcome::Succeeded ? 200 : 409;
  return makeJsonResponse(Status,
                          {{"version", Result.m_Version}, {"era", Era}});
}

} // namespace

PlatformStandin::PlatformStandin(const Json &Settings)
    : m_Objects(fieldOr(Settings, "history", std::size_t{10000})),
      m_WriteRate(1), m_ReadRate(1),
      m_Random(fieldOr(Settings, "seed", std::uint64_t{1})),
      m_Settings(defaultSettings()), m_WeightStore(m_Timer) {
  m_VmListHistory[monotonicNow()] = Json::array();
  Json Initial = defaultSettings();
  Initial.update(Settings);
  control(Initial);
}

PlatformStandin::~PlatformStandin() { stop(); }

absl::Status PlatformStandin::start(std::uint16_t Port) {
  HttpServerOptions Options;
  Options.m_Port = Port;
  Options.m_MaxBodyBytes = MaxBodyBytes;
  return m_Server.start(
      Options, [this](const HttpExchangePtr &Exchange) { handle(Exchange); });
}

void PlatformStandin::stop() {
  // Pending timer tasks own exchanges as well, so the timer is stopped before
  // the server is destroyed.
  m_Server.stop([this] {
    m_Timer.stop();
    m_PendingWatches.clear();
    m_WeightStore.discardAllLoads();
  });
  m_Timer.stop();
}

void PlatformStandin::control(const Json &Settings) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  for (const auto &[Key, Value] : Settings.items())
    if (m_Settings.contains(Key))
      m_Settings[Key] = Value;
  if (Settings.contains("writes_per_s"))
    m_WriteRate = CallRateLimiter(fieldOr(m_Settings, "writes_per_s", 1.0));
  if (Settings.contains("reads_per_s"))
    m_ReadRate = CallRateLimiter(fieldOr(m_Settings, "reads_per_s", 1.0));
  m_WeightStore.setBandwidth(fieldOr(m_Settings, "weight_bytes_per_s", 1e9));
  if (Settings.contains("vms"))
    applyVmChanges(Settings["vms"]);
  if (Settings.contains("copy"))
    m_Copies.insert_or_assign(fieldOr(Settings, "copy", std::string()),
                              m_Objects);
  const auto Copy = m_Copies.find(fieldOr(Settings, "restore", std::string()));
  if (Copy != m_Copies.end())
    restore(Copy->second);
}

void PlatformStandin::restore(const ObjectTable &Copy) {
  m_Objects.returnFrom(Copy);
  for (const WatchRequest &PendingWatch : m_PendingWatches)
    PendingWatch.m_Exchange->respond(makeErrorResponse(503, "restored"));
  m_PendingWatches.clear();
}

void PlatformStandin::applyVmChanges(const Json &Vms) {
  for (const Json &Change : Vms) {
    const std::string Name = fieldOr(Change, "vm", std::string());
    if (fieldOr(Change, "state", std::string()) == "gone") {
      m_Vms.erase(Name);
      continue;
    }
    const auto Row = m_Vms
                         .try_emplace(Name, Json{{"vm", Name},
                                                 {"address", ""},
                                                 {"zone", ""},
                                                 {"domain", ""},
                                                 {"state", "live"},
                                                 {"incarnation", 1}})
                         .first;
    Row->second.update(Change);
  }
  Json Rows = Json::array();
  for (const auto &[Name, Row] : m_Vms)
    Rows.push_back(Row);
  m_VmListHistory[monotonicNow()] = std::move(Rows);
}

Json PlatformStandin::status() {
  const std::size_t Loads = m_WeightStore.runningLoadCount();
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return {{"counts", m_Counters},
          {"settings", m_Settings},
          {"revision", m_Objects.revision()},
          {"era", m_Objects.era()},
          {"watches_waiting", m_PendingWatches.size()},
          {"loads_running", Loads}};
}

void PlatformStandin::handle(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Path == "/control")
    return handleControl(Exchange);
  if (Request.m_Path == "/v1/weights/load")
    return m_WeightStore.startLoad(Exchange);
  const std::string Kind = callKindOf(Request);
  if (Kind.empty())
    return Exchange->respond(makeErrorResponse(404, "no such call"));
  handleApiCall(Exchange, Kind);
}

void PlatformStandin::handleControl(const HttpExchangePtr &Exchange) {
  if (Exchange->request().m_Method == "POST") {
    const absl::StatusOr<Json> Body =
        parseJson(Exchange->request().m_Body, "the control request");
    if (!Body.ok() || !Body->is_object())
      return Exchange->respond(
          makeErrorResponse(400, "a JSON object is expected"));
    control(*Body);
  }
  Exchange->respond(makeJsonResponse(200, status()));
}

void PlatformStandin::handleApiCall(const HttpExchangePtr &Exchange,
                                    const std::string &Kind) {
  Duration Delay{0};
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    incrementCounter(Kind);
    if (fieldOr(m_Settings, "outage", false)) {
      incrementCounter("refused_outage");
      return Exchange->respond(makeErrorResponse(503, "outage"));
    }
    CallRateLimiter &Limit = isWriteCall(Kind) ? m_WriteRate : m_ReadRate;
    if (!Limit.tryAcquire(monotonicNow())) {
      incrementCounter("refused_rate");
      return Exchange->respond(makeErrorResponse(429, "over the rate limit"));
    }
    Delay = durationSetting(m_Settings, "slow_ms");
  }
  const auto RunCall = [this, Exchange, Kind] {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (Kind == "watch")
      return watch(Exchange);
    HttpResponse Response = executeCall(Exchange, Kind);
    std::bernoulli_distribution IsLost(
        std::clamp(fieldOr(m_Settings, "lose_answers", 0.0), 0.0, 1.0));
    if (isWriteCall(Kind) && IsLost(m_Random))
      return respondAsLost(Exchange);
    Exchange->respond(std::move(Response));
  };
  // A delayed write is executed even if its client has timed out meanwhile.
  if (Delay > Duration::zero())
    m_Timer.runAfter(Delay, RunCall);
  else
    RunCall();
}

HttpResponse PlatformStandin::executeCall(const HttpExchangePtr &Exchange,
                                          const std::string &Kind) {
  const HttpRequest &Request = Exchange->request();
  if (Kind == "get")
    return get(Request);
  if (Kind == "list")
    return list(Request);
  if (Kind == "vms")
    return listVms();
  if (namesAnotherEra(Request)) {
    incrementCounter("conflicts");
    return makeJsonResponse(409, {{"era", m_Objects.era()}});
  }
  HttpResponse Response = Kind == "put" ? put(Request) : remove(Request);
  if (Response.m_Status == 200)
    answerChangedWatches();
  if (Response.m_Status == 409)
    incrementCounter("conflicts");
  return Response;
}

void PlatformStandin::respondAsLost(const HttpExchangePtr &Exchange) {
  incrementCounter("lost_answers");
  m_Timer.runAfter(
      durationSetting(m_Settings, "lost_answer_delay_ms"), [Exchange] {
        Exchange->respond(
            makeErrorResponse(500, "simulated loss of the response"));
      });
}

bool PlatformStandin::namesAnotherEra(const HttpRequest &Request) const {
  return queryNumber(Request, "expected", 0) != 0 &&
         queryNumber(Request, "era", m_Objects.era()) != m_Objects.era();
}

HttpResponse PlatformStandin::get(const HttpRequest &Request) {
  const std::string Key = objectKeyOf(Request);
  const ObjectTable::Object *Found = m_Objects.find(Key);
  if (!Found)
    return makeJsonResponse(
        404, {{"error", "no such object"}, {"era", m_Objects.era()}});
  return makeJsonResponse(200, {{"key", Key},
                                {"version", Found->m_Version},
                                {"value", Found->m_Value},
                                {"era", m_Objects.era()}});
}

HttpResponse PlatformStandin::put(const HttpRequest &Request) {
  const absl::StatusOr<Json> Body = parseJson(Request.m_Body, "the object");
  if (!Body.ok() || !Body->is_object() || !Body->contains("value"))
    return makeErrorResponse(400, "a JSON object with a value is expected");
  if (valueBytes((*Body)["value"]) > MaxValueBytes)
    return makeErrorResponse(413, "the value is larger than 1 MB");
  return writeResponse(m_Objects.put(objectKeyOf(Request),
                                     queryNumber(Request, "expected", 0),
                                     (*Body)["value"]),
                       m_Objects.era());
}

HttpResponse PlatformStandin::remove(const HttpRequest &Request) {
  return writeResponse(m_Objects.remove(objectKeyOf(Request),
                                        queryNumber(Request, "expected", 0)),
                       m_Objects.era());
}

HttpResponse PlatformStandin::list(const HttpRequest &Request) {
  const std::uint64_t Limit =
      std::min(queryNumber(Request, "limit", MaxListLimit), MaxListLimit);
  return makeJsonResponse(
      200, m_Objects.list(queryParameter(Request, "prefix").value_or(""),
                          queryParameter(Request, "after").value_or(""),
                          static_cast<std::size_t>(Limit)));
}

HttpResponse PlatformStandin::listVms() {
  const MonotonicTime ListTime =
      monotonicNow() - durationSetting(m_Settings, "vm_lag_ms");
  auto Next = m_VmListHistory.upper_bound(ListTime);
  if (Next != m_VmListHistory.begin())
    --Next;
  return makeJsonResponse(200, Next->second);
}

void PlatformStandin::watch(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const WatchRequest NewWatch = {m_NextWatchId++, Exchange,
                                 queryParameter(Request, "prefix").value_or(""),
                                 queryNumber(Request, "since", 0)};
  const std::uint64_t TimeoutMs =
      std::min(queryNumber(Request, "timeout_ms", 1000), MaxWatchMs);
  if (tryAnswerWatch(NewWatch, TimeoutMs == 0))
    return;
  m_PendingWatches.push_back(NewWatch);
  m_Timer.runAfter(std::chrono::milliseconds(TimeoutMs),
                   [this, Id = NewWatch.m_Id] { timeOutWatch(Id); });
}

bool PlatformStandin::tryAnswerWatch(const WatchRequest &PendingWatch,
                                     bool HasTimedOut) {
  const std::optional<Json> Events =
      m_Objects.changesSince(PendingWatch.m_Prefix, PendingWatch.m_Since);
  if (!Events) {
    PendingWatch.m_Exchange->respond(
        makeErrorResponse(410, "the revision is outside the retained history"));
    return true;
  }
  if (Events->empty() && !HasTimedOut)
    return false;
  PendingWatch.m_Exchange->respond(
      makeJsonResponse(200, {{"revision", m_Objects.revision()},
                             {"era", m_Objects.era()},
                             {"events", *Events}}));
  return true;
}

void PlatformStandin::answerChangedWatches() {
  m_PendingWatches.remove_if([this](const WatchRequest &PendingWatch) {
    return tryAnswerWatch(PendingWatch, false);
  });
}

void PlatformStandin::timeOutWatch(std::uint64_t Id) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_PendingWatches.remove_if([this, Id](const WatchRequest &PendingWatch) {
    return PendingWatch.m_Id == Id && tryAnswerWatch(PendingWatch, true);
  });
}

} // namespace fulmarwinch
