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

/// What a node may conclude from the age of its configuration.
enum class Freshness {
  /// The age is below the limit: new work is accepted.
  Fresh,
  /// Nobody reaches the object store, so nobody can confirm a change: new
  /// work is accepted with the last configuration.
  OutageForAll,
  /// A change may have been confirmed elsewhere: new work is refused.
  Partitioned,
  /// The node has never had a configuration.
  NotReady,
};

inline constexpr std::array<EnumName<Freshness>, 4> FreshnessNames{{
    {Freshness::Fresh, "fresh"},
    {Freshness::OutageForAll, "outage_for_all"},
    {Freshness::Partitioned, "partitioned"},
    {Freshness::NotReady, "not_ready"},
}};

/// A node as known from membership. m_Alive is false for a node that was lost
/// without saying that it leaves.
struct ConfigurationPeer {
  std::string m_Node;
  std::string m_Zone;
  bool m_Alive = true;
};

/// Whether a watcher reached the object store at some time.
struct StoreReport {
  std::string m_Node;
  std::string m_Zone;
  bool m_Reachable = false;
  /// Time since the report was true, as told to a peer.
  Duration m_Age{0};
};

/// Answer to a ping, as far as the configuration is concerned.
struct FreshnessAnswer {
  ConfigurationRevision m_Revision = 0;
  /// Time since m_Revision was known to be the newest one, if ever.
  std::optional<Duration> m_Age;
  std::vector<StoreReport> m_Reports;
  /// Number of nodes known to the answering node, itself included.
  std::size_t m_KnownNodes = 0;
};

Json toJson(const FreshnessAnswer &Answer);
absl::StatusOr<FreshnessAnswer> parseFreshnessAnswer(const Json &Object);

struct FreshnessOptions {
  std::string m_Node;
  std::string m_Zone;
  /// An older configuration may miss an availability zone taken out of
  /// service. The bound for new work there is 3 s.
  Duration m_AgeLimit = std::chrono::milliseconds(2500);
  /// Age of a store report up to which it counts. It covers three pings and
  /// one retry of a watcher.
  Duration m_ReportLimit = std::chrono::seconds(3);
  /// Store reports are passed on once the age exceeds this, so that they cost
  /// nothing in normal operation.
  Duration m_ReportAge = std::chrono::milliseconds(1500);
  /// Number of availability zones by the settings, 0 if not known. It keeps
  /// nodes that were all replaced inside a partition from taking their own
  /// zone for the whole region.
  std::size_t m_ExpectedZones = 0;
  /// Up to this many nodes, every node reports; in larger fleets only the
  /// watchers do, so that the reports fit the byte budget.
  std::size_t m_MaxReportingNodes = 16;
  /// Time for which a lost peer still counts in the majority.
  Duration m_LostPeerRetention = std::chrono::minutes(10);
};

/// Decides whether new work may be accepted (design page, 4.4). The age comes
/// from pulls only: it counts from the moment before the question was sent, so
/// a delayed message never makes a configuration look newer than it is.
class FreshnessTracker {
public:
  explicit FreshnessTracker(FreshnessOptions Options);

  /// The object store confirmed to a question sent at \p AskedAt that
  /// \p Revision is the newest one.
  void onStoreConfirmed(ConfigurationRevision Revision, MonotonicTime AskedAt);
  /// The node's own calls of the object store succeed or fail.
  void onStoreReport(bool Reachable, MonotonicTime At);
  /// A peer answered a ping that was sent at \p PingedAt.
  void onAnswer(const FreshnessAnswer &Answer, MonotonicTime PingedAt);
  /// The node's configuration is now at \p Revision.
  void onRevision(ConfigurationRevision Revision);
  /// The peers known from membership, lost ones included as long as
  /// membership remembers them, without this node.
  void onPeers(const std::vector<ConfigurationPeer> &Peers, MonotonicTime Now);

  std::optional<Duration> age(MonotonicTime Now) const;
  Freshness state(MonotonicTime Now) const;
  bool mayAcceptNewWork(MonotonicTime Now) const;
  FreshnessAnswer answer(MonotonicTime Now) const;

private:
  struct KnownPeer {
    std::string m_Zone;
    bool m_Alive = true;
    MonotonicTime m_LostAt;
  };
  struct KnownReport {
    std::string m_Zone;
    bool m_Reachable = false;
    MonotonicTime m_AsOf;
  };

  bool isFresh(MonotonicTime Now) const;
  bool isOutageForAll(MonotonicTime Now) const;
  bool hasMajorityAlive() const;
  std::size_t knownNodes() const;
  bool doAllReport() const;
  std::size_t places(std::size_t Members) const;
  std::vector<StoreReport> currentReports(MonotonicTime Now) const;
  void confirm(ConfigurationRevision Revision, MonotonicTime AsOf);
  void keepReport(const std::string &Node, const KnownReport &Report);

  FreshnessOptions m_Options;
  ConfigurationRevision m_Revision = 0;
  bool m_HasConfiguration = false;
  std::optional<MonotonicTime> m_AsOf;
  /// Confirmations of revisions that this node does not have yet.
  std::map<ConfigurationRevision, MonotonicTime> m_Pending;
  std::map<std::string, KnownPeer> m_Peers;
  std::map<std::string, KnownReport> m_Reports;
  /// Largest number of nodes that a peer told, and when. A node that started
  /// inside a partition never met the others, but it has its configuration
  /// from a node that did.
  std::size_t m_ToldNodes = 0;
  MonotonicTime m_ToldAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_FRESHNESS_TRACKER_H
