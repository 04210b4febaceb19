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

struct ConfigurationReplicaOptions {
  /// ID and availability zone of this node.
  std::string m_Node;
  std::string m_Zone;
  std::size_t m_WatchersPerZone = 2;
  /// Longest duration of a watch call. The answer confirms the revision as of
  /// the time at which the call was sent, so the duration adds to the
  /// configuration age of every node. With 1 s, a node three pings away from a
  /// watcher would exceed the age limit of 2.5 s.
  Duration m_WatchTimeout = std::chrono::milliseconds(250);
  /// A store call without an answer counts as failed after m_WatchTimeout plus
  /// this time.
  Duration m_StoreCallTimeout = std::chrono::seconds(1);
  /// Delay before a failed store call is repeated.
  Duration m_StoreRetryDelay = std::chrono::milliseconds(500);
  /// Time after the start in which a node without a configuration requests it
  /// from peers only. Otherwise a replacement of all nodes at once would exceed
  /// the read rate that the store allows.
  Duration m_PeerOnlyBootstrapTime = std::chrono::milliseconds(500);
  /// Time without an answer after which a peer may be sent another request.
  Duration m_PeerRequestTimeout = std::chrono::seconds(1);
  /// Size limit of the log of changes that are sent to lagging peers. A peer
  /// that needs older changes receives a snapshot.
  std::size_t m_MaxChangeLogBytes = 65536;
  FreshnessOptions m_Freshness;
};

/// Replica of the configuration on one node. Applies changes from the object
/// store and from peers in order of revision, forwards each change once to the
/// neighbours and requests missing changes from a peer. The revision never
/// decreases. Every event handler returns the actions that the caller has to
/// carry out.
class ConfigurationReplica {
public:
  using Actions = std::vector<ConfigurationReplicaAction>;

  ConfigurationReplica(ConfigurationReplicaOptions Options, MonotonicTime Now);

  /// Returns the newest configuration that this node has applied.
  const ConfigurationView::Pointer &view() const { return m_View; }
  const FreshnessTracker &freshness() const { return m_Freshness; }
  /// Returns whether this node watches the object store for its zone.
  bool isWatcher() const { return m_IsWatcher; }

  /// Sets the other nodes known from membership and the \p Neighbours to which
  /// this node forwards changes. A node that becomes a watcher starts to watch.
  Actions setPeers(const std::vector<ConfigurationPeer> &Peers,
                   const std::vector<std::string> &Neighbours,
                   MonotonicTime Now);
  /// Handles the answer to a GetObject action; ignores outdated call IDs.
  Actions onGet(const GetCompleted &Event, MonotonicTime Now);
  /// Handles the answer to a WatchHead action; ignores outdated call IDs.
  Actions onWatch(const WatchCompleted &Event, MonotonicTime Now);
  /// Handles the answer to a ListHead action; ignores outdated call IDs.
  Actions onList(const ListCompleted &Event, MonotonicTime Now);
  /// Handles the answer of \p Peer to a ping that was sent at \p PingedAt.
  /// Requests an update if the peer has a newer revision.
  Actions onPingAnswer(const std::string &Peer, const FreshnessAnswer &Answer,
                       MonotonicTime PingedAt, MonotonicTime Now);
  /// Answers the request of \p Peer, whose revision is \p PeerRevision, for an
  /// update. Returns no action if this node has no later revision.
  Actions onUpdateRequest(const std::string &Peer,
                          ConfigurationRevision PeerRevision) const;
  /// Applies an update from \p Peer. If changes before it are missing, requests
  /// them from the peer.
  Actions onUpdate(const std::string &Peer, const ConfigurationUpdate &Update,
                   MonotonicTime Now);
  /// Applies \p Change, which a ConfigurationWriter on this node has written to
  /// the object store.
  Actions onLocalChange(const ConfigurationChange &Change);
  /// Times out and retries store calls and requests a first configuration. The
  /// caller has to call it about every 50 ms.
  Actions onTick(MonotonicTime Now, std::mt19937_64 &Random);

private:
  /// A store call in flight.
  struct StoreCall {
    StoreCallId m_Id = 0;
    MonotonicTime m_SentAt;
  };
  /// Newest version of the head that the store reported, and the time at which
  /// the last query for it was sent.
  struct ReportedHeadVersion {
    ObjectVersion m_Version;
    MonotonicTime m_QueriedAt;
  };

  StoreCallId beginStoreCall(std::optional<StoreCall> &Call, MonotonicTime Now);
  /// Clears \p Call and returns when it was sent. Returns false if \p Id is not
  /// the ID of \p Call.
  bool endStoreCall(std::optional<StoreCall> &Call, StoreCallId Id,
                    MonotonicTime &SentAt);
  void startWatch(Actions &NextActions, MonotonicTime Now);
  void readHead(Actions &NextActions, MonotonicTime Now);
  void onHeadVersionReported(ObjectVersion Version, MonotonicTime QueriedAt,
                             Actions &NextActions, MonotonicTime Now);
  void onHeadRead(const GetCompleted &Event, Actions &NextActions,
                  MonotonicTime Now);
  void confirmIfHeadApplied();
  void onStoreFailure(MonotonicTime Now);
  /// Applies \p Change. Returns true also if it was applied before, and false
  /// if it does not directly follow the current revision.
  bool applyChange(const ConfigurationChange &Change);
  bool applySnapshot(const ConfigurationView::Pointer &View);
  void forwardChanges(ConfigurationRevision RevisionBefore,
                      const std::string &ReceivedFrom,
                      Actions &NextActions) const;
  void requestUpdate(const std::string &Peer, Actions &NextActions,
                     MonotonicTime Now);
  void retryStoreCalls(Actions &NextActions, MonotonicTime Now);

  ConfigurationReplicaOptions m_Options;
  FreshnessTracker m_Freshness;
  MonotonicTime m_StartedAt;
  ConfigurationView::Pointer m_View;
  /// The latest changes up to m_View, with consecutive revisions, newest last.
  std::deque<ConfigurationChange> m_ChangeLog;
  std::size_t m_ChangeLogBytes = 0;
  std::vector<std::string> m_Neighbours;
  bool m_IsWatcher = false;
  bool m_HasPeers = false;

  StoreCallId m_LastCallId = 0;
  /// The WatchHead or ListHead call in flight.
  std::optional<StoreCall> m_WatchCall;
  std::optional<StoreCall> m_GetCall;
  /// Store revision after which the next WatchHead call waits for a change;
  /// unset if ListHead has to be called first.
  std::optional<StorePosition> m_WatchAfterStorePosition;
  ReportedHeadVersion m_ReportedHead;
  /// Newest version of the head whose content has been applied.
  ObjectVersion m_AppliedHeadVersion;
  /// Head whose snapshot is being read, and the version of that head.
  std::optional<ConfigurationHead> m_HeadAwaitingSnapshot;
  ObjectVersion m_HeadVersionAwaitingSnapshot;
  /// Earliest time of the next store call after a failure.
  std::optional<MonotonicTime> m_StoreRetryAt;
  /// Time of the last update request to a peer that is not answered yet.
  std::optional<MonotonicTime> m_UpdateRequestedAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_REPLICA_H
