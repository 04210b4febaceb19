#ifndef FULMARWINCH_TESTS_NODE_GATEWAY_WORLD_H
#define FULMARWINCH_TESTS_NODE_GATEWAY_WORLD_H

#include "drivers/platform/http_object_store.h"
#include "drivers/standin/engine_host.h"
#include "drivers/standin/platform_standin.h"
#include "drivers/standin/service_standin.h"
#include "node/control_thread.h"
#include "node/gateway.h"
#include "tests/node/http_caller.h"
#include "tests/support/free_port.h"

#include <string>

namespace fulmarwinch {

/// A gateway with its data path in front of two groups of one engine each, a
/// payout service and the platform, all in this process. The control plane is
/// left out: the test writes the routing table itself.
class GatewayWorld {
public:
  /// \p EngineDefaults are options of the engine stand-ins.
  explicit GatewayWorld(const Json &EngineDefaults = Json::object());
  ~GatewayWorld();
  GatewayWorld(const GatewayWorld &) = delete;
  GatewayWorld &operator=(const GatewayWorld &) = delete;

  /// Makes the engine of \p Vm ready for group \p Vm at generation 1.
  void loadGroup(const std::string &Vm);
  /// Offers the group to the router at \p Generation.
  void offerGroup(const std::string &Vm, std::uint64_t Generation = 1);

  /// Address of an endpoint of the gateway.
  std::string url(const std::string &Path) const;
  /// A POST with the organisation's key.
  HttpCall post(const std::string &Path, const Json &Body,
                HttpHeaders Headers = {}) const;
  /// A completion of \p Tokens tokens.
  HttpCall completion(int Tokens, bool IsStream) const;
  /// Counter \p Name of the engine of \p Vm.
  int counter(const std::string &Vm, const char *Name);
  /// Requests in flight at all groups by the routing table.
  std::size_t inFlight();
  /// Returns the engine that took a request.
  std::string waitForBusyEngine();

  static constexpr const char *Prompt = "explain the bill";

  const std::uint16_t m_PlatformPort = freePort();
  const std::uint16_t m_ServicePort = freePort();
  const std::uint16_t m_GatewayPort = freePort();
  const std::map<std::string, std::uint16_t> m_EnginePorts{{"g1", freePort()},
                                                           {"g2", freePort()}};
  PlatformStandin m_Platform;
  ServiceStandin m_Service;
  EngineHost m_Engines;
  NodeSettings m_Settings;
  Metrics m_Metrics;
  HttpClient m_Caller{2};
  HttpClient m_DataClient{2};
  HttpClient m_StoreClient{1};
  HttpObjectStore m_Store;
  DataPath m_Path;
  ClaimService m_Claims;
  Gateway m_Gateway;
  ControlThread m_Timer;

private:
  void configure();
};

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_NODE_GATEWAY_WORLD_H
