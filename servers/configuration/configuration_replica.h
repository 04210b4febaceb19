#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_REPLICA_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_REPLICA_H

#include "core/store_messages.h"
#include "core/time.h"
#include "servers/configuration/configuration_head.h"
#include "servers/configuration/configuration_view.h"
#include "servers/configuration/freshness_tracker.h"
#include "servers/configuration/replica_messages.h"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

struct ReplicaOptions {
  std::string m_Node;
  std::string m_Zone;
  std::size_t m_WatchersPerZone = 2;
  /// A watch call confirms the revision as of the moment it was sent, so its
  /// length is part of every node's age. With 1 s a node three pings away
  /// from a watcher would exceed the age limit of 2.5 s.
  Duration m_WatchTimeout = std::chrono::milliseconds(250);
  /// A store call without answer for this time is reported as unreachable.
  Duration m_StoreCallLimit = std::chrono::seconds(1);
  Duration m_RetryDelay = std::chrono::milliseconds(500);
  /// Time for which a node without configuration asks peers only, so that a
  /// replacement of all nodes does not exhaust the store's read rate.
  Duration m_PeersFirst = std::chrono::milliseconds(500);
  Duration m_AskTimeout = std::chrono::seconds(1);
  /// Changes kept for peers that lag; older ones are replaced by a snapshot.
  std::size_t m_MaxLogBytes = 65536;
  FreshnessOptions m_Freshness;
};

/// A node's configuration: applies changes from the object store and from
/// peers in order, never goes back, passes each change on once and fills gaps
/// by asking. Every event returns the actions to be carried out.
class ConfigurationReplica {
public:
  using Actions = std::vector<ReplicaAction>;

  ConfigurationReplica(ReplicaOptions Options, MonotonicTime Now);

  /// The configuration in force.
  const ConfigurationView::Pointer &view() const { return m_View; }
  const FreshnessTracker &freshness() const { return m_Freshness; }
  bool isWatcher() const { return m_IsWatcher; }

  Actions onPeers(const std::vector<ConfigurationPeer> &Peers,
                  const std::vector<std::string> &Neighbours,
                  MonotonicTime Now);
  Actions onGet(const GetCompleted &Event, MonotonicTime Now);
  Actions onWatch(const WatchCompleted &Event, MonotonicTime Now);
  Actions onList(const ListCompleted &Event, MonotonicTime Now);
  /// A peer answered a ping that was sent at \p PingedAt.
  Actions onAnswer(const std::string &Peer, const FreshnessAnswer &Answer,
                   MonotonicTime PingedAt, MonotonicTime Now);
  /// A peer asks for everything after \p Have.
  Actions onAsked(const std::string &Peer, ConfigurationRevision Have) const;
  Actions onUpdate(const std::string &Peer, const ConfigurationUpdate &Update,
                   MonotonicTime Now);
  /// This node's writer accepted \p Change.
  Actions onAccepted(const ConfigurationChange &Change);
  /// To be called about every 50 ms.
  Actions onTick(MonotonicTime Now, std::mt19937_64 &Random);

private:
  struct StoreCall {
    StoreCallId m_Id = 0;
    MonotonicTime m_SentAt;
  };
  /// The newest version of the head that the store told, and when it was asked.
  struct ToldVersion {
    ObjectVersion m_Version = 0;
    MonotonicTime m_AskedAt;
  };

  StoreCallId begin(std::optional<StoreCall> &Call, MonotonicTime Now);
  bool end(std::optional<StoreCall> &Call, StoreCallId Id, MonotonicTime &At);
  void watch(Actions &Result, MonotonicTime Now);
  void readHead(Actions &Result, MonotonicTime Now);
  void onTold(ObjectVersion Version, MonotonicTime AskedAt, Actions &Result,
              MonotonicTime Now);
  void onHead(const GetCompleted &Event, Actions &Result, MonotonicTime Now);
  void confirmIfRead();
  void storeFailed(MonotonicTime Now);
  bool apply(const ConfigurationChange &Change);
  bool adopt(const ConfigurationView::Pointer &View);
  void passOn(ConfigurationRevision From, const std::string &Source,
              Actions &Result) const;
  void ask(const std::string &Peer, Actions &Result, MonotonicTime Now);
  void tickStore(Actions &Result, MonotonicTime Now);

  ReplicaOptions m_Options;
  FreshnessTracker m_Freshness;
  MonotonicTime m_StartedAt;
  ConfigurationView::Pointer m_View;
  /// The changes that led to m_View, without a gap, newest last.
  std::deque<ConfigurationChange> m_Log;
  std::size_t m_LogBytes = 0;
  std::vector<std::string> m_Neighbours;
  bool m_IsWatcher = false;
  bool m_HasPeers = false;

  StoreCallId m_LastCallId = 0;
  std::optional<StoreCall> m_Watch;
  std::optional<StoreCall> m_Get;
  /// Store revision from which to watch; unset means that a list is needed.
  std::optional<std::uint64_t> m_Since;
  ToldVersion m_Told;
  /// Newest version of the head whose content has been applied.
  ObjectVersion m_AppliedVersion = 0;
  std::optional<ConfigurationHead> m_HeadWithoutSnapshot;
  ObjectVersion m_VersionWithoutSnapshot = 0;
  std::optional<MonotonicTime> m_StoreRetryAt;
  std::optional<MonotonicTime> m_AskedAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_REPLICA_H
