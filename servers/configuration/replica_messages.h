#ifndef FULMARWINCH_SERVERS_CONFIGURATION_REPLICA_MESSAGES_H
#define FULMARWINCH_SERVERS_CONFIGURATION_REPLICA_MESSAGES_H

#include "core/json.h"
#include "core/store_messages.h"
#include "core/time.h"
#include "servers/configuration/configuration_change.h"

#include "absl/status/statusor.h"

#include <string>
#include <variant>
#include <vector>

namespace fulmarwinch {

/// Configuration sent from one node to another: an optional snapshot, followed
/// by changes in order of revision.
struct ConfigurationUpdate {
  /// Encoded ConfigurationView; empty if the receiver needs only the changes.
  std::string m_Snapshot;
  std::vector<ConfigurationChange> m_Changes;
};

Json toJson(const ConfigurationUpdate &Update);
/// Parses an object that toJson() returned. Fails if a change is malformed.
absl::StatusOr<ConfigurationUpdate> parseUpdate(const Json &Object);

/// Store call that waits until configuration/head has changed after the store
/// position m_AfterStorePosition, but at most m_Timeout.
struct WatchHead {
  StoreCallId m_Id = 0;
  StorePosition m_AfterStorePosition;
  Duration m_Timeout{0};
};

/// Answer to WatchHead. NotFound means that the platform no longer has the
/// history after the requested store revision (HTTP 410).
struct WatchCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  /// Store position up to which the answer covers all changes.
  StorePosition m_StorePosition;
  /// Version of the head after its last change, or 0 if it did not change.
  ObjectVersion m_HeadVersion;
};

/// Store call that lists configuration/head to get its version and the store
/// revision from which to watch.
struct ListHead {
  StoreCallId m_Id = 0;
};

/// Answer to ListHead. m_HeadVersion is 0 if no head is stored yet.
struct ListCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  StorePosition m_StorePosition;
  ObjectVersion m_HeadVersion;
};

/// Requests all changes after the revision m_AfterRevision from a peer.
struct RequestUpdate {
  std::string m_Peer;
  ConfigurationRevision m_AfterRevision = 0;
};

/// Sends m_Update to a peer, unrequested or as the answer to a request.
struct SendUpdate {
  std::string m_Peer;
  ConfigurationUpdate m_Update;
};

/// Store call or message that a ConfigurationReplica requests of its caller.
using ConfigurationReplicaAction =
    std::variant<GetObject, WatchHead, ListHead, RequestUpdate, SendUpdate>;

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_REPLICA_MESSAGES_H
