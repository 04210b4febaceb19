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

ClaimResult makeDone(ClaimId Id, const ClaimOutcome &Outcome) {
  ClaimResult Result = makeResult(Id, ClaimResultKind::AlreadyDone);
  Result.m_Outcome = Outcome;
  return Result;
}

} // namespace

ClaimBatcher::ClaimBatcher(std::string BucketKey, std::string Writer,
                           const ClaimSettings &Settings,
                           const WriterLiveness &IsAlive,
                           std::shared_ptr<DroppedGrants> Dropped)
    : m_BucketKey(std::move(BucketKey)), m_Writer(std::move(Writer)),
      m_Settings(Settings), m_IsAlive(IsAlive), m_Dropped(std::move(Dropped)) {}

void ClaimBatcher::claim(ClaimId Id, ClaimRequest Request, MonotonicTime Now,
                         ClaimEffects &Effects) {
  m_LastUse = Now;
  if (m_Pending.size() >= m_Settings.m_MaxPending) {
    Effects.m_Results.push_back(
        makeResult(Id, ClaimResultKind::StoreUnavailable));
    return;
  }
  const auto Same =
      std::find_if(m_Pending.begin(), m_Pending.end(), [&](const auto &Entry) {
        return Entry.second.m_Request.m_Key == Request.m_Key;
      });
  if (Same != m_Pending.end()) {
    const bool IsSameBody = Same->second.m_Request.m_Body == Request.m_Body;
    Effects.m_Results.push_back(
        makeResult(Id, IsSameBody ? ClaimResultKind::InProgress
                                  : ClaimResultKind::KeyReused));
    return;
  }
  PendingClaim Claim;
  Claim.m_Request = std::move(Request);
  Claim.m_Deadline = Now + m_Settings.m_ClaimTimeout;
  Claim.m_ReadsBefore = m_ReadsStarted;
  m_Pending.emplace(Id, std::move(Claim));
  noteWork(Now);
  pump(Now, Effects);
}

void ClaimBatcher::cancel(ClaimId Id, MonotonicTime Now,
                          ClaimEffects &Effects) {
  const auto Entry = m_Pending.find(Id);
  if (Entry == m_Pending.end())
    return;
  drop(Entry);
  noteWork(Now);
  pump(Now, Effects);
}

void ClaimBatcher::settle(const ClaimGrant &Grant, ClaimState State,
                          ClaimOutcome Outcome, MonotonicTime Now,
                          ClaimEffects &Effects) {
  m_LastUse = Now;
  const auto Entry = m_Granted.find(Grant.m_Key);
  if (Entry == m_Granted.end() || Entry->second != Grant.m_Sequence)
    return;
  m_Granted.erase(Entry);
  if (Outcome.m_Body.size() > m_Settings.m_MaxOutcomeBytes) {
    Outcome.m_Body.resize(m_Settings.m_MaxOutcomeBytes);
    Outcome.m_IsBodyComplete = false;
  }
  m_Settlements[Grant.m_Key] = {Grant.m_Sequence, State, std::move(Outcome)};
  noteWork(Now);
  pump(Now, Effects);
}

void ClaimBatcher::onGet(const GetCompleted &Event, MonotonicTime Now,
                         ClaimEffects &Effects) {
  m_Call = Call::None;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    adopt(0, ClaimBucket());
    pump(Now, Effects);
    return;
  }
  absl::StatusOr<ClaimBucket> Bucket =
      absl::UnavailableError("no answer from the object store");
  if (Event.m_Outcome == StoreOutcome::Applied)
    Bucket = ClaimBucket::decode(Event.m_Value);
  if (!Bucket.ok()) {
    refuseAll(Effects);
    pauseAfterFailure(Now);
    return;
  }
  adopt(Event.m_Version, std::move(*Bucket));
  pump(Now, Effects);
}

void ClaimBatcher::onPut(const PutCompleted &Event, MonotonicTime Now,
                         ClaimEffects &Effects) {
  m_Call = Call::None;
  if (Event.m_Outcome == StoreOutcome::Applied) {
    m_RetryPause = Duration(0);
    m_InUpdate.clear();
    adopt(Event.m_Version, std::move(m_Proposed));
    pump(Now, Effects);
    return;
  }
  if (Event.m_Outcome == StoreOutcome::Unavailable) {
    // This update had no effect, but an earlier one may still be in progress.
    if (!m_DoubtfulVersion)
      for (const ClaimId Id : m_InUpdate)
        if (const auto Entry = m_Pending.find(Id); Entry != m_Pending.end())
          Entry->second.m_MayBeStored = false;
    m_InUpdate.clear();
    refuseAll(Effects);
    pauseAfterFailure(Now);
    return;
  }
  if (Event.m_Outcome == StoreOutcome::Unknown) {
    // The first lost answer is followed by a read at once.
    if (m_DoubtfulVersion)
      pauseAfterFailure(Now);
    m_DoubtfulVersion = m_Version;
  }
  m_InUpdate.clear();
  m_IsBucketKnown = false;
  pump(Now, Effects);
}

void ClaimBatcher::tick(MonotonicTime Now, ClaimEffects &Effects) {
  expire(Now, Effects);
  pump(Now, Effects);
}

std::optional<MonotonicTime> ClaimBatcher::nextDeadline() const {
  std::optional<MonotonicTime> Next;
  const auto Consider = [&Next](MonotonicTime Time) {
    Next = Next ? std::min(*Next, Time) : Time;
  };
  // Deadlines grow with the ID, so the first claim is the next to expire.
  if (!m_Pending.empty())
    Consider(m_Pending.begin()->second.m_Deadline);
  if (m_Call != Call::None || !hasWork())
    return Next;
  if (m_RetryAt)
    Consider(*m_RetryAt);
  else if (m_BatchDue)
    Consider(*m_BatchDue);
  return Next;
}

bool ClaimBatcher::isIdle() const {
  return m_Call == Call::None && !hasWork() && m_Granted.empty();
}

bool ClaimBatcher::hasWork() const {
  return !m_Pending.empty() || !m_Settlements.empty() || !m_Abandoned.empty();
}

void ClaimBatcher::noteWork(MonotonicTime Now) {
  if (!m_BatchDue)
    m_BatchDue = Now + m_Settings.m_BatchDelay;
}

void ClaimBatcher::pump(MonotonicTime Now, ClaimEffects &Effects) {
  if (m_Call != Call::None || !hasWork())
    return;
  if (m_RetryAt && Now < *m_RetryAt)
    return;
  m_RetryAt.reset();
  if (m_IsBucketKnown) {
    resolveAbandoned();
    resolveSettlements();
    resolveClaims(Effects);
  }
  if (!hasWork()) {
    m_BatchDue.reset();
    return;
  }
  if (!m_IsBucketKnown || m_NeedsRead) {
    startRead(Effects);
    return;
  }
  noteWork(Now);
  // An update that fences an earlier one is not delayed.
  if (m_IsFlushing || m_DoubtfulVersion || Now >= *m_BatchDue)
    startWrite(Effects);
}

void ClaimBatcher::resolveAbandoned() {
  for (auto Entry = m_Abandoned.begin(); Entry != m_Abandoned.end();) {
    const ClaimRecord *Record = m_Bucket.find(Entry->second);
    const bool IsStored = Record && isOwn(*Record) &&
                          Record->m_Sequence == Entry->first &&
                          Record->m_State == ClaimState::Claimed;
    if (IsStored || m_DoubtfulVersion)
      ++Entry;
    else
      Entry = m_Abandoned.erase(Entry);
  }
}

void ClaimBatcher::resolveSettlements() {
  for (auto Entry = m_Settlements.begin(); Entry != m_Settlements.end();) {
    const ClaimRecord *Record = m_Bucket.find(Entry->first);
    const bool IsOpen = Record && isOwn(*Record) &&
                        Record->m_Sequence == Entry->second.m_Sequence &&
                        Record->m_State == ClaimState::Claimed;
    if (IsOpen)
      ++Entry;
    else
      Entry = m_Settlements.erase(Entry);
  }
}

void ClaimBatcher::resolveClaims(ClaimEffects &Effects) {
  m_NeedsRead = false;
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    std::optional<ClaimResult> Result = decide(Entry->first, Entry->second);
    if (!Result) {
      ++Entry;
      continue;
    }
    const bool IsGranted = Result->m_Kind == ClaimResultKind::Granted;
    Effects.m_Results.push_back(std::move(*Result));
    Entry = IsGranted ? m_Pending.erase(Entry) : drop(Entry);
  }
}

std::optional<ClaimResult> ClaimBatcher::decide(ClaimId Id,
                                                PendingClaim &Claim) {
  const ClaimHash &Key = Claim.m_Request.m_Key;
  const ClaimRecord *Record = m_Bucket.find(Key);
  if (!m_DoubtfulVersion && !(Record && isOwn(*Record)))
    Claim.m_MayBeStored = false;
  if (!Record)
    return std::nullopt;
  if (isOwn(*Record) && Record->m_Sequence == Id &&
      Record->m_State == ClaimState::Claimed) {
    m_Granted[Key] = Id;
    ClaimResult Result = makeResult(Id, ClaimResultKind::Granted);
    Result.m_Token = DispatchToken(ClaimGrant{m_BucketKey, Key, Id}, m_Dropped);
    return Result;
  }
  if (Record->m_Body != Claim.m_Request.m_Body)
    return makeResult(Id, ClaimResultKind::KeyReused);
  if (isClaimable(*Record))
    return std::nullopt;
  const bool IsOthersClaim =
      Record->m_State == ClaimState::Claimed && !isOwn(*Record);
  if (IsOthersClaim && Claim.m_ReadsBefore == m_ReadsStarted) {
    // The other writer may have recorded the outcome since the last read.
    m_NeedsRead = true;
    return std::nullopt;
  }
  return decideByRecord(Id, Claim, *Record);
}

ClaimResult ClaimBatcher::decideByRecord(ClaimId Id, const PendingClaim &Claim,
                                         const ClaimRecord &Record) {
  if (Record.m_State == ClaimState::Done)
    return makeDone(Id, Record.m_Outcome);
  if (Record.m_State == ClaimState::Unknown)
    return makeResult(Id, ClaimResultKind::Unknown);
  if (isOwn(Record))
    return decideOwnClaim(Id, Claim);
  return makeResult(Id, m_IsAlive(Record.m_Writer) ? ClaimResultKind::InProgress
                                                   : ClaimResultKind::Unknown);
}

ClaimResult ClaimBatcher::decideOwnClaim(ClaimId Id,
                                         const PendingClaim &Claim) const {
  const ClaimHash &Key = Claim.m_Request.m_Key;
  const auto Settled = m_Settlements.find(Key);
  if (Settled != m_Settlements.end()) {
    if (Settled->second.m_State == ClaimState::Done)
      return makeDone(Id, Settled->second.m_Outcome);
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
         m_Abandoned.count(Record.m_Sequence) != 0;
}

ClaimBatcher::PendingClaims::iterator
ClaimBatcher::drop(PendingClaims::iterator Entry) {
  if (Entry->second.m_MayBeStored)
    m_Abandoned.emplace(Entry->first, Entry->second.m_Request.m_Key);
  return m_Pending.erase(Entry);
}

void ClaimBatcher::refuseAll(ClaimEffects &Effects) {
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    Effects.m_Results.push_back(
        makeResult(Entry->first, ClaimResultKind::StoreUnavailable));
    Entry = drop(Entry);
  }
}

void ClaimBatcher::expire(MonotonicTime Now, ClaimEffects &Effects) {
  while (!m_Pending.empty() && m_Pending.begin()->second.m_Deadline <= Now) {
    Effects.m_Results.push_back(makeResult(m_Pending.begin()->first,
                                           ClaimResultKind::StoreUnavailable));
    drop(m_Pending.begin());
  }
}

void ClaimBatcher::startRead(ClaimEffects &Effects) {
  m_Call = Call::Get;
  m_NeedsRead = false;
  ++m_ReadsStarted;
  Effects.m_Actions.emplace_back(GetObject{0, m_BucketKey});
}

void ClaimBatcher::startWrite(ClaimEffects &Effects) {
  ClaimBucket Next = m_Bucket;
  for (const auto &[Sequence, Key] : m_Abandoned) {
    const ClaimRecord *Record = m_Bucket.find(Key);
    if (!Record || !isOwn(*Record) || Record->m_Sequence != Sequence)
      continue;
    ClaimRecord Released = *Record;
    Released.m_State = ClaimState::Released;
    Next.set(Key, std::move(Released));
  }
  for (const auto &[Key, Settled] : m_Settlements) {
    ClaimRecord Record = *m_Bucket.find(Key);
    Record.m_State = Settled.m_State;
    Record.m_Outcome = Settled.m_Outcome;
    Next.set(Key, std::move(Record));
  }
  addClaims(Next, Effects);
  m_BatchDue.reset();
  // Refusals by addClaims() can leave nothing to write.
  if (!hasWork())
    return;
  Next.stamp(m_Writer, ++m_WriteSequence);
  m_Call = Call::Put;
  Effects.m_Actions.emplace_back(
      PutObject{0, m_BucketKey, m_Version, Next.encode()});
  m_Proposed = std::move(Next);
}

void ClaimBatcher::addClaims(ClaimBucket &Next, ClaimEffects &Effects) {
  const std::size_t PerClaim =
      ClaimBucket::RecordBytes +
      ClaimBucket::encodedBodyBytes(m_Settings.m_MaxOutcomeBytes);
  m_InUpdate.clear();
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    const std::size_t Bytes =
        Next.reservedBytes(m_Settings.m_MaxOutcomeBytes) + PerClaim;
    if (Bytes > m_Settings.m_MaxObjectBytes) {
      Effects.m_Results.push_back(
          makeResult(Entry->first, ClaimResultKind::BucketFull));
      Entry = drop(Entry);
      continue;
    }
    PendingClaim &Claim = Entry->second;
    ClaimRecord Record;
    Record.m_Body = Claim.m_Request.m_Body;
    Record.m_Organisation = Claim.m_Request.m_Organisation;
    Record.m_Writer = m_Writer;
    Record.m_Sequence = Entry->first;
    Next.set(Claim.m_Request.m_Key, std::move(Record));
    Claim.m_MayBeStored = true;
    m_InUpdate.insert(Entry->first);
    ++Entry;
  }
}

void ClaimBatcher::adopt(ObjectVersion Version, ClaimBucket Bucket) {
  m_Bucket = std::move(Bucket);
  m_Version = Version;
  m_IsBucketKnown = true;
  // A conditional update can no longer be applied once the version changed.
  if (m_DoubtfulVersion && Version > *m_DoubtfulVersion)
    m_DoubtfulVersion.reset();
}

void ClaimBatcher::pauseAfterFailure(MonotonicTime Now) {
  m_RetryPause = std::clamp(m_RetryPause * 2, m_Settings.m_RetryPause,
                            m_Settings.m_MaxRetryPause);
  m_RetryAt = Now + m_RetryPause;
  noteWork(Now);
}

} // namespace fulmarwinch
