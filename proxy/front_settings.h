#ifndef FULMARWINCH_PROXY_FRONT_SETTINGS_H
#define FULMARWINCH_PROXY_FRONT_SETTINGS_H

#include "core/enum_names.h"
#include "core/time.h"
#include "servers/fleet/backend_server.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>

namespace fulmarwinch {

/// Parts of the decisions under load that a deployment switches on.
enum class OptionalPart {
  /// Servers are chosen by the estimated first event and pause, their speed and
  /// the tokens that they hold.
  Placement,
  /// Models are supplied by the urgency of their requests and for the loss of
  /// zones.
  Supply,
};

inline constexpr std::array<EnumName<OptionalPart>, 2> OptionalPartNames{{
    {OptionalPart::Placement, "placement"},
    {OptionalPart::Supply, "supply"},
}};

/// Settings of a front node, read from its settings file.
struct FrontSettings {
  /// Unique name of this node.
  std::string m_NodeName;
  std::string m_Zone;
  std::string m_Ip;
  /// Listening address for client requests.
  Endpoint m_ClientEndpoint;
  /// Listening address for the load balancer's readiness probe.
  Endpoint m_ReadinessEndpoint;
  /// Address of the platform's object store.
  Endpoint m_StoreEndpoint;
  /// Bandwidth of this node's network link in Mbit/s; 0 if unknown.
  double m_LinkMbps = 0.0;
  /// Memory limit of the process in MB; 0 if unknown.
  double m_MemoryMb = 0.0;
  /// Maximum number of open descriptors of the process, of which 200 are
  /// reserved for files; 0 if unknown.
  std::size_t m_MaxFds = 0;
  /// UDP port for messages between front nodes, the same on all nodes.
  std::uint16_t m_PeerPort = 0;
  /// TCP port that serves metrics; must match deploy/system.toml.
  std::uint16_t m_MetricsPort = 9464;
  /// Time between SIGTERM and SIGKILL at shutdown.
  Duration m_GracePeriod = std::chrono::seconds(8);
  /// Time after which the head of a group that lost a member stops serving
  /// without an order.
  Duration m_GroupBreakDelay = std::chrono::seconds(5);
  /// Period in which each backend server writes its entry to the store. An
  /// entry that was not written for three periods is removed.
  Duration m_ServerReportPeriod = std::chrono::milliseconds(1200);
  /// Number of availability zones whose loss the supply of each model must
  /// bear.
  std::size_t m_TolerableZoneLosses = 0;
  /// True if the whole system starts for the first time.
  bool m_IsFirstStart = false;
  /// Retry budget of all nodes together: in each window at most this share of
  /// the requests, plus m_RetryBudgetSlack, may be retries.
  double m_RetryBudgetRatio = 0.2;
  /// Number of retries allowed in each window in addition to the share
  /// m_RetryBudgetRatio.
  double m_RetryBudgetSlack = 50.0;
  Duration m_RetryBudgetWindow = std::chrono::seconds(10);
  /// Maximum number of second attempts for slow responses per request, from 0
  /// (none are sent) to MaxSecondAttemptShare.
  double m_SecondAttemptShare = 0.0;
  std::set<OptionalPart> m_EnabledParts;

  bool isEnabled(OptionalPart Part) const {
    return m_EnabledParts.count(Part) != 0;
  }
};

/// Time after which a store that has returned from a copy shows no entry of a
/// backend server as it was when the copy was made: those that were not written
/// again have been removed.
inline Duration restorationTime(const FrontSettings &Settings) {
  constexpr int PeriodsUntilRemoval = 3;
  constexpr Duration RemovalMargin = std::chrono::milliseconds(400);
  return Settings.m_ServerReportPeriod * PeriodsUntilRemoval + RemovalMargin;
}

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_FRONT_SETTINGS_H
