#ifndef FULMARWINCH_SERVERS_LEASE_LEASE_MANAGER_H
#define FULMARWINCH_SERVERS_LEASE_LEASE_MANAGER_H

#include "servers/lease/shard_lease.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Acquires, renews and hands over the leases of the control shards of one
/// region, so that the live nodes each hold a share of them.
class LeaseManager {
public:
  /// \p Node is this node's member ID. \p Writer is the member ID combined with
  /// the start of the process, so that it is unique per process.
  LeaseManager(const LeaseSettings &Settings, std::string Region,
               std::string Node, const std::string &Writer);

  /// Sets the nodes of the region that the membership service considers alive.
  /// A wrong set delays handovers or costs store calls, but never leads to two
  /// holders of a lease.
  void setLiveNodes(std::vector<std::string> Nodes);

  /// Returns the store calls that are due. To be called at least every 100 ms.
  std::vector<StoreAction> tick(MonotonicTime Now);
  /// Processes the result of a store call and returns the calls that are due
  /// afterwards. Results of unknown calls are ignored.
  std::vector<StoreAction> onGetCompleted(const GetCompleted &Event,
                                          MonotonicTime Now);
  std::vector<StoreAction> onWriteCompleted(const WriteCompleted &Event,
                                            MonotonicTime Now);

  /// Starts to release the leases of all shards for a graceful shutdown.
  void stop();
  /// True if all leases are released after stop().
  bool isStopped(MonotonicTime Now) const;

  /// True while this process may act as the holder of the lease of \p Shard.
  bool isHeld(std::string_view Shard, MonotonicTime Now) const;
  /// Epoch of the last lease that this process held for \p Shard; 0 if none.
  std::uint64_t epoch(std::string_view Shard) const;
  /// End of the lease of \p Shard by this process's clock. Only valid while
  /// isHeld().
  MonotonicTime heldUntil(std::string_view Shard) const;
  /// Shards whose lease this process holds at \p Now.
  std::vector<std::string> heldShards(MonotonicTime Now) const;
  /// Returns the control shard that is responsible for the fabric domain
  /// \p Domain.
  std::string shardOfDomain(std::string_view Domain) const;

private:
  struct ShardEntry {
    ShardLease m_Lease;
    /// Rank of this node in the rendezvous hashing of the shard; the node with
    /// rank 0 is preferred as the holder.
    std::size_t m_Rank = 0;
    /// Time since which this node has held the lease without being preferred;
    /// max() if it does not hold it or is preferred.
    MonotonicTime m_NotPreferredSince = MonotonicTime::max();
  };

  const ShardEntry *find(std::string_view Shard) const;
  /// Hands over leases that this node has held for m_HandoverDelay without
  /// being the preferred node.
  void handOverToPreferredNodes(MonotonicTime Now);
  /// Adds the calls that are due to \p Actions, either for the leases that this
  /// node owns or for all others.
  void collectCalls(MonotonicTime Now, bool ForOwnedLeases,
                    std::vector<StoreAction> &Actions);
  /// Ends the call \p Id and returns its lease, or null if it is not in flight.
  ShardLease *endCall(StoreCallId Id);

  LeaseSettings m_Settings;
  std::string m_Region;
  std::string m_Node;
  std::vector<ShardEntry> m_Entries;
  std::map<StoreCallId, std::size_t> m_CallsInFlight;
  StoreCallId m_NextCallId = 1;
  std::size_t m_NextChallengeStart = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_LEASE_MANAGER_H
