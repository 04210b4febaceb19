#include "drivers/standin/platform_standin.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr std::size_t MaxValueBytes = 1000000;
/// The body is the value with JSON escapes, which may multiply its size.
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

Duration milliseconds(const Json &Settings, const char *Key) {
  return std::chrono::milliseconds(memberOr(Settings, Key, 0));
}

HttpResponse jsonAnswer(int Status, const Json &Body) {
  return jsonResponse(Status, Body.dump());
}

HttpResponse errorAnswer(int Status, const std::string &Text) {
  return jsonAnswer(Status, {{"error", Text}});
}

std::string keyOf(const HttpRequest &Request) {
  return percentDecode(
      std::string_view(Request.m_Path).substr(std::string(ObjectPath).size()));
}

/// Returns the kind of an API call as it is counted, or an empty string.
std::string kindOf(const HttpRequest &Request) {
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

bool isWrite(const std::string &Kind) {
  return Kind == "put" || Kind == "delete";
}

std::size_t sizeOf(const Json &Value) {
  return Value.is_string() ? Value.get_ref<const std::string &>().size()
                           : Value.dump().size();
}

HttpResponse writeAnswer(const ObjectTable::WriteResult &Result) {
  if (Result.m_Outcome == StoreOutcome::NotFound)
    return errorAnswer(404, "no such object");
  const int Status = Result.m_Outcome == StoreOutcome::Applied ? 200 : 409;
  return jsonAnswer(Status, {{"version", Result.m_Version}});
}

} // namespace

PlatformStandin::PlatformStandin(const Json &Settings)
    : m_Objects(memberOr(Settings, "history", std::size_t{10000})), m_Writes(1),
      m_Reads(1), m_Random(memberOr(Settings, "seed", std::uint64_t{1})),
      m_Settings(defaultSettings()), m_Weights(m_Timer) {
  m_VmLists[monotonicNow()] = Json::array();
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
  // Waiting tasks of the timer keep exchanges too.
  m_Server.stop([this] {
    m_Timer.stop();
    m_Watches.clear();
    m_Weights.dropAll();
  });
  m_Timer.stop();
}

void PlatformStandin::control(const Json &Settings) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  for (const auto &[Key, Value] : Settings.items())
    if (m_Settings.contains(Key))
      m_Settings[Key] = Value;
  if (Settings.contains("writes_per_s"))
    m_Writes = CallRate(memberOr(m_Settings, "writes_per_s", 1.0));
  if (Settings.contains("reads_per_s"))
    m_Reads = CallRate(memberOr(m_Settings, "reads_per_s", 1.0));
  m_Weights.setRate(memberOr(m_Settings, "weight_bytes_per_s", 1e9));
  if (Settings.contains("vms"))
    setVms(Settings["vms"]);
}

void PlatformStandin::setVms(const Json &Vms) {
  for (const Json &Change : Vms) {
    const std::string Name = memberOr(Change, "vm", std::string());
    if (memberOr(Change, "state", std::string()) == "gone") {
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
  m_VmLists[monotonicNow()] = std::move(Rows);
}

Json PlatformStandin::status() {
  const std::size_t Loads = m_Weights.running();
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return {{"counts", m_Counts},
          {"settings", m_Settings},
          {"revision", m_Objects.revision()},
          {"watches_waiting", m_Watches.size()},
          {"loads_running", Loads}};
}

void PlatformStandin::handle(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Path == "/control")
    return handleControl(Exchange);
  if (Request.m_Path == "/v1/weights/load")
    return m_Weights.load(Exchange);
  const std::string Kind = kindOf(Request);
  if (Kind.empty())
    return Exchange->respond(errorAnswer(404, "no such call"));
  handleApi(Exchange, Kind);
}

void PlatformStandin::handleControl(const HttpExchangePtr &Exchange) {
  if (Exchange->request().m_Method == "POST") {
    const absl::StatusOr<Json> Body =
        parseJson(Exchange->request().m_Body, "the control request");
    if (!Body.ok() || !Body->is_object())
      return Exchange->respond(errorAnswer(400, "a JSON object is expected"));
    control(*Body);
  }
  Exchange->respond(jsonAnswer(200, status()));
}

void PlatformStandin::handleApi(const HttpExchangePtr &Exchange,
                                const std::string &Kind) {
  Duration Delay{0};
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    count(Kind);
    if (memberOr(m_Settings, "outage", false)) {
      count("refused_outage");
      return Exchange->respond(errorAnswer(503, "outage"));
    }
    CallRate &Limit = isWrite(Kind) ? m_Writes : m_Reads;
    if (!Limit.tryTake(monotonicNow())) {
      count("refused_rate");
      return Exchange->respond(errorAnswer(429, "over the rate limit"));
    }
    Delay = milliseconds(m_Settings, "slow_ms");
  }
  const auto Run = [this, Exchange, Kind] {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (Kind == "watch")
      return watch(Exchange);
    HttpResponse Response = execute(Exchange, Kind);
    std::bernoulli_distribution IsLost(
        std::clamp(memberOr(m_Settings, "lose_answers", 0.0), 0.0, 1.0));
    if (isWrite(Kind) && IsLost(m_Random))
      return loseAnswer(Exchange);
    Exchange->respond(std::move(Response));
  };
  // A delayed write takes effect even if its client gave up meanwhile.
  if (Delay > Duration::zero())
    m_Timer.after(Delay, Run);
  else
    Run();
}

HttpResponse PlatformStandin::execute(const HttpExchangePtr &Exchange,
                                      const std::string &Kind) {
  const HttpRequest &Request = Exchange->request();
  if (Kind == "get")
    return get(Request);
  if (Kind == "list")
    return list(Request);
  if (Kind == "vms")
    return listVms();
  HttpResponse Response = Kind == "put" ? put(Request) : remove(Request);
  if (Response.m_Status == 200)
    wakeWatches();
  if (Response.m_Status == 409)
    count("conflicts");
  return Response;
}

void PlatformStandin::loseAnswer(const HttpExchangePtr &Exchange) {
  count("lost_answers");
  m_Timer.after(milliseconds(m_Settings, "lost_answer_delay_ms"), [Exchange] {
    Exchange->respond(errorAnswer(500, "the answer was lost"));
  });
}

HttpResponse PlatformStandin::get(const HttpRequest &Request) {
  const std::string Key = keyOf(Request);
  const ObjectTable::Object *Found = m_Objects.find(Key);
  if (!Found)
    return errorAnswer(404, "no such object");
  return jsonAnswer(
      200,
      {{"key", Key}, {"version", Found->m_Version}, {"value", Found->m_Value}});
}

HttpResponse PlatformStandin::put(const HttpRequest &Request) {
  const absl::StatusOr<Json> Body = parseJson(Request.m_Body, "the object");
  if (!Body.ok() || !Body->is_object() || !Body->contains("value"))
    return errorAnswer(400, "a JSON object with a value is expected");
  if (sizeOf((*Body)["value"]) > MaxValueBytes)
    return errorAnswer(413, "the value is larger than 1 MB");
  return writeAnswer(m_Objects.put(
      keyOf(Request), queryNumber(Request, "expected", 0), (*Body)["value"]));
}

HttpResponse PlatformStandin::remove(const HttpRequest &Request) {
  return writeAnswer(
      m_Objects.remove(keyOf(Request), queryNumber(Request, "expected", 0)));
}

HttpResponse PlatformStandin::list(const HttpRequest &Request) {
  const std::uint64_t Limit =
      std::min(queryNumber(Request, "limit", MaxListLimit), MaxListLimit);
  return jsonAnswer(
      200, m_Objects.list(queryParameter(Request, "prefix").value_or(""),
                          queryParameter(Request, "after").value_or(""),
                          static_cast<std::size_t>(Limit)));
}

HttpResponse PlatformStandin::listVms() {
  const MonotonicTime Shown =
      monotonicNow() - milliseconds(m_Settings, "vm_lag_ms");
  auto Next = m_VmLists.upper_bound(Shown);
  if (Next != m_VmLists.begin())
    --Next;
  return jsonAnswer(200, Next->second);
}

void PlatformStandin::watch(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const Watch New = {m_NextWatchId++, Exchange,
                     queryParameter(Request, "prefix").value_or(""),
                     queryNumber(Request, "since", 0)};
  const std::uint64_t TimeoutMs =
      std::min(queryNumber(Request, "timeout_ms", 1000), MaxWatchMs);
  if (answerWatch(New, TimeoutMs == 0))
    return;
  m_Watches.push_back(New);
  m_Timer.after(std::chrono::milliseconds(TimeoutMs),
                [this, Id = New.m_Id] { endWatch(Id); });
}

bool PlatformStandin::answerWatch(const Watch &Waiting, bool IsTimeUp) {
  const std::optional<Json> Events =
      m_Objects.changesSince(Waiting.m_Prefix, Waiting.m_Since);
  if (!Events) {
    Waiting.m_Exchange->respond(
        errorAnswer(410, "the history does not reach back to this revision"));
    return true;
  }
  if (Events->empty() && !IsTimeUp)
    return false;
  Waiting.m_Exchange->respond(jsonAnswer(
      200, {{"revision", m_Objects.revision()}, {"events", *Events}}));
  return true;
}

void PlatformStandin::wakeWatches() {
  m_Watches.remove_if(
      [this](const Watch &Waiting) { return answerWatch(Waiting, false); });
}

void PlatformStandin::endWatch(std::uint64_t Id) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_Watches.remove_if([this, Id](const Watch &Waiting) {
    return Waiting.m_Id == Id && answerWatch(Waiting, true);
  });
}

} // namespace fulmarwinch
