#ifndef FULMARWINCH_PROXY_FRONT_SETTINGS_H
#define FULMARWINCH_PROXY_FRONT_SETTINGS_H

#include "core/time.h"
#include "servers/fleet/backend_server.h"

#include <cstdint>
#include <string>

namespace fulmarwinch {

/// Settings of a front node.
struct FrontSettings {
  std::string m_Node;
  std::string m_Zone;
  std::string m_Ip;
  /// Address for clients, and for the balancer's readiness question.
  Endpoint m_Clients;
  Endpoint m_Readiness;
  Endpoint m_Store;
  /// UDP port for peers, the same on all nodes.
  std::uint16_t m_PeerPort = 0;
  /// TCP port for metrics, as deploy/system.toml names it.
  std::uint16_t m_MetricsPort = 9464;
  /// Time from SIGTERM until the process is killed.
  Duration m_GracePeriod = std::chrono::seconds(8);
  /// A group whose member is gone breaks by itself after this time.
  Duration m_StallTime = std::chrono::seconds(5);
  /// Repeats of all nodes together, per request and besides, in each window.
  double m_RetryRatio = 0.2;
  double m_RetrySlack = 50.0;
  Duration m_RetryWindow = std::chrono::seconds(10);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_FRONT_SETTINGS_H
