#include "drivers/standin/service_standin.h"

#include <algorithm>

namespace fulmarwinch {

ServiceStandin::ServiceStandin(const Json &Settings)
    : m_Settings({{"delay_ms", 0}, {"fail_before", 0.0}, {"fail_after", 0.0}}),
      m_Random(memberOr(Settings, "seed", std::uint64_t{1})) {
  control(Settings);
}

ServiceStandin::~ServiceStandin() { stop(); }

absl::Status ServiceStandin::start(std::uint16_t Port) {
  HttpServerOptions Options;
  Options.m_Port = Port;
  return m_Server.start(
      Options, [this](const HttpExchangePtr &Exchange) { handle(Exchange); });
}

void ServiceStandin::stop() {
  m_Server.stop([this] { m_Timer.stop(); });
  m_Timer.stop();
}

void ServiceStandin::control(const Json &Settings) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  for (const auto &[Key, Value] : Settings.items())
    if (m_Settings.contains(Key))
      m_Settings[Key] = Value;
}

Json ServiceStandin::status() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  std::uint64_t Twice = 0;
  for (const auto &[Key, Count] : m_Executions)
    Twice += Count > 1 ? 1 : 0;
  return {{"settings", m_Settings},
          {"requests", m_Requests},
          {"lookups", m_Lookups},
          {"executions", m_Executions},
          {"keys_executed_more_than_once", Twice}};
}

void ServiceStandin::handleControl(const HttpExchangePtr &Exchange) {
  if (Exchange->request().m_Method == "POST") {
    const absl::StatusOr<Json> Body =
        parseJson(Exchange->request().m_Body, "the control request");
    if (!Body.ok() || !Body->is_object())
      return Exchange->respond(
          jsonResponse(400, R"({"error":"a JSON object is expected"})"));
    control(*Body);
  }
  Exchange->respond(jsonResponse(200, status().dump()));
}

void ServiceStandin::handle(const HttpExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Path == "/control")
    return handleControl(Exchange);
  const bool IsPayout =
      Request.m_Method == "POST" && Request.m_Path == "/payouts";
  Duration Delay{0};
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    ++(IsPayout ? m_Requests : m_Lookups);
    Delay = std::chrono::milliseconds(memberOr(m_Settings, "delay_ms", 0));
  }
  m_Timer.after(Delay, [this, Exchange, IsPayout] {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    const HttpRequest &Late = Exchange->request();
    if (!IsPayout)
      return Exchange->respond(
          jsonResponse(200, Json{{"path", Late.m_Path}}.dump()));
    Exchange->respond(execute(
        findHeader(Late.m_Headers, "Idempotency-Key").value_or("none")));
  });
}

bool ServiceStandin::happens(const char *Setting) {
  std::bernoulli_distribution Draw(
      std::clamp(memberOr(m_Settings, Setting, 0.0), 0.0, 1.0));
  return Draw(m_Random);
}

HttpResponse ServiceStandin::execute(const std::string &Key) {
  if (happens("fail_before"))
    return jsonResponse(500, R"({"error":"failed"})");
  const std::uint64_t Count = ++m_Executions[Key];
  if (happens("fail_after"))
    return jsonResponse(500, R"({"error":"failed"})");
  return jsonResponse(200, Json{{"payout", Key}, {"execution", Count}}.dump());
}

} // namespace fulmarwinch
