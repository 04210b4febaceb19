#include "core/hash.h"
#include "drivers/standin/engine_standin_host.h"
#include "drivers/standin/platform_standin.h"
#include "drivers/standin/service_standin.h"
#include "drivers/standin/token_text.h"
#include "node/node.h"
#include "tests/node/http_test_client.h"
#include "tests/support/free_port.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <map>
#include <thread>

namespace fulmarwinch {

namespace {

constexpr const char *AdminKey = "admin key";
constexpr const char *OrganisationKey = "organisation key";
constexpr const char *Prompt = "value the ring";

std::string loopback(std::uint16_t Port) {
  return fmt::format("127.0.0.1:{}", Port);
}

} // namespace

/// Two nodes, the platform, two groups of two engines in two availability
/// zones and a payout service, all in this process.
class EndToEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndToEndTest);
  CPPUNIT_TEST(serviceContinuesDuringZoneRemovalAndShutdown);
  CPPUNIT_TEST(nodeStopsWithRequestsInProgress);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    startSimulatedServices();
    startNodes();
    planAndConfirm(initialEntries());
    for (const std::string Node : {"n1", "n2"})
      waitFor("the node serves a stream",
              [&] { return streamsCompletely(Node, 3); });
  }

  void tearDown() override {
    m_TestClient.stop();
    m_Nodes.clear();
    m_Engines.stop();
    m_Service.stop();
    m_Platform.stop();
  }

  /// Guards against failures between components: a plan that never takes
  /// effect, a payout that runs twice through two nodes, requests in an
  /// availability zone that is out of service, and a stream that a shutdown
  /// interrupts.
  void serviceContinuesDuringZoneRemovalAndShutdown() {
    checkPayoutRunsOnce();
    takeZoneOutOfService("a");
    const int AcceptedBefore = acceptedIn("a");
    for (int Index = 0; Index < 5; ++Index)
      for (const std::string Node : {"n1", "n2"})
        waitFor("the other zone serves",
                [&] { return streamsCompletely(Node, 3); });
    CPPUNIT_ASSERT_EQUAL(AcceptedBefore, acceptedIn("a"));
    checkStreamSurvivesShutdown();
  }

  /// Guards against callbacks that run after the objects they use are
  /// destroyed, when a node is destroyed while requests are in progress.
  void nodeStopsWithRequestsInProgress() {
    BackgroundCall Stream(m_TestClient, completion("n1", 100000, true));
    BackgroundCall Unstreamed(m_TestClient, completion("n1", 100000, false));
    waitFor("the stream runs", [&] { return !Stream.body().empty(); });
    m_Nodes.erase("n1");
    waitFor("the calls end",
            [&] { return Stream.isDone() && Unstreamed.isDone(); });
    waitFor("the other node serves",
            [&] { return streamsCompletely("n2", 3); });
  }

private:
  struct NodePorts {
    std::uint16_t m_Client = findFreePort();
    std::uint16_t m_Operator = findFreePort();
    std::uint16_t m_Peer = findFreePort();
  };

  void startSimulatedServices() {
    Json Vms = Json::array();
    Json Engines = Json::array();
    for (auto &[Vm, Port] : m_EnginePorts) {
      Port = findFreePort();
      const std::string Zone = Vm.substr(0, 1);
      Vms.push_back(Json{{"vm", Vm},
                         {"address", loopback(Port)},
                         {"zone", Zone},
                         {"domain", "domain-" + Zone}});
      Engines.push_back(Json{{"vm", Vm}, {"port", Port}});
    }
    const Json Defaults = {{"token_ms", 2},
                           {"load_ms", 10},
                           {"cold_capacity", 8},
                           {"warm_after", 1},
                           {"prefill_us_per_kb", 0}};
    m_Platform.control({{"vms", Vms}});
    CPPUNIT_ASSERT(m_Platform.start(m_PlatformPort).ok());
    CPPUNIT_ASSERT(m_Service.start(m_ServicePort).ok());
    CPPUNIT_ASSERT(
        m_Engines.start({{"defaults", Defaults}, {"engines", Engines}}).ok());
  }

  void startNodes() {
    for (const std::string Name : {"n1", "n2"}) {
      const NodePorts &Ports = m_Ports[Name];
      NodeSettings Settings;
      Settings.m_Node = Name;
      Settings.m_Region = "r";
      Settings.m_Zone = Name == "n1" ? "a" : "b";
      Settings.m_ClientEndpoint = {"127.0.0.1", Ports.m_Client};
      Settings.m_OperatorEndpoint = {"127.0.0.1", Ports.m_Operator};
      Settings.m_PeerEndpoint = {"127.0.0.1", Ports.m_Peer};
      Settings.m_PlatformEndpoint = {"127.0.0.1", m_PlatformPort};
      if (Name == "n2")
        Settings.m_Seeds = {{"127.0.0.1", m_Ports["n1"].m_Peer}};
      Settings.m_BootstrapKeySha256 = sha256Hex(AdminKey);
      Settings.m_DrainGraceMs = 20;
      m_Nodes[Name] = std::make_unique<Node>(Settings);
      CPPUNIT_ASSERT(m_Nodes[Name]->start().ok());
    }
  }

  Json initialEntries() const {
    const Json Deployment = {{"kind", "deployment"},
                             {"name", "chat"},
                             {"model", "m"},
                             {"version", "1"},
                             {"contextLength", 1000000},
                             {"vmsPerGroup", 2},
                             {"replicas", 2},
                             {"engineChecksFencing", true}};
    const Json Organisation = {{"kind", "organisation"},
                               {"name", "tadamun"},
                               {"apiKeySha256", {sha256Hex(OrganisationKey)}}};
    const Json Payouts = {
        {"kind", "service"},
        {"name", "pay"},
        {"backends", {loopback(m_ServicePort)}},
        {"nonIdempotentRoutes",
         Json::array({Json{{"method", "POST"}, {"pathPrefix", "/payouts"}}})}};
    return Json::array({Deployment, Organisation, Payouts});
  }

  /// Plans \p Entries at one node, confirms the plan at the other and waits
  /// until both nodes use the change.
  void planAndConfirm(const Json &Entries) {
    HttpClient::Response Response;
    waitFor("the plan is made", [&] {
      Response = call("n1", "POST", "/v1/intents", {{"entries", Entries}});
      return Response.m_Result.m_Status == 200;
    });
    const std::string Plan = Json::parse(Response.m_Body)["id"];
    waitFor("the plan is confirmed", [&] {
      Response = call("n2", "POST", fmt::format("/v1/plans/{}/confirm", Plan));
      return Response.m_Result.m_Status == 200;
    });
    const Json Revision = Json::parse(Response.m_Body)["revision"];
    for (const std::string Node : {"n1", "n2"})
      waitFor("the change is active", [&] {
        const auto Configuration = call(Node, "GET", "/v1/configuration");
        return Configuration.m_Result.m_Status == 200 &&
               Json::parse(Configuration.m_Body)["revision"] == Revision;
      });
  }

  HttpClient::Response call(const std::string &Node, const char *Method,
                            const std::string &Path, const Json &Body = {}) {
    HttpCall Call;
    Call.m_Method = Method;
    Call.m_Url =
        fmt::format("http://{}{}", loopback(m_Ports[Node].m_Operator), Path);
    Call.m_Body = Body.dump();
    Call.m_Headers = {{"Authorization", std::string("Bearer ") + AdminKey}};
    return BackgroundCall(m_TestClient, Call).wait();
  }

  HttpCall clientCall(const std::string &Node, const std::string &Path,
                      const Json &Body) {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Url =
        fmt::format("http://{}{}", loopback(m_Ports[Node].m_Client), Path);
    Call.m_Body = Body.dump();
    Call.m_Headers = {
        {"Authorization", std::string("Bearer ") + OrganisationKey}};
    return Call;
  }

  HttpCall completion(const std::string &Node, int Tokens, bool IsStream) {
    return clientCall(Node, "/v1/completions",
                      {{"model", "chat"},
                       {"prompt", Prompt},
                       {"max_tokens", Tokens},
                       {"stream", IsStream}});
  }

  /// Returns true if the node streamed a complete response, false if it refused
  /// the request. A response that has begun must be complete.
  bool streamsCompletely(const std::string &Node, std::size_t Tokens) {
    const HttpClient::Response Response =
        BackgroundCall(m_TestClient,
                       completion(Node, static_cast<int>(Tokens), true))
            .wait();
    if (Response.m_Result.m_Status != 200)
      return false;
    checkCompleteStream(Response, Tokens);
    return true;
  }

  static void checkCompleteStream(const HttpClient::Response &Response,
                                  std::size_t Tokens) {
    const StreamedCompletion Text = parseStreamedCompletion(Response.m_Body);
    CPPUNIT_ASSERT(Text.m_IsEnded && !Text.m_HasError);
    CPPUNIT_ASSERT_EQUAL(expectedText(Prompt, 0, Tokens), Text.m_Text);
  }

  void checkPayoutRunsOnce() {
    const std::string Key = fmt::format("{}-ring", unixNow());
    std::string Body;
    for (const std::string Node : {"n1", "n2", "n1"}) {
      HttpCall Call = clientCall(Node, "/services/pay/payouts", {{"sum", 5}});
      Call.m_Headers.push_back({"Idempotency-Key", Key});
      HttpClient::Response Response;
      // The outcome is stored after the first response. Until then another node
      // reports the payout as in progress.
      waitFor("the outcome is stored", [&] {
        Response = BackgroundCall(m_TestClient, Call).wait();
        if (Response.m_Result.m_Status == 200)
          return true;
        CPPUNIT_ASSERT_EQUAL(
            std::string("in_progress"),
            Json::parse(Response.m_Body)["error"]["type"].get<std::string>());
        return false;
      });
      CPPUNIT_ASSERT(Body.empty() || Body == Response.m_Body);
      Body = Response.m_Body;
    }
    CPPUNIT_ASSERT_EQUAL(1, m_Service.status()["executions"][Key].get<int>());
  }

  void takeZoneOutOfService(const std::string &Zone) {
    planAndConfirm(Json::array(
        {Json{{"kind", "zone"}, {"name", Zone}, {"inService", false}}}));
  }

  int acceptedIn(const std::string &Zone) {
    int Count = 0;
    for (const auto &[Vm, Port] : m_EnginePorts)
      if (Vm.substr(0, 1) == Zone)
        Count += m_Engines.status(Vm)["engines"][Vm]["accepted"].get<int>();
    return Count;
  }

  void checkStreamSurvivesShutdown() {
    constexpr std::size_t Tokens = 500;
    const BackgroundCall Stream(m_TestClient, completion("n1", Tokens, true));
    waitFor("the stream runs", [&] {
      return parseStreamedCompletion(Stream.body()).m_Indexes.size() > 3;
    });
    m_Nodes["n1"]->shutDown();
    checkCompleteStream(Stream.wait(), Tokens);
    m_Nodes.erase("n1");
    waitFor("the other node serves",
            [&] { return streamsCompletely("n2", 3); });
  }

  const std::uint16_t m_PlatformPort = findFreePort();
  const std::uint16_t m_ServicePort = findFreePort();
  std::map<std::string, std::uint16_t> m_EnginePorts{
      {"a1", 0}, {"a2", 0}, {"b1", 0}, {"b2", 0}};
  std::map<std::string, NodePorts> m_Ports;
  PlatformStandin m_Platform{Json::object()};
  ServiceStandin m_Service{Json::object()};
  EngineStandinHost m_Engines;
  HttpClient m_TestClient{2};
  std::map<std::string, std::unique_ptr<Node>> m_Nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndToEndTest);

} // namespace fulmarwinch
