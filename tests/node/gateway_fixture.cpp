#include "tests/node/gateway_fixture.h"

#include "core/hash.h"
#include "core/log.h"

#include "cppunit/TestAssert.h"
#include "fmt/format.h"

namespace fulmarwinch {

namespace {

constexpr const char *ApiKeyText = "secret";

std::string loopback(std::uint16_t Port) {
  return fmt::format("127.0.0.1:{}", Port);
}

NodeSettings gatewaySettings(std::uint16_t Port) {
  NodeSettings Settings;
  Settings.m_Node = "n1";
  Settings.m_ClientEndpoint = {"127.0.0.1", Port};
  Settings.m_MaxBodyBytes = 4096;
  return Settings;
}

} // namespace

GatewayFixture::GatewayFixture(const Json &EngineDefaults)
    : m_Platform(Json::object()), m_Service(Json::object()),
      m_Settings(gatewaySettings(m_GatewayPort)),
      m_Store({loopback(m_PlatformPort)}, m_StoreClient),
      m_DataPath("n1.1", std::move(makeStrategy("round-robin", {}).value()),
                 m_Metrics),
      m_Claims("n1.1", m_Store, [](const std::string &) { return true; }),
      m_Gateway(m_Settings, m_DataPath, m_DataClient, m_Claims) {
  Json Defaults = {{"token_ms", 2},
                   {"load_ms", 0},
                   {"cold_capacity", 100},
                   {"prefill_us_per_kb", 0},
                   {"member_check_ms", 5}};
  Defaults.update(EngineDefaults);
  Json Engines = Json::array();
  for (const auto &[Vm, Port] : m_EnginePorts)
    Engines.push_back(Json{{"vm", Vm}, {"port", Port}});
  CPPUNIT_ASSERT(m_Platform.start(m_PlatformPort).ok());
  CPPUNIT_ASSERT(m_Service.start(m_ServicePort).ok());
  CPPUNIT_ASSERT(
      m_Engines.start({{"defaults", Defaults}, {"engines", Engines}}).ok());
  configure();
  CPPUNIT_ASSERT(m_Gateway.start().ok());
  m_Timer.start();
  m_Timer.runPeriodically(std::chrono::milliseconds(2), [this] {
    m_Gateway.tick(monotonicNow());
    m_Claims.tick(monotonicNow());
  });
}

GatewayFixture::~GatewayFixture() {
  m_TestClient.stop();
  m_Timer.stop();
  m_Gateway.stop([this] {
    m_DataClient.stop();
    m_StoreClient.stop();
    m_Gateway.discardWaitingRequests();
    m_Claims.discardWaitingCallbacks();
  });
}

void GatewayFixture::configure() {
  const Json Deployment = {
      {"kind", "deployment"}, {"name", "chat"},
      {"model", "m"},         {"version", "1"},
      {"contextLength", 1e6}, {"vmsPerGroup", 1},
      {"replicas", 2},        {"engineChecksFencing", true}};
  const Json Payouts = {
      {"kind", "service"},
      {"name", "pay"},
      {"backends", {loopback(m_ServicePort)}},
      {"nonIdempotentRoutes",
       Json::array({Json{{"method", "POST"}, {"pathPrefix", "/payouts"}}})}};
  const auto Organisation = [](const char *Name, const char *ApiKey,
                               double Requests) {
    return Json{{"kind", "organisation"},
                {"name", Name},
                {"apiKeySha256", {sha256Hex(ApiKey)}},
                {"requestsPerSecond", Requests}};
  };
  ConfigurationChange Change{1, "p1", "ana", 0, {}};
  for (Json Entry :
       {Deployment, Payouts, Organisation("tadamun", ApiKeyText, 0),
        Organisation("limited", "limited", 0.0001)}) {
    if (Entry.contains("contextLength"))
      Entry["contextLength"] = 1000000;
    const auto Id = parseEntryId(Entry, "entry");
    CPPUNIT_ASSERT(Id.ok());
    CPPUNIT_ASSERT(parseEntry(Entry, "entry").ok());
    Change.m_Entries.push_back({*Id, Entry.dump()});
  }
  m_DataPath.setConfiguration(
      {*ConfigurationView::makeEmpty()->withChange(Change), {}, true});
}

void GatewayFixture::loadGroup(const std::string &Vm) {
  const std::string Address = loopback(m_EnginePorts.at(Vm));
  HttpCall Order;
  Order.m_Method = "POST";
  Order.m_Url = fmt::format("http://{}/v1/orders", Address);
  Order.m_Body =
      Json{{"fence", 1},           {"order", "load"}, {"group", Vm},
           {"generation", 1},      {"model", "m"},    {"version", "1"},
           {"members", {Address}}, {"rank", 0}}
          .dump();
  CPPUNIT_ASSERT_EQUAL(200, m_TestClient.fetch(Order).m_Result.m_Status);
  waitFor("the engine is ready", [&] {
    return m_Engines.status(Vm)["engines"][Vm]["state"]["state"] == "ready";
  });
  addToRoutingTable(Vm);
}

void GatewayFixture::addToRoutingTable(const std::string &Vm,
                                       std::uint64_t Generation) {
  GroupView View;
  View.m_Group = Vm;
  View.m_Deployment = "chat";
  View.m_Generation = Generation;
  View.m_HeadAddress = loopback(m_EnginePorts.at(Vm));
  View.m_StartId = "s";
  View.m_Zone = "z";
  View.m_Capability.m_ContextLength = 1000000;
  View.m_Capability.m_Version = "1";
  View.m_ViewExpiry = monotonicNow() + std::chrono::hours(1);
  View.m_Warm = true;
  m_DataPath.routingTable().updateView(View);
  LoadReport Report;
  Report.m_Capacity = 16;
  Report.m_ReportedAt = monotonicNow();
  m_DataPath.routingTable().onLoadReport(Vm, Report);
}

std::string GatewayFixture::url(const std::string &Path) const {
  return fmt::format("http://{}{}", loopback(m_GatewayPort), Path);
}

HttpCall GatewayFixture::post(const std::string &Path, const Json &Body,
                              HttpHeaders Headers) const {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Url = url(Path);
  Call.m_Body = Body.dump();
  Call.m_Headers = std::move(Headers);
  Call.m_Headers.push_back(
      {"Authorization", std::string("Bearer ") + ApiKeyText});
  return Call;
}

HttpCall GatewayFixture::completion(int Tokens, bool IsStream) const {
  return post("/v1/completions", {{"model", "chat"},
                                  {"prompt", Prompt},
                                  {"max_tokens", Tokens},
                                  {"stream", IsStream}});
}

int GatewayFixture::counter(const std::string &Vm, const char *Name) {
  return m_Engines.status(Vm)["engines"][Vm][Name].get<int>();
}

std::size_t GatewayFixture::inFlightCount() {
  std::size_t Count = 0;
  for (const Candidate &Group : m_DataPath.routingTable().candidates("chat"))
    Count += Group.m_LocalInFlight;
  return Count;
}

std::string GatewayFixture::waitForAcceptingEngine() {
  std::string AcceptingVm;
  waitFor("an engine takes the request", [&] {
    for (const auto &[Vm, Port] : m_EnginePorts)
      if (counter(Vm, "accepted") > 0)
        AcceptingVm = Vm;
    return !AcceptingVm.empty();
  });
  return AcceptingVm;
}

} // namespace fulmarwinch
