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

/// Key and version of a bucket object in the result of a list call.
struct ListedClaimBucket {
  std::string m_Key;
  ObjectVersion m_Version;
};

/// Claims of idempotency keys on one node. Thread-safe: the buckets are divided
/// into shards with one lock each.
class ClaimRegistry {
public:
  /// \p Writer names this process and has to be different after each restart.
  ClaimRegistry(std::string Writer, ClaimLayout Layout, ClaimSettings Settings,
                WriterLiveness IsWriterAlive);

  /// Starts an attempt to claim \p Key. Its single result is in the \p Effects
  /// of this call or of a later call on any thread.
  ClaimId claim(const IdempotencyKey &Key, std::string_view Organisation,
                std::string_view Body, MonotonicTime Now, UnixSeconds WallTime,
                ClaimEffects &Effects);

  /// Cancels an undecided attempt whose caller no longer waits; it gets no
  /// result. If it was already granted, the holder of the token has to release
  /// the claim instead.
  void cancel(ClaimId Id, const IdempotencyKey &Key,
              std::string_view Organisation, MonotonicTime Now,
              ClaimEffects &Effects);

  /// Records \p Outcome, the response of the service.
  void recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome,
                  MonotonicTime Now, ClaimEffects &Effects);

  /// Records that the request may have run and no response is known.
  void recordUnknown(DispatchedClaim &&Claim, MonotonicTime Now,
                     ClaimEffects &Effects);

  /// Releases a claim whose request was not sent. Has no effect if the token
  /// was consumed.
  void release(DispatchToken &&Token, MonotonicTime Now, ClaimEffects &Effects);

  /// Ends the claim of a request that failed to be sent. Releases the claim if
  /// no byte of the request was sent, else records its outcome as unknown.
  void releaseIfUnsent(DispatchedClaim &&Claim, std::uint64_t BytesSent,
                       MonotonicTime Now, ClaimEffects &Effects);

  /// Handles the answer to a read of a bucket object.
  void onGet(const GetCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  /// Handles the answer to an update or a deletion of a bucket object.
  void onPut(const WriteCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  /// Starts store calls that are due, refuses claims that timed out and removes
  /// unused buckets from memory.
  void tick(MonotonicTime Now, ClaimEffects &Effects);
  /// Returns the time at which tick() is next required, or nothing.
  std::optional<MonotonicTime> nextDeadline() const;

  /// Refuses new claims from now on and sends every update without delay.
  void beginShutdown(MonotonicTime Now, ClaimEffects &Effects);
  /// Returns whether all claims are decided and all outcomes are stored.
  bool isDrained() const;

  /// Deletes those of the \p Listed buckets whose keys are all expired.
  void deleteExpiredBuckets(const std::vector<ListedClaimBucket> &Listed,
                            UnixSeconds WallTime, ClaimEffects &Effects);

private:
  static constexpr std::size_t ShardCount = 16;

  struct Shard {
    mutable std::mutex m_Mutex;
    std::unordered_map<std::string, std::unique_ptr<ClaimBatcher>> m_Batchers;
    /// Bucket key of each store call in flight; empty for a deletion.
    std::unordered_map<StoreCallId, std::string> m_BucketKeysByCall;
    StoreCallId m_NextCallNumber = 1;
  };

  std::size_t shardIndexOf(const std::string &BucketKey) const;
  ClaimBatcher &batcherOf(Shard &TargetShard, const std::string &BucketKey);
  void endClaim(const ClaimGrant &Grant, ClaimState State, ClaimOutcome Outcome,
                MonotonicTime Now, ClaimEffects &Effects);
  template <typename EventType>
  using BatcherHandler = void (ClaimBatcher::*)(const EventType &,
                                                MonotonicTime, ClaimEffects &);
  /// Passes the answer to a store call to the batcher that requested the call.
  template <typename EventType>
  void passToBatcher(const EventType &Event, BatcherHandler<EventType> Handler,
                     MonotonicTime Now, ClaimEffects &Effects);
  /// Removes the store call \p Id and returns its batcher, or null if the call
  /// or the batcher is unknown.
  ClaimBatcher *removeCall(Shard &TargetShard, StoreCallId Id);
  /// Assigns IDs to the store calls in \p Effects from the index \p FirstAction
  /// on.
  void assignCallIds(std::size_t ShardIndex, const std::string &BucketKey,
                     std::size_t FirstAction, ClaimEffects &Effects);

  const std::string m_Writer;
  const ClaimLayout m_Layout;
  const ClaimSettings m_Settings;
  const WriterLiveness m_IsWriterAlive;
  std::atomic<ClaimId> m_NextClaimId{1};
  std::atomic<bool> m_IsShuttingDown{false};
  const std::shared_ptr<UnusedGrantList> m_UnusedGrants =
      std::make_shared<UnusedGrantList>();
  std::array<Shard, ShardCount> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_REGISTRY_H
