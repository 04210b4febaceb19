#ifndef FULMARWINCH_TESTS_NODE_GATEWAY_FIXTURE_H
#define FULMARWINCH_TESTS_NODE_GATEWAY_FIXTURE_H

#include "drivers/platform/http_object_store.h"
#include "drivers/standin/engine_standin_host.h"
#include "drivers/standin/platform_standin.h"
#include "drivers/standin/service_standin.h"
#include "node/gateway.h"
#include "node/task_thread.h"
#include "tests/node/http_test_client.h"
#include "tests/support/free_port.h"

#include <string>

namespace fulmarwinch {

/// A gateway with its data path in front of two groups of one engine each, a
/// payout service and the platform, all in this process. There is no control
/// plane: the tests write the routing table themselves.
class GatewayFixture {
public:
  /// \p EngineDefaults are options of the simulated engines.
  explicit GatewayFixture(const Json &EngineDefaults = Json::object());
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture &) = delete;
  GatewayFixture &operator=(const GatewayFixture &) = delete;

  /// Loads the model on the engine of \p Vm, as generation 1 of a group that is
  /// also named \p Vm, and adds the group to the routing table.
  void loadGroup(const std::string &Vm);
  /// Adds group \p Vm to the routing table at \p Generation.
  void addToRoutingTable(const std::string &Vm, std::uint64_t Generation = 1);

  /// Returns the URL of \p Path at the gateway.
  std::string url(const std::string &Path) const;
  /// Returns a POST request with the API key of the organisation.
  HttpCall post(const std::string &Path, const Json &Body,
                HttpHeaders Headers = {}) const;
  /// Returns a request for a completion of \p Tokens tokens.
  HttpCall completion(int Tokens, bool IsStream) const;
  /// Returns the counter \p Name of the engine of \p Vm.
  int counter(const std::string &Vm, const char *Name);
  /// Returns the number of requests in flight at all groups, as the routing
  /// table counts them.
  std::size_t inFlightCount();
  /// Waits until an engine has accepted a request and returns its VM.
  std::string waitForAcceptingEngine();

  static constexpr const char *Prompt = "explain the bill";

  const std::uint16_t m_PlatformPort = findFreePort();
  const std::uint16_t m_ServicePort = findFreePort();
  const std::uint16_t m_GatewayPort = findFreePort();
  const std::map<std::string, std::uint16_t> m_EnginePorts{
      {"g1", findFreePort()}, {"g2", findFreePort()}};
  PlatformStandin m_Platform;
  ServiceStandin m_Service;
  EngineStandinHost m_Engines;
  NodeSettings m_Settings;
  Metrics m_Metrics;
  HttpClient m_TestClient{2};
  HttpClient m_DataClient{2};
  HttpClient m_StoreClient{1};
  HttpObjectStore m_Store;
  DataPath m_DataPath;
  ClaimService m_Claims;
  Gateway m_Gateway;
  TaskThread m_Timer;

private:
  void configure();
};

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_NODE_GATEWAY_FIXTURE_H
