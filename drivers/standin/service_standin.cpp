#include "drivers/standin/service_standin.h"

#include <algorithm>

namespace fulmarwinch {

ServiceStandin::ServiceStandin(const Json &Settings)
    : m_Settings({{"delay_ms", 0},
                  {"fail_before", 0.0},
                  {"fail_after", 0.0},
                  {"fail_after_status", 500}}),
      m_Random(fieldOr(Settings, "seed", std::uint64_t{1})) {
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
  std::uint64_t RepeatedKeys = 0;
  for (const auto &[Key, Count] : m_ExecutionsByKey)
    RepeatedKeys += Count > 1 ? 1 : 0;
  return {{"settings", m_Settings},
          {"requests", m_PayoutRequests},
          {"lookups", m_LookupRequests},
          {"executions", m_ExecutionsByKey},
          {"keys_executed_more_than_once", RepeatedKeys}};
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
    ++(IsPayout ? m_PayoutRequests : m_LookupRequests);
    Delay = std::chrono::milliseconds(fieldOr(m_Settings, "delay_ms", 0));
  }
  m_Timer.runAfter(Delay, [this, Exchange, IsPayout] {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    const HttpRequest &DelayedRequest = Exchange->request();
    if (!IsPayout)
      return Exchange->respond(
          jsonResponse(200, Json{{"path", DelayedRequest.m_Path}}.dump()));
    Exchange->respond(
        executePayout(findHeader(DelayedRequest.m_Headers, "Idempotency-Key")
                          .value_or("none")));
  });
}

bool ServiceStandin::drawFault(const char *Setting) {
  std::bernoulli_distribution FaultDistribution(
      std::clamp(fieldOr(m_Settings, Setting, 0.0), 0.0, 1.0));
  return FaultDistribution(m_Random);
}

HttpResponse ServiceStandin::executePayout(const std::string &Key) {
  if (drawFault("fail_before"))
    return jsonResponse(500, R"({"error":"failed"})");
  const std::uint64_t Count = ++m_ExecutionsByKey[Key];
  if (drawFault("fail_after"))
    return jsonResponse(fieldOr(m_Settings, "fail_after_status", 500),
                        R"({"error":"failed"})");
  return jsonResponse(200, Json{{"payout", Key}, {"execution", Count}}.dump());
}

} // namespace fulmarwinch
