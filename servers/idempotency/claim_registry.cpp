#include "servers/idempotency/claim_registry.h"

#include "xxhash.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

ClaimRegistry::ClaimRegistry(std::string Writer, ClaimLayout Layout,
                             ClaimSettings Settings,
                             WriterLiveness IsWriterAlive)
    : m_Writer(std::move(Writer)), m_Layout(Layout), m_Settings(Settings),
      m_IsWriterAlive(std::move(IsWriterAlive)) {}

ClaimId ClaimRegistry::claim(const IdempotencyKey &Key,
                             std::string_view Organisation,
                             std::string_view Body, MonotonicTime Now,
                             UnixSeconds WallTime, ClaimEffects &Effects) {
  ClaimRequest Request{hashKey(Organisation, Key.text()), hashText(Body),
                       std::string(Organisation)};
  const std::string BucketKey =
      m_Layout.bucketKey(Key.time(), Request.m_KeyHash);
  const bool IsExpired = !Key.checkAge(WallTime).ok();
  if (IsExpired || m_IsShuttingDown) {
    ClaimResult Result;
    Result.m_Id = m_NextClaimId++;
    Result.m_Kind = IsExpired ? ClaimResultKind::Expired
                              : ClaimResultKind::StoreUnavailable;
    const ClaimId Id = Result.m_Id;
    Effects.m_Results.push_back(std::move(Result));
    return Id;
  }
  const std::size_t ShardIndex = shardIndexOf(BucketKey);
  const std::lock_guard<std::mutex> Lock(m_Shards[ShardIndex].m_Mutex);
  // The ID is assigned under the lock, so that in one bucket a claim with a
  // higher ID never has an earlier deadline.
  const ClaimId Id = m_NextClaimId++;
  const std::size_t FirstAction = Effects.m_Actions.size();
  batcherOf(m_Shards[ShardIndex], BucketKey)
      .claim(Id, std::move(Request), Now, Effects);
  assignCallIds(ShardIndex, BucketKey, FirstAction, Effects);
  return Id;
}

void ClaimRegistry::cancel(ClaimId Id, const IdempotencyKey &Key,
                           std::string_view Organisation, MonotonicTime Now,
                           ClaimEffects &Effects) {
  const std::string BucketKey =
      m_Layout.bucketKey(Key.time(), hashKey(Organisation, Key.text()));
  const std::size_t ShardIndex = shardIndexOf(BucketKey);
  const std::lock_guard<std::mutex> Lock(m_Shards[ShardIndex].m_Mutex);
  const std::size_t FirstAction = Effects.m_Actions.size();
  batcherOf(m_Shards[ShardIndex], BucketKey).cancel(Id, Now, Effects);
  assignCallIds(ShardIndex, BucketKey, FirstAction, Effects);
}

void ClaimRegistry::recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome,
                               MonotonicTime Now, ClaimEffects &Effects) {
  const DispatchedClaim Owned = std::move(Claim);
  endClaim(Owned.grant(), ClaimState::Done, std::move(Outcome), Now, Effects);
}

void ClaimRegistry::recordUnknown(DispatchedClaim &&Claim, MonotonicTime Now,
                                  ClaimEffects &Effects) {
  const DispatchedClaim Owned = std::move(Claim);
  endClaim(Owned.grant(), ClaimState::Unknown, {}, Now, Effects);
}

void ClaimRegistry::release(DispatchToken &&Token, MonotonicTime Now,
                            ClaimEffects &Effects) {
  DispatchToken Owned = std::move(Token);
  if (const std::optional<ClaimGrant> Grant = Owned.extractGrant())
    endClaim(*Grant, ClaimState::Released, {}, Now, Effects);
}

void ClaimRegistry::releaseIfUnsent(DispatchedClaim &&Claim,
                                    std::uint64_t BytesSent, MonotonicTime Now,
                                    ClaimEffects &Effects) {
  const DispatchedClaim Owned = std::move(Claim);
  const ClaimState State =
      BytesSent == 0 ? ClaimState::Released : ClaimState::Unknown;
  endClaim(Owned.grant(), State, {}, Now, Effects);
}

void ClaimRegistry::endClaim(const ClaimGrant &Grant, ClaimState State,
                             ClaimOutcome Outcome, MonotonicTime Now,
                             ClaimEffects &Effects) {
  const std::size_t ShardIndex = shardIndexOf(Grant.m_BucketKey);
  const std::lock_guard<std::mutex> Lock(m_Shards[ShardIndex].m_Mutex);
  const std::size_t FirstAction = Effects.m_Actions.size();
  batcherOf(m_Shards[ShardIndex], Grant.m_BucketKey)
      .endClaim(Grant, State, std::move(Outcome), Now, Effects);
  assignCallIds(ShardIndex, Grant.m_BucketKey, FirstAction, Effects);
}

void ClaimRegistry::onGet(const GetCompleted &Event, MonotonicTime Now,
                          ClaimEffects &Effects) {
  passToBatcher(Event, &ClaimBatcher::onGet, Now, Effects);
}

void ClaimRegistry::onPut(const WriteCompleted &Event, MonotonicTime Now,
                          ClaimEffects &Effects) {
  passToBatcher(Event, &ClaimBatcher::onPut, Now, Effects);
}

template <typename EventType>
void ClaimRegistry::passToBatcher(const EventType &Event,
                                  BatcherHandler<EventType> Handler,
                                  MonotonicTime Now, ClaimEffects &Effects) {
  const std::size_t ShardIndex = Event.m_Id % ShardCount;
  const std::lock_guard<std::mutex> Lock(m_Shards[ShardIndex].m_Mutex);
  const auto Call = m_Shards[ShardIndex].m_BucketKeysByCall.find(Event.m_Id);
  const std::string BucketKey =
      Call == m_Shards[ShardIndex].m_BucketKeysByCall.end() ? "" : Call->second;
  ClaimBatcher *Batcher = removeCall(m_Shards[ShardIndex], Event.m_Id);
  if (!Batcher)
    return;
  const std::size_t FirstAction = Effects.m_Actions.size();
  (Batcher->*Handler)(Event, Now, Effects);
  assignCallIds(ShardIndex, BucketKey, FirstAction, Effects);
}

void ClaimRegistry::tick(MonotonicTime Now, ClaimEffects &Effects) {
  // The requests of unused tokens were not sent, so their keys may be claimed
  // again.
  for (const ClaimGrant &Grant : m_UnusedGrants->extractAll())
    endClaim(Grant, ClaimState::Released, {}, Now, Effects);
  for (std::size_t ShardIndex = 0; ShardIndex < ShardCount; ++ShardIndex) {
    Shard &TargetShard = m_Shards[ShardIndex];
    const std::lock_guard<std::mutex> Lock(TargetShard.m_Mutex);
    for (auto Entry = TargetShard.m_Batchers.begin();
         Entry != TargetShard.m_Batchers.end();) {
      const std::size_t FirstAction = Effects.m_Actions.size();
      Entry->second->tick(Now, Effects);
      assignCallIds(ShardIndex, Entry->first, FirstAction, Effects);
      const bool IsUnused =
          Entry->second->isIdle() &&
          Now - Entry->second->lastUse() >= m_Settings.m_IdleTimeout;
      Entry = IsUnused ? TargetShard.m_Batchers.erase(Entry) : std::next(Entry);
    }
  }
}

std::optional<MonotonicTime> ClaimRegistry::nextDeadline() const {
  std::optional<MonotonicTime> Next;
  for (const Shard &TargetShard : m_Shards) {
    const std::lock_guard<std::mutex> Lock(TargetShard.m_Mutex);
    for (const auto &Entry : TargetShard.m_Batchers)
      if (const auto Time = Entry.second->nextDeadline())
        Next = Next ? std::min(*Next, *Time) : *Time;
  }
  return Next;
}

void ClaimRegistry::beginShutdown(MonotonicTime Now, ClaimEffects &Effects) {
  m_IsShuttingDown = true;
  for (Shard &TargetShard : m_Shards) {
    const std::lock_guard<std::mutex> Lock(TargetShard.m_Mutex);
    for (const auto &Entry : TargetShard.m_Batchers)
      Entry.second->disableBatchDelay();
  }
  tick(Now, Effects);
}

bool ClaimRegistry::isDrained() const {
  // A batcher is not idle until all its granted claims have ended, including
  // those whose token was destroyed unused.
  return std::all_of(
      m_Shards.begin(), m_Shards.end(), [](const Shard &TargetShard) {
        const std::lock_guard<std::mutex> Lock(TargetShard.m_Mutex);
        return std::all_of(
            TargetShard.m_Batchers.begin(), TargetShard.m_Batchers.end(),
            [](const auto &Entry) { return Entry.second->isIdle(); });
      });
}

void ClaimRegistry::deleteExpiredBuckets(
    const std::vector<ListedClaimBucket> &Listed, UnixSeconds WallTime,
    ClaimEffects &Effects) {
  for (const ListedClaimBucket &Bucket : Listed) {
    if (!m_Layout.isExpired(Bucket.m_Key, WallTime))
      continue;
    const std::size_t ShardIndex = shardIndexOf(Bucket.m_Key);
    const std::lock_guard<std::mutex> Lock(m_Shards[ShardIndex].m_Mutex);
    const std::size_t FirstAction = Effects.m_Actions.size();
    Effects.m_Actions.emplace_back(
        DeleteObject{0, Bucket.m_Key, Bucket.m_Version});
    // Without a bucket key the answer is ignored: a deletion that fails is
    // repeated after the next list call.
    assignCallIds(ShardIndex, std::string(), FirstAction, Effects);
  }
}

std::size_t ClaimRegistry::shardIndexOf(const std::string &BucketKey) const {
  return XXH3_64bits(BucketKey.data(), BucketKey.size()) % ShardCount;
}

ClaimBatcher &ClaimRegistry::batcherOf(Shard &TargetShard,
                                       const std::string &BucketKey) {
  std::unique_ptr<ClaimBatcher> &Batcher = TargetShard.m_Batchers[BucketKey];
  if (!Batcher) {
    Batcher = std::make_unique<ClaimBatcher>(BucketKey, m_Writer, m_Settings,
                                             m_IsWriterAlive, m_UnusedGrants);
    if (m_IsShuttingDown)
      Batcher->disableBatchDelay();
  }
  return *Batcher;
}

ClaimBatcher *ClaimRegistry::removeCall(Shard &TargetShard, StoreCallId Id) {
  const auto Call = TargetShard.m_BucketKeysByCall.find(Id);
  if (Call == TargetShard.m_BucketKeysByCall.end())
    return nullptr;
  const auto Batcher = TargetShard.m_Batchers.find(Call->second);
  TargetShard.m_BucketKeysByCall.erase(Call);
  return Batcher == TargetShard.m_Batchers.end() ? nullptr
                                                 : Batcher->second.get();
}

void ClaimRegistry::assignCallIds(std::size_t ShardIndex,
                                  const std::string &BucketKey,
                                  std::size_t FirstAction,
                                  ClaimEffects &Effects) {
  Shard &TargetShard = m_Shards[ShardIndex];
  for (std::size_t Next = FirstAction; Next < Effects.m_Actions.size();
       ++Next) {
    const StoreCallId Id =
        TargetShard.m_NextCallNumber++ * ShardCount + ShardIndex;
    TargetShard.m_BucketKeysByCall.emplace(Id, BucketKey);
    std::visit([Id](auto &Action) { Action.m_Id = Id; },
               Effects.m_Actions[Next]);
  }
}

} // namespace fulmarwinch
