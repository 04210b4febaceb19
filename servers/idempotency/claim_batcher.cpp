#include "servers/idempotency/claim_batcher.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

ClaimResult makeResult(ClaimId Id, ClaimResultKind Kind) {
  ClaimResult Result;
  Result.m_Id = Id;
  Result.m_Kind = Kind;
  return Result;
}

ClaimResult makeAlreadyDoneResult(ClaimId Id, const ClaimOutcome &Outcome) {
  ClaimResult Result = makeResult(Id, ClaimResultKind::AlreadyDone);
  Result.m_Outcome = Outcome;
  return Result;
}

} // namespace

ClaimBatcher::ClaimBatcher(std::string BucketKey, std::string Writer,
                           const ClaimSettings &Settings,
                           const WriterLiveness &IsWriterAlive,
                           std::shared_ptr<UnusedGrantList> UnusedGrants)
    : m_BucketKey(std::move(BucketKey)), m_Writer(std::move(Writer)),
      m_Settings(Settings), m_IsWriterAlive(IsWriterAlive),
      m_UnusedGrants(std::move(UnusedGrants)) {}

void ClaimBatcher::claim(ClaimId Id, ClaimRequest Request, MonotonicTime Now,
                         ClaimEffects &Effects) {
  m_LastUse = Now;
  if (m_PendingClaims.size() >= m_Settings.m_MaxPendingClaims) {
    Effects.m_Results.push_back(
        makeResult(Id, ClaimResultKind::StoreUnavailable));
    return;
  }
  const auto SameKeyClaim = std::find_if(
      m_PendingClaims.begin(), m_PendingClaims.end(), [&](const auto &Entry) {
        return Entry.second.m_Request.m_KeyHash == Request.m_KeyHash;
      });
  if (SameKeyClaim != m_PendingClaims.end()) {
    const bool IsSameBody =
        SameKeyClaim->second.m_Request.m_BodyHash == Request.m_BodyHash;
    Effects.m_Results.push_back(
        makeResult(Id, IsSameBody ? ClaimResultKind::InProgress
                                  : ClaimResultKind::KeyReused));
    return;
  }
  PendingClaim Claim;
  Claim.m_Request = std::move(Request);
  Claim.m_Deadline = Now + m_Settings.m_ClaimTimeout;
  Claim.m_ReadsStartedAtArrival = m_ReadsStarted;
  m_PendingClaims.emplace(Id, std::move(Claim));
  scheduleUpdate(Now);
  startNextCall(Now, Effects);
}

void ClaimBatcher::cancel(ClaimId Id, MonotonicTime Now,
                          ClaimEffects &Effects) {
  const auto Entry = m_PendingClaims.find(Id);
  if (Entry == m_PendingClaims.end())
    return;
  removeClaim(Entry);
  scheduleUpdate(Now);
  startNextCall(Now, Effects);
}

void ClaimBatcher::endClaim(const ClaimGrant &Grant, ClaimState State,
                            ClaimOutcome Outcome, MonotonicTime Now,
                            ClaimEffects &Effects) {
  m_LastUse = Now;
  const auto Entry = m_GrantedSequences.find(Grant.m_KeyHash);
  if (Entry == m_GrantedSequences.end() || Entry->second != Grant.m_Sequence)
    return;
  m_GrantedSequences.erase(Entry);
  if (Outcome.m_Body.size() > m_Settings.m_MaxResponseBytes) {
    Outcome.m_Body.resize(m_Settings.m_MaxResponseBytes);
    Outcome.m_IsBodyComplete = false;
  }
  m_UnstoredEndedClaims[Grant.m_KeyHash] = {Grant.m_Sequence, State,
                                            std::move(Outcome)};
  scheduleUpdate(Now);
  startNextCall(Now, Effects);
}

void ClaimBatcher::onGet(const GetCompleted &Event, MonotonicTime Now,
                         ClaimEffects &Effects) {
  m_CallInFlight = StoreCallKind::None;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    setBucket(0, ClaimBucket());
    startNextCall(Now, Effects);
    return;
  }
  absl::StatusOr<ClaimBucket> Bucket =
      absl::UnavailableError("no answer from the object store");
  if (Event.m_Outcome == StoreOutcome::Succeeded)
    Bucket = ClaimBucket::decode(Event.m_Value);
  if (!Bucket.ok()) {
    refuseAllPending(Effects);
    delayRetry(Now);
    return;
  }
  setBucket(Event.m_Version, std::move(*Bucket));
  startNextCall(Now, Effects);
}

void ClaimBatcher::onPut(const WriteCompleted &Event, MonotonicTime Now,
                         ClaimEffects &Effects) {
  m_CallInFlight = StoreCallKind::None;
  if (Event.m_Outcome == StoreOutcome::Succeeded) {
    m_RetryDelay = Duration(0);
    m_ClaimsInUpdate.clear();
    setBucket(Event.m_Version, std::move(m_BucketInUpdate));
    startNextCall(Now, Effects);
    return;
  }
  if (Event.m_Outcome == StoreOutcome::Unavailable) {
    // The store did not apply this update. Its claims may still be stored by an
    // earlier update with an unknown outcome.
    if (!m_UnresolvedUpdateVersion)
      for (const ClaimId Id : m_ClaimsInUpdate)
        if (const auto Entry = m_PendingClaims.find(Id);
            Entry != m_PendingClaims.end())
          Entry->second.m_MayBeStored = false;
    m_ClaimsInUpdate.clear();
    refuseAllPending(Effects);
    delayRetry(Now);
    return;
  }
  if (Event.m_Outcome == StoreOutcome::Unknown) {
    // The bucket is read at once after the first unknown outcome, and after a
    // delay if the outcome of an earlier update is also unknown.
    if (m_UnresolvedUpdateVersion)
      delayRetry(Now);
    m_UnresolvedUpdateVersion = m_Version;
  }
  m_ClaimsInUpdate.clear();
  m_IsBucketKnown = false;
  startNextCall(Now, Effects);
}

void ClaimBatcher::tick(MonotonicTime Now, ClaimEffects &Effects) {
  refuseExpired(Now, Effects);
  startNextCall(Now, Effects);
}

std::optional<MonotonicTime> ClaimBatcher::nextDeadline() const {
  std::optional<MonotonicTime> Next;
  const auto Consider = [&Next](MonotonicTime Time) {
    Next = Next ? std::min(*Next, Time) : Time;
  };
  // A claim with a higher ID never has an earlier deadline, so the first claim
  // expires first.
  if (!m_PendingClaims.empty())
    Consider(m_PendingClaims.begin()->second.m_Deadline);
  if (m_CallInFlight != StoreCallKind::None || !hasWork())
    return Next;
  if (m_RetryAt)
    Consider(*m_RetryAt);
  else if (m_UpdateDueAt)
    Consider(*m_UpdateDueAt);
  return Next;
}

bool ClaimBatcher::isIdle() const {
  return m_CallInFlight == StoreCallKind::None && !hasWork() &&
         m_GrantedSequences.empty();
}

bool ClaimBatcher::hasWork() const {
  return !m_PendingClaims.empty() || !m_UnstoredEndedClaims.empty() ||
         !m_AbandonedClaims.empty();
}

void ClaimBatcher::scheduleUpdate(MonotonicTime Now) {
  if (!m_UpdateDueAt)
    m_UpdateDueAt = Now + m_Settings.m_BatchDelay;
}

void ClaimBatcher::startNextCall(MonotonicTime Now, ClaimEffects &Effects) {
  if (m_CallInFlight != StoreCallKind::None || !hasWork())
    return;
  if (m_RetryAt && Now < *m_RetryAt)
    return;
  m_RetryAt.reset();
  if (m_IsBucketKnown) {
    removeResolvedAbandonedClaims();
    removeStoredEndedClaims();
    decidePendingClaims(Effects);
  }
  if (!hasWork()) {
    m_UpdateDueAt.reset();
    return;
  }
  if (!m_IsBucketKnown || m_NeedsRead) {
    startRead(Effects);
    return;
  }
  scheduleUpdate(Now);
  // An update that fences an earlier one is not delayed.
  if (m_IsBatchDelayDisabled || m_UnresolvedUpdateVersion ||
      Now >= *m_UpdateDueAt)
    startWrite(Effects);
}

void ClaimBatcher::removeResolvedAbandonedClaims() {
  for (auto Entry = m_AbandonedClaims.begin();
       Entry != m_AbandonedClaims.end();) {
    const ClaimRecord *Record = m_Bucket.find(Entry->second);
    const bool IsStored = Record && isOwn(*Record) &&
                          Record->m_Sequence == Entry->first &&
                          Record->m_State == ClaimState::Claimed;
    if (IsStored || m_UnresolvedUpdateVersion)
      ++Entry;
    else
      Entry = m_AbandonedClaims.erase(Entry);
  }
}

void ClaimBatcher::removeStoredEndedClaims() {
  for (auto Entry = m_UnstoredEndedClaims.begin();
       Entry != m_UnstoredEndedClaims.end();) {
    const ClaimRecord *Record = m_Bucket.find(Entry->first);
    const bool IsOpen = Record && isOwn(*Record) &&
                        Record->m_Sequence == Entry->second.m_Sequence &&
                        Record->m_State == ClaimState::Claimed;
    if (IsOpen)
      ++Entry;
    else
      Entry = m_UnstoredEndedClaims.erase(Entry);
  }
}

void ClaimBatcher::decidePendingClaims(ClaimEffects &Effects) {
  m_NeedsRead = false;
  for (auto Entry = m_PendingClaims.begin(); Entry != m_PendingClaims.end();) {
    std::optional<ClaimResult> Result = decide(Entry->first, Entry->second);
    if (!Result) {
      ++Entry;
      continue;
    }
    const bool IsGranted = Result->m_Kind == ClaimResultKind::Granted;
    Effects.m_Results.push_back(std::move(*Result));
    Entry = IsGranted ? m_PendingClaims.erase(Entry) : removeClaim(Entry);
  }
}

std::optional<ClaimResult> ClaimBatcher::decide(ClaimId Id,
                                                PendingClaim &Claim) {
  const ClaimHash &Key = Claim.m_Request.m_KeyHash;
  const ClaimRecord *Record = m_Bucket.find(Key);
  if (!m_UnresolvedUpdateVersion && !(Record && isOwn(*Record)))
    Claim.m_MayBeStored = false;
  if (!Record)
    return std::nullopt;
  if (isOwn(*Record) && Record->m_Sequence == Id &&
      Record->m_State == ClaimState::Claimed) {
    m_GrantedSequences[Key] = Id;
    ClaimResult Result = makeResult(Id, ClaimResultKind::Granted);
    Result.m_Token =
        DispatchToken(ClaimGrant{m_BucketKey, Key, Id}, m_UnusedGrants);
    return Result;
  }
  if (Record->m_BodyHash != Claim.m_Request.m_BodyHash)
    return makeResult(Id, ClaimResultKind::KeyReused);
  if (isClaimable(*Record))
    return std::nullopt;
  const bool IsClaimOfOtherWriter =
      Record->m_State == ClaimState::Claimed && !isOwn(*Record);
  if (IsClaimOfOtherWriter && Claim.m_ReadsStartedAtArrival == m_ReadsStarted) {
    // The other writer may have recorded the outcome since the last read, so
    // the bucket is read again.
    m_NeedsRead = true;
    return std::nullopt;
  }
  return decideByRecord(Id, Claim, *Record);
}

ClaimResult ClaimBatcher::decideByRecord(ClaimId Id, const PendingClaim &Claim,
                                         const ClaimRecord &Record) {
  if (Record.m_State == ClaimState::Done)
    return makeAlreadyDoneResult(Id, Record.m_Outcome);
  if (Record.m_State == ClaimState::Unknown)
    return makeResult(Id, ClaimResultKind::Unknown);
  if (isOwn(Record))
    return decideOwnClaim(Id, Claim);
  return makeResult(Id, m_IsWriterAlive(Record.m_Writer)
                            ? ClaimResultKind::InProgress
                            : ClaimResultKind::Unknown);
}

ClaimResult ClaimBatcher::decideOwnClaim(ClaimId Id,
                                         const PendingClaim &Claim) const {
  const ClaimHash &Key = Claim.m_Request.m_KeyHash;
  const auto Settled = m_UnstoredEndedClaims.find(Key);
  if (Settled != m_UnstoredEndedClaims.end()) {
    if (Settled->second.m_State == ClaimState::Done)
      return makeAlreadyDoneResult(Id, Settled->second.m_Outcome);
    if (Settled->second.m_State == ClaimState::Unknown)
      return makeResult(Id, ClaimResultKind::Unknown);
  }
  return makeResult(Id, ClaimResultKind::InProgress);
}

bool ClaimBatcher::isOwn(const ClaimRecord &Record) const {
  return Record.m_Writer == m_Writer;
}

bool ClaimBatcher::isClaimable(const ClaimRecord &Record) const {
  if (Record.m_State == ClaimState::Released)
    return true;
  return Record.m_State == ClaimState::Claimed && isOwn(Record) &&
         m_AbandonedClaims.count(Record.m_Sequence) != 0;
}

ClaimBatcher::PendingClaims::iterator
ClaimBatcher::removeClaim(PendingClaims::iterator Entry) {
  if (Entry->second.m_MayBeStored)
    m_AbandonedClaims.emplace(Entry->first, Entry->second.m_Request.m_KeyHash);
  return m_PendingClaims.erase(Entry);
}

void ClaimBatcher::refuseAllPending(ClaimEffects &Effects) {
  for (auto Entry = m_PendingClaims.begin(); Entry != m_PendingClaims.end();) {
    Effects.m_Results.push_back(
        makeResult(Entry->first, ClaimResultKind::StoreUnavailable));
    Entry = removeClaim(Entry);
  }
}

void ClaimBatcher::refuseExpired(MonotonicTime Now, ClaimEffects &Effects) {
  while (!m_PendingClaims.empty() &&
         m_PendingClaims.begin()->second.m_Deadline <= Now) {
    Effects.m_Results.push_back(makeResult(m_PendingClaims.begin()->first,
                                           ClaimResultKind::StoreUnavailable));
    removeClaim(m_PendingClaims.begin());
  }
}

void ClaimBatcher::startRead(ClaimEffects &Effects) {
  m_CallInFlight = StoreCallKind::Get;
  m_NeedsRead = false;
  ++m_ReadsStarted;
  Effects.m_Actions.emplace_back(GetObject{0, m_BucketKey});
}

void ClaimBatcher::startWrite(ClaimEffects &Effects) {
  ClaimBucket Next = m_Bucket;
  for (const auto &[Sequence, Key] : m_AbandonedClaims) {
    const ClaimRecord *Record = m_Bucket.find(Key);
    if (!Record || !isOwn(*Record) || Record->m_Sequence != Sequence)
      continue;
    ClaimRecord Released = *Record;
    Released.m_State = ClaimState::Released;
    Next.set(Key, std::move(Released));
  }
  for (const auto &[Key, Settled] : m_UnstoredEndedClaims) {
    ClaimRecord Record = *m_Bucket.find(Key);
    Record.m_State = Settled.m_State;
    Record.m_Outcome = Settled.m_Outcome;
    Next.set(Key, std::move(Record));
  }
  addClaims(Next, Effects);
  m_UpdateDueAt.reset();
  // addClaims() may have refused all claims, so that nothing is left to write.
  if (!hasWork())
    return;
  Next.setLastWrite(m_Writer, ++m_WriteSequence);
  m_CallInFlight = StoreCallKind::Put;
  Effects.m_Actions.emplace_back(
      PutObject{0, m_BucketKey, m_Version, Next.encode()});
  m_BucketInUpdate = std::move(Next);
}

void ClaimBatcher::addClaims(ClaimBucket &Next, ClaimEffects &Effects) {
  const std::size_t BytesPerClaim =
      ClaimBucket::RecordBytes +
      ClaimBucket::encodedBodyBytes(m_Settings.m_MaxResponseBytes);
  m_ClaimsInUpdate.clear();
  for (auto Entry = m_PendingClaims.begin(); Entry != m_PendingClaims.end();) {
    const std::size_t MaxEncodedBytes =
        Next.maxEncodedBytes(m_Settings.m_MaxResponseBytes) + BytesPerClaim;
    if (MaxEncodedBytes > m_Settings.m_MaxObjectBytes) {
      Effects.m_Results.push_back(
          makeResult(Entry->first, ClaimResultKind::BucketFull));
      Entry = removeClaim(Entry);
      continue;
    }
    PendingClaim &Claim = Entry->second;
    ClaimRecord Record;
    Record.m_BodyHash = Claim.m_Request.m_BodyHash;
    Record.m_Organisation = Claim.m_Request.m_Organisation;
    Record.m_Writer = m_Writer;
    Record.m_Sequence = Entry->first;
    Next.set(Claim.m_Request.m_KeyHash, std::move(Record));
    Claim.m_MayBeStored = true;
    m_ClaimsInUpdate.insert(Entry->first);
    ++Entry;
  }
}

void ClaimBatcher::setBucket(ObjectVersion Version, ClaimBucket Bucket) {
  m_Bucket = std::move(Bucket);
  m_Version = Version;
  m_IsBucketKnown = true;
  // An update with an unknown outcome can no longer be applied once the version
  // of the object differs from the one it expects.
  if (m_UnresolvedUpdateVersion && Version > *m_UnresolvedUpdateVersion)
    m_UnresolvedUpdateVersion.reset();
}

void ClaimBatcher::delayRetry(MonotonicTime Now) {
  m_RetryDelay = std::clamp(m_RetryDelay * 2, m_Settings.m_RetryDelay,
                            m_Settings.m_MaxRetryDelay);
  m_RetryAt = Now + m_RetryDelay;
  scheduleUpdate(Now);
}

} // namespace fulmarwinch
