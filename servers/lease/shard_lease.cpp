#include "servers/lease/shard_lease.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

ShardLease::ShardLease(const LeaseSettings &Settings, std::string Shard,
                       std::string Writer)
    : m_Settings(Settings), m_Shard(std::move(Shard)),
      m_Writer(std::move(Writer)) {}

void ShardLease::setRank(std::size_t Rank, std::size_t NodeCount) {
  m_Rank = Rank;
  m_NodeCount = std::max<std::size_t>(NodeCount, 1);
}

void ShardLease::onStoreEra(StoreEra Era, MonotonicTime Now) {
  if (Era <= m_Era)
    return;
  const bool IsFirst = m_Era == 0;
  m_Era = Era;
  if (!IsFirst || !m_Settings.m_IsFirstStart)
    m_RestorationOverAt =
        Now +
        std::max({m_Settings.m_RestorationDelay,
                  isHeld(Now) ? Duration::zero() : m_Settings.m_LostHolderDelay,
                  extendByClockDrift(m_Settings.m_LeaseDuration)});
  if (IsFirst && !m_HasRead)
    return;
  m_Phase = Phase::Idle;
  m_CallId = 0;
  m_NextCallAt = Now;
  m_LastRecord.reset();
  m_LastVersion = {};
  m_HasRead = false;
  m_WasDeleted = false;
  m_NeedsRead = true;
  m_UnresolvedWrites.clear();
  m_OwnsLease = false;
  m_IsHandingOver = false;
  m_HeldUntil = MonotonicTime{};
}

Duration ShardLease::pollPeriod() const {
  if (m_Rank == 0)
    return m_Settings.m_PreferredPollPeriod;
  if (m_Rank <= 2)
    return m_Settings.m_BackupPollPeriod;
  return m_Settings.m_BackupPollPeriod * static_cast<std::int64_t>(m_Rank);
}

Duration ShardLease::rankDelay() const {
  const std::size_t DelayedRanks =
      std::min(m_Rank, m_Settings.m_MaxDelayedRanks);
  return m_Settings.m_ChallengeDelayPerRank *
         static_cast<std::int64_t>(DelayedRanks);
}

Duration ShardLease::challengeDelay() const {
  // A released lease, or one that never existed, has no holder, so only the
  // rank delays the challenge. A deleted lease may still have a holder.
  if (m_WasDeleted)
    return extendByClockDrift(m_Settings.m_LeaseDuration) + rankDelay();
  if (!m_LastRecord || m_LastRecord->m_Holder.empty())
    return rankDelay();
  return extendByClockDrift(m_LastRecord->m_Duration) + rankDelay();
}

bool ShardLease::mayChallenge(MonotonicTime Now) const {
  return m_HasRead && Now >= m_RestorationOverAt + rankDelay() &&
         Now - m_UnchangedSince >= challengeDelay();
}

bool ShardLease::mustRelease() const {
  return (m_IsStopping || m_IsHandingOver) &&
         (m_OwnsLease || !m_UnresolvedWrites.empty());
}

std::optional<StoreAction> ShardLease::nextCall(MonotonicTime Now,
                                                StoreCallId Id) {
  if (m_Phase != Phase::Idle || Now < m_NextCallAt)
    return std::nullopt;
  if (m_IsStopping && !mustRelease())
    return std::nullopt;
  if (m_NeedsRead || !m_HasRead)
    return startRead(Now, Id);
  if (mustRelease())
    return startWrite(Now, Id, true);
  // The next conditional write, a renewal or a challenge, prevents unresolved
  // writes from taking effect later.
  if (m_OwnsLease || !m_UnresolvedWrites.empty())
    return startWrite(Now, Id, false);
  if (mayChallenge(Now) && Now - m_LastReadAt < m_Settings.m_RenewPeriod)
    return startWrite(Now, Id, false);
  return startRead(Now, Id);
}

StoreAction ShardLease::startRead(MonotonicTime /*Now*/, StoreCallId Id) {
  m_Phase = Phase::Reading;
  m_CallId = Id;
  return GetObject{Id, "lease/" + m_Shard};
}

StoreAction ShardLease::startWrite(MonotonicTime Now, StoreCallId Id,
                                   bool Release) {
  m_Phase = Phase::Writing;
  m_CallId = Id;
  const std::uint64_t HighestEpoch = m_HighestEpoch;
  // An expired lease is acquired with a new epoch, so that the code that
  // depends on it starts again from the stored state.
  const bool IsRenewal = m_OwnsLease && isHeld(Now);
  m_SentRecord.m_Holder = Release ? std::string() : m_Writer;
  m_SentRecord.m_Writer = m_Writer;
  m_SentRecord.m_Epoch = IsRenewal || Release
                             ? std::max<std::uint64_t>(HighestEpoch, 1)
                             : std::max(HighestEpoch + 1, firstEpochOf(m_Era));
  m_SentRecord.m_Sequence = ++m_Sequence;
  m_SentRecord.m_Duration = m_Settings.m_LeaseDuration;
  m_UnresolvedWrites[m_Sequence] = Now;
  // The holder must stop acting before other nodes can read the release.
  if (Release)
    m_HeldUntil = MonotonicTime{};
  return PutObject{Id, "lease/" + m_Shard, m_LastVersion,
                   serialiseLeaseRecord(m_SentRecord)};
}

void ShardLease::onGetCompleted(const GetCompleted &Event, MonotonicTime Now) {
  onStoreEra(Event.m_Era, Now);
  if (m_Phase != Phase::Reading || Event.m_Id != m_CallId)
    return;
  m_Phase = Phase::Idle;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    onRecordRead(std::nullopt, 0, Now);
    return;
  }
  if (Event.m_Outcome != StoreOutcome::Succeeded) {
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  }
  absl::StatusOr<LeaseRecord> Record = parseLeaseRecord(Event.m_Value);
  if (!Record.ok()) {
    // An unreadable record has no epoch that a challenge could exceed, so an
    // operator has to repair the record.
    scheduleNext(Now, m_Settings.m_BackupPollPeriod);
    return;
  }
  onRecordRead(*Record, Event.m_Version, Now);
}

void ShardLease::onRecordRead(const std::optional<LeaseRecord> &Record,
                              ObjectVersion Version, MonotonicTime Now) {
  // Ignore a read that returned an older version than an earlier one.
  if (m_HasRead && Record && Version < m_LastVersion) {
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  }
  m_NeedsRead = false;
  // A change since a recent read shows that the holder still renews the lease.
  const bool WasReadRecently =
      m_HasRead &&
      Now - m_LastReadAt <= challengeDelay() + m_Settings.m_RenewPeriod;
  m_LastReadAt = Now;
  const bool VersionChanged = !m_HasRead || Version != m_LastVersion;
  m_HasRead = true;
  if (!VersionChanged) {
    // Unresolved writes have not been applied yet, but may still be. nextCall()
    // fences them by a write with the same expected version.
    scheduleNext(Now,
                 m_OwnsLease || !m_UnresolvedWrites.empty() || mayChallenge(Now)
                     ? Duration::zero()
                     : pollPeriod());
    return;
  }
  // The last holder of a deleted lease object may still act.
  m_WasDeleted = m_LastRecord.has_value() && !Record;
  m_LastRecord = Record;
  m_LastVersion = Version;
  m_UnchangedSince = Now;
  m_HighestEpoch = std::max(m_HighestEpoch, Record ? Record->m_Epoch : 0);
  // Whoever acquired the lease in this era has waited for the end of the
  // restoration.
  if (Record && isOfThisEra(*Record))
    m_RestorationOverAt = MonotonicTime{};
  if (Record && Record->m_Writer == m_Writer && isOfThisEra(*Record)) {
    confirmOwnWrite(Record->m_Sequence);
    scheduleNext(Now, Duration::zero());
    return;
  }
  m_OwnsLease = false;
  m_IsHandingOver = false;
  m_HeldUntil = MonotonicTime{};
  m_UnresolvedWrites.clear();
  const bool IsRenewed = WasReadRecently && Record && !Record->m_Holder.empty();
  scheduleNext(Now, mayChallenge(Now) ? Duration::zero()
                    : IsRenewed       ? pollPeriod()
                                : std::min(pollPeriod(), challengeDelay()));
}

void ShardLease::confirmOwnWrite(std::uint64_t Sequence) {
  const auto SentWrite = m_UnresolvedWrites.find(Sequence);
  m_OwnsLease = m_LastRecord && m_LastRecord->m_Holder == m_Writer;
  if (!m_OwnsLease)
    m_IsHandingOver = false;
  if (SentWrite != m_UnresolvedWrites.end() && m_OwnsLease) {
    m_HeldEpoch = m_LastRecord->m_Epoch;
    m_HeldUntil =
        SentWrite->second + shortenByClockDrift(m_LastRecord->m_Duration);
  }
  m_UnresolvedWrites.clear();
}

void ShardLease::onWriteCompleted(const WriteCompleted &Event,
                                  MonotonicTime Now) {
  onStoreEra(Event.m_Era, Now);
  if (m_Phase != Phase::Writing || Event.m_Id != m_CallId)
    return;
  m_Phase = Phase::Idle;
  switch (Event.m_Outcome) {
  case StoreOutcome::Succeeded:
    m_LastRecord = m_SentRecord;
    m_WasDeleted = false;
    m_HighestEpoch = std::max(m_HighestEpoch, m_SentRecord.m_Epoch);
    m_LastVersion = Event.m_Version;
    m_UnchangedSince = Now;
    m_LastReadAt = Now;
    confirmOwnWrite(m_SentRecord.m_Sequence);
    scheduleNext(Now, m_OwnsLease ? m_Settings.m_RenewPeriod : pollPeriod());
    return;
  case StoreOutcome::Unavailable:
    m_UnresolvedWrites.erase(m_SentRecord.m_Sequence);
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  case StoreOutcome::Conflict:
  case StoreOutcome::NotFound:
    m_UnresolvedWrites.erase(m_SentRecord.m_Sequence);
    m_NeedsRead = true;
    scheduleNext(Now, Duration::zero());
    return;
  case StoreOutcome::Unknown:
    m_NeedsRead = true;
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  }
}

void ShardLease::stop() {
  m_IsStopping = true;
  m_NextCallAt = MonotonicTime::min();
}

void ShardLease::releaseForHandover() {
  if (m_OwnsLease)
    m_IsHandingOver = true;
}

bool ShardLease::isHeld(MonotonicTime Now) const {
  return m_OwnsLease && !m_IsStopping && !m_IsHandingOver && Now < m_HeldUntil;
}

bool ShardLease::isStopped(MonotonicTime /*Now*/) const {
  return m_IsStopping && m_Phase == Phase::Idle && !mustRelease();
}

} // namespace fulmarwinch
