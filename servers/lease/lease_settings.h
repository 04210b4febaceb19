#ifndef FULMARWINCH_SERVERS_LEASE_LEASE_SETTINGS_H
#define FULMARWINCH_SERVERS_LEASE_LEASE_SETTINGS_H

#include "core/time.h"

#include <cstddef>

namespace fulmarwinch {

/// Timeouts and limits of the control shard leases (section 4.2 of the design).
struct LeaseSettings {
  Duration m_LeaseDuration = std::chrono::seconds(6);
  Duration m_RenewPeriod = std::chrono::seconds(2);
  /// Delay before the next store call after one that failed or has an unknown
  /// outcome.
  Duration m_RetryPeriod = std::chrono::milliseconds(500);
  /// Interval at which the preferred node of a shard reads the lease while
  /// another node holds it. The preferred node has rank 0 in the rendezvous
  /// hashing of the shard.
  Duration m_PreferredPollPeriod = std::chrono::seconds(2);
  /// Interval at which each of the next two nodes by rank reads the lease. The
  /// node of rank r > 2 reads it every r intervals, so that the number of reads
  /// grows only with the logarithm of the number of nodes.
  Duration m_BackupPollPeriod = std::chrono::seconds(6);
  /// Additional delay of a challenge, per rank of the node.
  Duration m_ChallengeDelayPerRank = std::chrono::seconds(3);
  /// Minimum time between noticing that the store has returned from a copy and
  /// challenging for a lease that nobody has acquired since. It covers the
  /// lease of a holder whose record the copy lacks, and the time after which
  /// the copy no longer shows states that others have written since it was
  /// made.
  Duration m_RestorationDelay{0};
  /// The same for a process that did not hold the lease when it noticed the
  /// return; the longer delay counts. It covers what the last holder had
  /// promised in records that the copy lacks: if that holder is lost as well,
  /// nobody writes them again.
  Duration m_LostHolderDelay{0};
  /// True if the whole system starts for the first time, so that no lease can
  /// have been lost by a restoration before this process started.
  bool m_IsFirstStart = false;
  /// Maximum number of ranks for which a challenge is delayed.
  std::size_t m_MaxDelayedRanks = 4;
  /// Time after which a holder that is not the preferred node of a shard hands
  /// its lease over.
  Duration m_HandoverDelay = std::chrono::seconds(60);
  /// Number of control shards per region.
  std::size_t m_ShardCount = 16;
  /// Maximum number of store calls of one node in flight. Renewals take
  /// precedence over challenges.
  std::size_t m_MaxCallsInFlight = 8;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_LEASE_SETTINGS_H
