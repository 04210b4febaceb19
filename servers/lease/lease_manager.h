#ifndef FULMARWINCH_SERVERS_LEASE_LEASE_MANAGER_H
#define FULMARWINCH_SERVERS_LEASE_LEASE_MANAGER_H

#include "servers/lease/shard_lease.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Holds this node's share of the control shards of one region.
class LeaseManager {
public:
  /// \p Node is this node's member ID and \p Writer its ID with the process
  /// start.
  LeaseManager(const LeaseSettings &Settings, std::string Region,
               std::string Node, const std::string &Writer);

  /// The nodes of the region that membership believes to be alive. A wrong
  /// belief costs time or calls, never safety.
  void setLiveNodes(std::vector<std::string> Nodes);

  /// Returns the store calls that are due; called at least every 100 ms.
  std::vector<StoreAction> tick(MonotonicTime Now);
  std::vector<StoreAction> onGetCompleted(const GetCompleted &Event,
                                          MonotonicTime Now);
  std::vector<StoreAction> onPutCompleted(const PutCompleted &Event,
                                          MonotonicTime Now);

  /// Releases all shards for a graceful shutdown.
  void stop();
  bool isStopped(MonotonicTime Now) const;

  bool isHeld(std::string_view Shard, MonotonicTime Now) const;
  /// Epoch of the shard's last lease of this process; 0 if it had none.
  std::uint64_t epoch(std::string_view Shard) const;
  /// End of the shard's lease by this process's clock; meaningful while
  /// isHeld().
  MonotonicTime heldUntil(std::string_view Shard) const;
  std::vector<std::string> heldShards(MonotonicTime Now) const;
  /// Shard that is responsible for the fabric domain \p Domain.
  std::string shardOfDomain(std::string_view Domain) const;

private:
  struct Entry {
    ShardLease m_Lease;
    std::size_t m_Rank = 0;
    MonotonicTime m_NotFirstSince = MonotonicTime::max();
  };

  const Entry *find(std::string_view Shard) const;
  void considerHandover(MonotonicTime Now);
  void collect(MonotonicTime Now, bool Owners,
               std::vector<StoreAction> &Actions);
  ShardLease *take(StoreCallId Id);

  LeaseSettings m_Settings;
  std::string m_Region;
  std::string m_Node;
  std::vector<Entry> m_Entries;
  std::map<StoreCallId, std::size_t> m_InFlight;
  StoreCallId m_NextId = 1;
  std::size_t m_NextChallenge = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_LEASE_MANAGER_H
