#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_REGISTRY_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_REGISTRY_H

#include "servers/idempotency/claim_batcher.h"
#include "servers/idempotency/claim_layout.h"
#include "servers/idempotency/claim_messages.h"
#include "servers/idempotency/idempotency_key.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarwinch {

/// A bucket object as a list call of the platform shows it.
struct ListedClaimBucket {
  std::string m_Key;
  ObjectVersion m_Version = 0;
};

/// All claims of one node. Every function may be called from any thread; the
/// buckets are divided into shards with one lock each.
class ClaimRegistry {
public:
  /// \p Writer has to differ for every start of the process.
  ClaimRegistry(std::string Writer, ClaimLayout Layout, ClaimSettings Settings,
                WriterLiveness IsAlive);

  /// Starts an attempt. Its one result is in \p Effects of this or of a later
  /// call on any thread.
  ClaimId claim(const IdempotencyKey &Key, std::string_view Organisation,
                std::string_view Body, MonotonicTime Now, UnixSeconds WallTime,
                ClaimEffects &Effects);

  /// Refuses an attempt whose caller no longer waits. If it was granted
  /// before, the holder of the token has to release it.
  void cancel(ClaimId Id, const IdempotencyKey &Key,
              std::string_view Organisation, MonotonicTime Now,
              ClaimEffects &Effects);

  /// Records the response of the service.
  void recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome,
                  MonotonicTime Now, ClaimEffects &Effects);

  /// Records that the request may have run and no response is known.
  void recordUnknown(DispatchedClaim &&Claim, MonotonicTime Now,
                     ClaimEffects &Effects);

  /// Releases a claim that was never dispatched. A consumed token releases
  /// nothing.
  void release(DispatchToken &&Token, MonotonicTime Now, ClaimEffects &Effects);

  /// Ends a dispatch that failed. The claim is released only if no byte of
  /// the request left this node, else its outcome is recorded as unknown.
  void releaseUnsent(DispatchedClaim &&Claim, std::uint64_t BytesSent,
                     MonotonicTime Now, ClaimEffects &Effects);

  void onGet(const GetCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  void onPut(const PutCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  void tick(MonotonicTime Now, ClaimEffects &Effects);
  std::optional<MonotonicTime> nextDeadline() const;

  /// Refuses new claims and sends every update without delay.
  void beginShutdown(MonotonicTime Now, ClaimEffects &Effects);
  /// Returns whether every outcome is stored.
  bool isDrained() const;

  /// Deletes the listed buckets in which no key can be accepted any more.
  void collectGarbage(const std::vector<ListedClaimBucket> &Listed,
                      UnixSeconds WallTime, ClaimEffects &Effects);

private:
  static constexpr std::size_t ShardCount = 16;

  struct Shard {
    mutable std::mutex m_Mutex;
    std::unordered_map<std::string, std::unique_ptr<ClaimBatcher>> m_Batchers;
    /// Bucket of each store call in progress; empty for a deletion.
    std::unordered_map<StoreCallId, std::string> m_Calls;
    StoreCallId m_NextCall = 1;
  };

  std::size_t shardIndexOf(const std::string &BucketKey) const;
  ClaimBatcher &batcherOf(Shard &Owner, const std::string &BucketKey);
  void settle(const ClaimGrant &Grant, ClaimState State, ClaimOutcome Outcome,
              MonotonicTime Now, ClaimEffects &Effects);
  template <typename EventType>
  using BatcherHandler = void (ClaimBatcher::*)(const EventType &,
                                                MonotonicTime, ClaimEffects &);
  /// Hands the answer to a store call to the batcher that made the call.
  template <typename EventType>
  void handle(const EventType &Event, BatcherHandler<EventType> Handler,
              MonotonicTime Now, ClaimEffects &Effects);
  ClaimBatcher *takeCall(Shard &Owner, StoreCallId Id);
  /// Numbers the actions that were added since \p First.
  void numberActions(std::size_t ShardIndex, const std::string &BucketKey,
                     std::size_t First, ClaimEffects &Effects);

  const std::string m_Writer;
  const ClaimLayout m_Layout;
  const ClaimSettings m_Settings;
  const WriterLiveness m_IsAlive;
  std::atomic<ClaimId> m_NextClaim{1};
  std::atomic<bool> m_IsShuttingDown{false};
  const std::shared_ptr<DroppedGrants> m_Dropped =
      std::make_shared<DroppedGrants>();
  std::array<Shard, ShardCount> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_REGISTRY_H
