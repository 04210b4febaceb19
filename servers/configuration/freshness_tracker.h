#ifndef FULMARWINCH_SERVERS_CONFIGURATION_FRESHNESS_TRACKER_H
#define FULMARWINCH_SERVERS_CONFIGURATION_FRESHNESS_TRACKER_H

#include "core/enum_names.h"
#include "core/json.h"
#include "core/time.h"
#include "servers/configuration/configuration_change.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Whether the configuration of a node is recent enough to accept new work.
enum class Freshness {
  /// The age of the configuration is within the limit. New work is accepted.
  Fresh,
  /// No node reaches the object store, so no change can be accepted anywhere.
  /// New work is accepted under the last known configuration.
  StoreOutage,
  /// A change that did not reach this node may have been accepted. New work is
  /// refused.
  Partitioned,
  /// The node has not received a configuration since its start. New work is
  /// refused.
  NoConfiguration,
};

inline constexpr std::array<EnumName<Freshness>, 4> FreshnessNames{{
    {Freshness::Fresh, "fresh"},
    {Freshness::StoreOutage, "outage_for_all"},
    {Freshness::Partitioned, "partitioned"},
    {Freshness::NoConfiguration, "not_ready"},
}};

/// Another node in the membership list. m_IsAlive is false if the node became
/// unreachable without announcing that it leaves.
struct ConfigurationPeer {
  std::string m_Node;
  std::string m_Zone;
  bool m_IsAlive = true;
};

/// Report of a node on whether it could reach the object store.
struct StoreReport {
  std::string m_Node;
  std::string m_Zone;
  bool m_IsReachable = false;
  /// Age of the report when it was sent to a peer.
  Duration m_Age{0};
};

/// Part of a ping answer that describes the configuration of its sender.
struct FreshnessAnswer {
  ConfigurationRevision m_Revision = 0;
  /// Time since m_Revision was last confirmed to be the newest revision; unset
  /// without a confirmation.
  std::optional<Duration> m_Age;
  /// Store reports of the sender and of other nodes.
  std::vector<StoreReport> m_StoreReports;
  /// Number of nodes known to the sender, itself included.
  std::size_t m_KnownNodeCount = 0;
};

Json toJson(const FreshnessAnswer &Answer);
/// Parses an object that toJson() returned. Fails if a field is malformed or an
/// age is negative.
absl::StatusOr<FreshnessAnswer> parseFreshnessAnswer(const Json &Object);

struct FreshnessOptions {
  /// ID and availability zone of this node.
  std::string m_Node;
  std::string m_Zone;
  /// Largest age of a fresh configuration. New work has to stop at most 3 s
  /// after its availability zone was taken out of service, so a node with an
  /// older configuration refuses it.
  Duration m_MaxAge = std::chrono::milliseconds(2500);
  /// Largest age of a store report that counts. It covers three pings and one
  /// retry of a store call by a watcher.
  Duration m_MaxReportAge = std::chrono::seconds(3);
  /// Configuration age above which ping answers contain store reports. In
  /// normal operation the age is lower, and no bandwidth is used for reports.
  Duration m_MinAgeForReports = std::chrono::milliseconds(1500);
  /// Number of availability zones in the settings, or 0 if unknown. Without
  /// it, nodes that were all replaced during a partition would count only the
  /// zones that they can reach.
  std::size_t m_ExpectedZoneCount = 0;
  /// Largest fleet, in nodes, in which every node sends store reports. In
  /// larger fleets only the watchers do, so that the reports fit into the byte
  /// budget of the messages between nodes.
  std::size_t m_MaxReportingNodes = 16;
  /// Time for which a lost peer still counts as a known node when a majority is
  /// determined.
  Duration m_LostPeerRetention = std::chrono::minutes(10);
};

/// Decides from the age of the configuration whether a node may accept new work
/// (docs/design.md, 4.4). The age counts from the time at which the store or a
/// peer was queried, not from the receipt of the answer. A delayed message thus
/// never makes a configuration look newer than it is.
class FreshnessTracker {
public:
  explicit FreshnessTracker(FreshnessOptions Options);

  /// Records that \p Revision was the newest one in the object store when the
  /// store was queried at \p QueriedAt.
  void onStoreConfirmed(ConfigurationRevision Revision,
                        MonotonicTime QueriedAt);
  /// Records whether a call of this node to the object store succeeded.
  void recordStoreReachability(bool Reachable, MonotonicTime At);
  /// Records the answer of a peer to a ping that was sent at \p PingedAt.
  void onPingAnswer(const FreshnessAnswer &Answer, MonotonicTime PingedAt);
  /// Records that this node has applied \p Revision.
  void onRevisionApplied(ConfigurationRevision Revision);
  /// Sets the other nodes in the membership list. Lost nodes are included until
  /// membership removes them.
  void setPeers(const std::vector<ConfigurationPeer> &Peers, MonotonicTime Now);

  /// Returns the time since this node's configuration was confirmed to be the
  /// newest one, or nothing without a confirmation.
  std::optional<Duration> age(MonotonicTime Now) const;
  Freshness state(MonotonicTime Now) const;
  bool mayAcceptNewWork(MonotonicTime Now) const;
  /// Returns this node's part of the answer to a ping.
  FreshnessAnswer pingAnswer(MonotonicTime Now) const;

private:
  struct KnownPeer {
    std::string m_Zone;
    bool m_IsAlive = true;
    MonotonicTime m_LostAt;
  };
  struct KnownReport {
    std::string m_Zone;
    bool m_IsReachable = false;
    MonotonicTime m_ReportedAsOf;
  };

  bool isFresh(MonotonicTime Now) const;
  bool isStoreOutage(MonotonicTime Now) const;
  bool hasMajorityAlive() const;
  std::size_t knownNodeCount() const;
  bool doAllNodesReport() const;
  std::size_t expectedReports(std::size_t Nodes) const;
  std::vector<StoreReport> currentReports(MonotonicTime Now) const;
  void recordConfirmation(ConfigurationRevision Revision, MonotonicTime AsOf);
  void recordReport(const std::string &Node, const KnownReport &Report);

  FreshnessOptions m_Options;
  ConfigurationRevision m_Revision = 0;
  bool m_HasConfiguration = false;
  /// Latest time at which m_Revision contained all accepted changes.
  std::optional<MonotonicTime> m_ConfirmedAsOf;
  /// Confirmations of revisions that this node has not applied yet.
  std::map<ConfigurationRevision, MonotonicTime> m_PendingConfirmations;
  std::map<std::string, KnownPeer> m_Peers;
  std::map<std::string, KnownReport> m_Reports;
  /// Largest m_KnownNodeCount in the ping answers of peers, and the time at
  /// which the ping with that answer was sent. A node that started inside a
  /// partition knows of the nodes outside only by this number.
  std::size_t m_ReportedNodeCount = 0;
  MonotonicTime m_NodeCountReportedAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_FRESHNESS_TRACKER_H
