#include "servers/idempotency/claim_registry.h"

#include "xxhash.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

ClaimRegistry::ClaimRegistry(std::string Writer, ClaimLayout Layout,
                             ClaimSettings Settings, WriterLiveness IsAlive)
    : m_Writer(std::move(Writer)), m_Layout(Layout), m_Settings(Settings),
      m_IsAlive(std::move(IsAlive)) {}

ClaimId ClaimRegistry::claim(const IdempotencyKey &Key,
                             std::string_view Organisation,
                             std::string_view Body, MonotonicTime Now,
                             UnixSeconds WallTime, ClaimEffects &Effects) {
  ClaimRequest Request{hashKey(Organisation, Key.text()), hashText(Body),
                       std::string(Organisation)};
  const std::string BucketKey = m_Layout.bucketKey(Key.time(), Request.m_Key);
  const bool IsExpired = !Key.checkAge(WallTime).ok();
  if (IsExpired || m_IsShuttingDown) {
    ClaimResult Result;
    Result.m_Id = m_NextClaim++;
    Result.m_Kind = IsExpired ? ClaimResultKind::Expired
                              : ClaimResultKind::StoreUnavailable;
    const ClaimId Id = Result.m_Id;
    Effects.m_Results.push_back(std::move(Result));
    return Id;
  }
  const std::size_t Index = shardIndexOf(BucketKey);
  const std::lock_guard<std::mutex> Lock(m_Shards[Index].m_Mutex);
  // The ID is taken under the lock, so that the IDs of one bucket grow in the
  // order of their deadlines.
  const ClaimId Id = m_NextClaim++;
  const std::size_t First = Effects.m_Actions.size();
  batcherOf(m_Shards[Index], BucketKey)
      .claim(Id, std::move(Request), Now, Effects);
  numberActions(Index, BucketKey, First, Effects);
  return Id;
}

void ClaimRegistry::cancel(ClaimId Id, const IdempotencyKey &Key,
                           std::string_view Organisation, MonotonicTime Now,
                           ClaimEffects &Effects) {
  const std::string BucketKey =
      m_Layout.bucketKey(Key.time(), hashKey(Organisation, Key.text()));
  const std::size_t Index = shardIndexOf(BucketKey);
  const std::lock_guard<std::mutex> Lock(m_Shards[Index].m_Mutex);
  const std::size_t First = Effects.m_Actions.size();
  batcherOf(m_Shards[Index], BucketKey).cancel(Id, Now, Effects);
  numberActions(Index, BucketKey, First, Effects);
}

void ClaimRegistry::recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome,
                               MonotonicTime Now, ClaimEffects &Effects) {
  const DispatchedClaim Taken = std::move(Claim);
  settle(Taken.grant(), ClaimState::Done, std::move(Outcome), Now, Effects);
}

void ClaimRegistry::recordUnknown(DispatchedClaim &&Claim, MonotonicTime Now,
                                  ClaimEffects &Effects) {
  const DispatchedClaim Taken = std::move(Claim);
  settle(Taken.grant(), ClaimState::Unknown, {}, Now, Effects);
}

void ClaimRegistry::release(DispatchToken &&Token, MonotonicTime Now,
                            ClaimEffects &Effects) {
  DispatchToken Taken = std::move(Token);
  if (const std::optional<ClaimGrant> Grant = Taken.takeGrant())
    settle(*Grant, ClaimState::Released, {}, Now, Effects);
}

void ClaimRegistry::releaseUnsent(DispatchedClaim &&Claim,
                                  std::uint64_t BytesSent, MonotonicTime Now,
                                  ClaimEffects &Effects) {
  const DispatchedClaim Taken = std::move(Claim);
  const ClaimState State =
      BytesSent == 0 ? ClaimState::Released : ClaimState::Unknown;
  settle(Taken.grant(), State, {}, Now, Effects);
}

void ClaimRegistry::settle(const ClaimGrant &Grant, ClaimState State,
                           ClaimOutcome Outcome, MonotonicTime Now,
                           ClaimEffects &Effects) {
  const std::size_t Index = shardIndexOf(Grant.m_BucketKey);
  const std::lock_guard<std::mutex> Lock(m_Shards[Index].m_Mutex);
  const std::size_t First = Effects.m_Actions.size();
  batcherOf(m_Shards[Index], Grant.m_BucketKey)
      .settle(Grant, State, std::move(Outcome), Now, Effects);
  numberActions(Index, Grant.m_BucketKey, First, Effects);
}

void ClaimRegistry::onGet(const GetCompleted &Event, MonotonicTime Now,
                          ClaimEffects &Effects) {
  handle(Event, &ClaimBatcher::onGet, Now, Effects);
}

void ClaimRegistry::onPut(const PutCompleted &Event, MonotonicTime Now,
                          ClaimEffects &Effects) {
  handle(Event, &ClaimBatcher::onPut, Now, Effects);
}

template <typename EventType>
void ClaimRegistry::handle(const EventType &Event,
                           BatcherHandler<EventType> Handler, MonotonicTime Now,
                           ClaimEffects &Effects) {
  const std::size_t Index = Event.m_Id % ShardCount;
  const std::lock_guard<std::mutex> Lock(m_Shards[Index].m_Mutex);
  const auto Call = m_Shards[Index].m_Calls.find(Event.m_Id);
  const std::string BucketKey =
      Call == m_Shards[Index].m_Calls.end() ? "" : Call->second;
  ClaimBatcher *Batcher = takeCall(m_Shards[Index], Event.m_Id);
  if (!Batcher)
    return;
  const std::size_t First = Effects.m_Actions.size();
  (Batcher->*Handler)(Event, Now, Effects);
  numberActions(Index, BucketKey, First, Effects);
}

void ClaimRegistry::tick(MonotonicTime Now, ClaimEffects &Effects) {
  // Nothing was sent for these, so their keys may be claimed again.
  for (const ClaimGrant &Grant : m_Dropped->take())
    settle(Grant, ClaimState::Released, {}, Now, Effects);
  for (std::size_t Index = 0; Index < ShardCount; ++Index) {
    Shard &Owner = m_Shards[Index];
    const std::lock_guard<std::mutex> Lock(Owner.m_Mutex);
    for (auto Entry = Owner.m_Batchers.begin();
         Entry != Owner.m_Batchers.end();) {
      const std::size_t First = Effects.m_Actions.size();
      Entry->second->tick(Now, Effects);
      numberActions(Index, Entry->first, First, Effects);
      const bool IsUnused =
          Entry->second->isIdle() &&
          Now - Entry->second->lastUse() >= m_Settings.m_IdleTime;
      Entry = IsUnused ? Owner.m_Batchers.erase(Entry) : std::next(Entry);
    }
  }
}

std::optional<MonotonicTime> ClaimRegistry::nextDeadline() const {
  std::optional<MonotonicTime> Next;
  for (const Shard &Owner : m_Shards) {
    const std::lock_guard<std::mutex> Lock(Owner.m_Mutex);
    for (const auto &Entry : Owner.m_Batchers)
      if (const auto Time = Entry.second->nextDeadline())
        Next = Next ? std::min(*Next, *Time) : *Time;
  }
  return Next;
}

void ClaimRegistry::beginShutdown(MonotonicTime Now, ClaimEffects &Effects) {
  m_IsShuttingDown = true;
  for (Shard &Owner : m_Shards) {
    const std::lock_guard<std::mutex> Lock(Owner.m_Mutex);
    for (const auto &Entry : Owner.m_Batchers)
      Entry.second->flush();
  }
  tick(Now, Effects);
}

bool ClaimRegistry::isDrained() const {
  // A dropped grant keeps its batcher busy until it is settled.
  return std::all_of(m_Shards.begin(), m_Shards.end(), [](const Shard &Owner) {
    const std::lock_guard<std::mutex> Lock(Owner.m_Mutex);
    return std::all_of(
        Owner.m_Batchers.begin(), Owner.m_Batchers.end(),
        [](const auto &Entry) { return Entry.second->isIdle(); });
  });
}

void ClaimRegistry::collectGarbage(const std::vector<ListedClaimBucket> &Listed,
                                   UnixSeconds WallTime,
                                   ClaimEffects &Effects) {
  for (const ListedClaimBucket &Bucket : Listed) {
    if (!m_Layout.isExpired(Bucket.m_Key, WallTime))
      continue;
    const std::size_t Index = shardIndexOf(Bucket.m_Key);
    const std::lock_guard<std::mutex> Lock(m_Shards[Index].m_Mutex);
    const std::size_t First = Effects.m_Actions.size();
    Effects.m_Actions.emplace_back(
        DeleteObject{0, Bucket.m_Key, Bucket.m_Version});
    // A deletion that fails is repeated after the next list call.
    numberActions(Index, std::string(), First, Effects);
  }
}

std::size_t ClaimRegistry::shardIndexOf(const std::string &BucketKey) const {
  return XXH3_64bits(BucketKey.data(), BucketKey.size()) % ShardCount;
}

ClaimBatcher &ClaimRegistry::batcherOf(Shard &Owner,
                                       const std::string &BucketKey) {
  std::unique_ptr<ClaimBatcher> &Batcher = Owner.m_Batchers[BucketKey];
  if (!Batcher) {
    Batcher = std::make_unique<ClaimBatcher>(BucketKey, m_Writer, m_Settings,
                                             m_IsAlive, m_Dropped);
    if (m_IsShuttingDown)
      Batcher->flush();
  }
  return *Batcher;
}

ClaimBatcher *ClaimRegistry::takeCall(Shard &Owner, StoreCallId Id) {
  const auto Call = Owner.m_Calls.find(Id);
  if (Call == Owner.m_Calls.end())
    return nullptr;
  const auto Batcher = Owner.m_Batchers.find(Call->second);
  Owner.m_Calls.erase(Call);
  return Batcher == Owner.m_Batchers.end() ? nullptr : Batcher->second.get();
}

void ClaimRegistry::numberActions(std::size_t ShardIndex,
                                  const std::string &BucketKey,
                                  std::size_t First, ClaimEffects &Effects) {
  Shard &Owner = m_Shards[ShardIndex];
  for (std::size_t Next = First; Next < Effects.m_Actions.size(); ++Next) {
    const StoreCallId Id = Owner.m_NextCall++ * ShardCount + ShardIndex;
    Owner.m_Calls.emplace(Id, BucketKey);
    std::visit([Id](auto &Action) { Action.m_Id = Id; },
               Effects.m_Actions[Next]);
  }
}

} // namespace fulmarwinch
