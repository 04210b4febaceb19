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

/// Changes sent between nodes: optionally a snapshot, then changes in order.
struct ConfigurationUpdate {
  /// Encoded ConfigurationView; empty if the changes alone suffice.
  std::string m_Snapshot;
  std::vector<ConfigurationChange> m_Changes;
};

Json toJson(const ConfigurationUpdate &Update);
absl::StatusOr<ConfigurationUpdate> parseUpdate(const Json &Object);

/// Waits until configuration/head has changed since the store revision
/// m_Since, at most m_Timeout.
struct WatchHead {
  StoreCallId m_Id = 0;
  std::uint64_t m_Since = 0;
  Duration m_Timeout{0};
};

/// Answer to WatchHead. NotFound means that the platform does not retain the
/// history since m_Since (HTTP 410).
struct WatchCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  std::uint64_t m_StoreRevision = 0;
  /// Version of the head in the newest event, or 0 if it did not change.
  ObjectVersion m_HeadVersion = 0;
};

/// Lists the head's key, to learn its version and the store revision.
struct ListHead {
  StoreCallId m_Id = 0;
};

/// Answer to ListHead; m_HeadVersion is 0 if there is no head yet.
struct ListCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  std::uint64_t m_StoreRevision = 0;
  ObjectVersion m_HeadVersion = 0;
};

/// Asks a peer for everything after m_Have.
struct AskPeer {
  std::string m_Peer;
  ConfigurationRevision m_Have = 0;
};

/// Sends an update to a peer.
struct SendUpdate {
  std::string m_Peer;
  ConfigurationUpdate m_Update;
};

using ReplicaAction =
    std::variant<GetObject, WatchHead, ListHead, AskPeer, SendUpdate>;

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_REPLICA_MESSAGES_H
