#ifndef FULMARWINCH_SERVERS_LEASE_LEASE_SETTINGS_H
#define FULMARWINCH_SERVERS_LEASE_LEASE_SETTINGS_H

#include "core/time.h"

#include <cstddef>

namespace fulmarwinch {

/// Times and bounds of control shard leases (design 4.2).
struct LeaseSettings {
  Duration m_LeaseDuration = std::chrono::seconds(6);
  Duration m_RenewPeriod = std::chrono::seconds(2);
  /// Pause after a store call that failed or had an unknown outcome.
  Duration m_RetryPeriod = std::chrono::milliseconds(500);
  /// Poll period of the node that is first for a shard which another holds.
  Duration m_FirstPollPeriod = std::chrono::seconds(2);
  /// Poll period of the next two nodes. All later nodes share one read per
  /// this period, so that the reads do not grow with the number of nodes.
  Duration m_BackupPollPeriod = std::chrono::seconds(6);
  /// Additional wait of a challenger per rank after the first.
  Duration m_WaitPerRank = std::chrono::seconds(3);
  std::size_t m_MaxRankWaits = 4;
  /// A holder that is not first hands a shard over after this time.
  Duration m_HandoverAfter = std::chrono::seconds(60);
  std::size_t m_Shards = 16;
  /// Store calls of one node in flight at a time. Renewals go first.
  std::size_t m_MaxCallsInFlight = 8;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_LEASE_SETTINGS_H
