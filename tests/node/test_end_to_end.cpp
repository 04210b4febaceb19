#include "core/hash.h"
#include "drivers/standin/engine_host.h"
#include "drivers/standin/platform_standin.h"
#include "drivers/standin/service_standin.h"
#include "drivers/standin/token_text.h"
#include "node/node.h"
#include "tests/node/http_caller.h"
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
  CPPUNIT_TEST(servesThroughAZoneMoveAndAShutdown);
  CPPUNIT_TEST(endsWithWorkInProgress);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    startStandins();
    startNodes();
    confirm(firstIntent());
    for (const std::string Node : {"n1", "n2"})
      waitFor("the node serves a stream", [&] { return isStreamed(Node, 3); });
  }

  void tearDown() override {
    m_Caller.stop();
    m_Nodes.clear();
    m_Engines.stop();
    m_Service.stop();
    m_Platform.stop();
  }

  /// Guards against parts that work alone and not together: a plan that never
  /// takes effect, a payout that runs twice through two nodes, work in an
  /// availability zone out of service, and a stream that a shutdown cuts.
  void servesThroughAZoneMoveAndAShutdown() {
    checkPayout();
    takeZoneOut("a");
    const int Before = acceptedIn("a");
    for (int Index = 0; Index < 5; ++Index)
      for (const std::string Node : {"n1", "n2"})
        waitFor("the other zone serves", [&] { return isStreamed(Node, 3); });
    CPPUNIT_ASSERT_EQUAL(Before, acceptedIn("a"));
    checkShutdown();
  }

  /// Guards against callbacks that run after the objects they use are
  /// destroyed, when a node ends while requests are in progress.
  void endsWithWorkInProgress() {
    RunningCall Stream(m_Caller, completion("n1", 100000, true));
    RunningCall Whole(m_Caller, completion("n1", 100000, false));
    waitFor("the stream runs", [&] { return !Stream.body().empty(); });
    m_Nodes.erase("n1");
    waitFor("the calls end", [&] { return Stream.isDone() && Whole.isDone(); });
    waitFor("the other node serves", [&] { return isStreamed("n2", 3); });
  }

private:
  struct NodePorts {
    std::uint16_t m_Client = freePort();
    std::uint16_t m_Operator = freePort();
    std::uint16_t m_Peer = freePort();
  };

  void startStandins() {
    Json Vms = Json::array();
    Json Engines = Json::array();
    for (auto &[Vm, Port] : m_EnginePorts) {
      Port = freePort();
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

  Json firstIntent() const {
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

  /// Plans at one node and confirms at the other.
  void confirm(const Json &Entries) {
    HttpClient::Response Answer;
    waitFor("the plan is made", [&] {
      Answer = call("n1", "POST", "/v1/intents", {{"entries", Entries}});
      return Answer.m_Result.m_Status == 200;
    });
    const std::string Plan = Json::parse(Answer.m_Body)["id"];
    waitFor("the plan is confirmed", [&] {
      Answer = call("n2", "POST", fmt::format("/v1/plans/{}/confirm", Plan));
      return Answer.m_Result.m_Status == 200;
    });
    const Json Revision = Json::parse(Answer.m_Body)["revision"];
    for (const std::string Node : {"n1", "n2"})
      waitFor("the change is in force", [&] {
        const auto Now = call(Node, "GET", "/v1/configuration");
        return Now.m_Result.m_Status == 200 &&
               Json::parse(Now.m_Body)["revision"] == Revision;
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
    return RunningCall(m_Caller, Call).wait();
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

  /// Returns true if a stream arrived whole. A refusal has to be true, and a
  /// response that began has to be complete.
  bool isStreamed(const std::string &Node, std::size_t Tokens) {
    const HttpClient::Response Response =
        RunningCall(m_Caller, completion(Node, static_cast<int>(Tokens), true))
            .wait();
    if (Response.m_Result.m_Status != 200)
      return false;
    checkWhole(Response, Tokens);
    return true;
  }

  static void checkWhole(const HttpClient::Response &Response,
                         std::size_t Tokens) {
    const StreamedText Text = readStream(Response.m_Body);
    CPPUNIT_ASSERT(Text.m_IsEnded && !Text.m_HasError);
    CPPUNIT_ASSERT_EQUAL(expectedText(Prompt, 0, Tokens), Text.m_Text);
  }

  void checkPayout() {
    const std::string Key = fmt::format("{}-ring", unixNow());
    std::string Body;
    for (const std::string Node : {"n1", "n2", "n1"}) {
      HttpCall Call = clientCall(Node, "/services/pay/payouts", {{"sum", 5}});
      Call.m_Headers.push_back({"Idempotency-Key", Key});
      HttpClient::Response Response;
      // The outcome is stored after the first answer, and until then another
      // node can only tell that the payout is in progress.
      waitFor("the outcome is stored", [&] {
        Response = RunningCall(m_Caller, Call).wait();
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

  void takeZoneOut(const std::string &Zone) {
    confirm(Json::array(
        {Json{{"kind", "zone"}, {"name", Zone}, {"inService", false}}}));
  }

  int acceptedIn(const std::string &Zone) {
    int Count = 0;
    for (const auto &[Vm, Port] : m_EnginePorts)
      if (Vm.substr(0, 1) == Zone)
        Count += m_Engines.status(Vm)["engines"][Vm]["accepted"].get<int>();
    return Count;
  }

  void checkShutdown() {
    constexpr std::size_t Tokens = 500;
    const RunningCall Stream(m_Caller, completion("n1", Tokens, true));
    waitFor("the stream runs",
            [&] { return readStream(Stream.body()).m_Indexes.size() > 3; });
    m_Nodes["n1"]->shutDown();
    checkWhole(Stream.wait(), Tokens);
    m_Nodes.erase("n1");
    waitFor("the other node serves", [&] { return isStreamed("n2", 3); });
  }

  const std::uint16_t m_PlatformPort = freePort();
  const std::uint16_t m_ServicePort = freePort();
  std::map<std::string, std::uint16_t> m_EnginePorts{
      {"a1", 0}, {"a2", 0}, {"b1", 0}, {"b2", 0}};
  std::map<std::string, NodePorts> m_Ports;
  PlatformStandin m_Platform{Json::object()};
  ServiceStandin m_Service{Json::object()};
  EngineHost m_Engines;
  HttpClient m_Caller{2};
  std::map<std::string, std::unique_ptr<Node>> m_Nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndToEndTest);

} // namespace fulmarwinch
