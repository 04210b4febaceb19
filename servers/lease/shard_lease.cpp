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

Duration ShardLease::pollPeriod() const {
  if (m_Rank == 0)
    return m_Settings.m_FirstPollPeriod;
  if (m_Rank <= 2)
    return m_Settings.m_BackupPollPeriod;
  return m_Settings.m_BackupPollPeriod * static_cast<std::int64_t>(m_NodeCount);
}

Duration ShardLease::rankWait() const {
  const std::size_t Waits = std::min(m_Rank, m_Settings.m_MaxRankWaits);
  return m_Settings.m_WaitPerRank * static_cast<std::int64_t>(Waits);
}

Duration ShardLease::challengeWait() const {
  // A missing or released lease has no holder, so only the rank counts.
  if (m_Vanished)
    return prolongByClockError(m_Settings.m_LeaseDuration) + rankWait();
  if (!m_Seen || m_Seen->m_Holder.empty())
    return rankWait();
  return prolongByClockError(m_Seen->m_Duration) + rankWait();
}

bool ShardLease::mayChallenge(MonotonicTime Now) const {
  return m_HasSeen && Now - m_UnchangedSince >= challengeWait();
}

bool ShardLease::mustRelease() const {
  return (m_Stopping || m_HandingOver) && (m_Mine || !m_Unresolved.empty());
}

std::optional<StoreAction> ShardLease::nextCall(MonotonicTime Now,
                                                StoreCallId Id) {
  if (m_Phase != Phase::Idle || Now < m_NextCallAt)
    return std::nullopt;
  if (m_Stopping && !mustRelease())
    return std::nullopt;
  if (m_MustRead || !m_HasSeen)
    return startRead(Now, Id);
  if (mustRelease())
    return startWrite(Now, Id, true);
  // An unresolved write is fenced by the next conditional update, whether it
  // renews or challenges.
  if (m_Mine || !m_Unresolved.empty())
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
  const std::uint64_t SeenEpoch = m_HighestEpoch;
  // A lapsed lease is taken anew, so that its users start over from the
  // stored state.
  const bool Continues = m_Mine && isHeld(Now);
  m_Sent.m_Holder = Release ? std::string() : m_Writer;
  m_Sent.m_Writer = m_Writer;
  m_Sent.m_Epoch = Continues || Release ? std::max<std::uint64_t>(SeenEpoch, 1)
                                        : SeenEpoch + 1;
  m_Sent.m_Sequence = ++m_Sequence;
  m_Sent.m_Duration = m_Settings.m_LeaseDuration;
  m_Unresolved[m_Sequence] = Now;
  // The holder stops acting before others can see the release.
  if (Release)
    m_HeldUntil = MonotonicTime{};
  return PutObject{Id, "lease/" + m_Shard, m_SeenVersion,
                   serialiseLeaseRecord(m_Sent)};
}

void ShardLease::onGetCompleted(const GetCompleted &Event, MonotonicTime Now) {
  if (m_Phase != Phase::Reading || Event.m_Id != m_CallId)
    return;
  m_Phase = Phase::Idle;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    observe(std::nullopt, 0, Now);
    return;
  }
  if (Event.m_Outcome != StoreOutcome::Applied) {
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  }
  absl::StatusOr<LeaseRecord> Record = parseLeaseRecord(Event.m_Value);
  if (!Record.ok()) {
    // A record that nobody can read names no epoch that could be exceeded,
    // so the shard waits for an operator.
    scheduleNext(Now, m_Settings.m_BackupPollPeriod);
    return;
  }
  observe(*Record, Event.m_Version, Now);
}

void ShardLease::observe(const std::optional<LeaseRecord> &Record,
                         ObjectVersion Version, MonotonicTime Now) {
  // A read that lags behind what was already seen tells nothing.
  if (m_HasSeen && Record && Version < m_SeenVersion) {
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  }
  m_MustRead = false;
  m_LastReadAt = Now;
  const bool Changed = !m_HasSeen || Version != m_SeenVersion;
  m_HasSeen = true;
  if (!Changed) {
    // Unresolved writes are not applied yet, but may still be: nextCall()
    // fences them by a write with the same expected version.
    scheduleNext(Now, m_Mine || !m_Unresolved.empty() || mayChallenge(Now)
                          ? Duration::zero()
                          : pollPeriod());
    return;
  }
  // A deleted object says nothing about its last holder, who may still act.
  m_Vanished = m_Seen.has_value() && !Record;
  m_Seen = Record;
  m_SeenVersion = Version;
  m_UnchangedSince = Now;
  m_HighestEpoch = std::max(m_HighestEpoch, Record ? Record->m_Epoch : 0);
  if (Record && Record->m_Writer == m_Writer) {
    adoptOwnWrite(Record->m_Sequence);
    scheduleNext(Now, Duration::zero());
    return;
  }
  m_Mine = false;
  m_HandingOver = false;
  m_HeldUntil = MonotonicTime{};
  m_Unresolved.clear();
  scheduleNext(Now, mayChallenge(Now)
                        ? Duration::zero()
                        : std::min(pollPeriod(), challengeWait()));
}

void ShardLease::adoptOwnWrite(std::uint64_t Sequence) {
  const auto Sent = m_Unresolved.find(Sequence);
  m_Mine = m_Seen && m_Seen->m_Holder == m_Writer;
  if (!m_Mine)
    m_HandingOver = false;
  if (Sent != m_Unresolved.end() && m_Mine) {
    m_HeldEpoch = m_Seen->m_Epoch;
    m_HeldUntil = Sent->second + shortenByClockError(m_Seen->m_Duration);
  }
  m_Unresolved.clear();
}

void ShardLease::onPutCompleted(const PutCompleted &Event, MonotonicTime Now) {
  if (m_Phase != Phase::Writing || Event.m_Id != m_CallId)
    return;
  m_Phase = Phase::Idle;
  switch (Event.m_Outcome) {
  case StoreOutcome::Applied:
    m_Seen = m_Sent;
    m_Vanished = false;
    m_HighestEpoch = std::max(m_HighestEpoch, m_Sent.m_Epoch);
    m_SeenVersion = Event.m_Version;
    m_UnchangedSince = Now;
    m_LastReadAt = Now;
    adoptOwnWrite(m_Sent.m_Sequence);
    scheduleNext(Now, m_Mine ? m_Settings.m_RenewPeriod : pollPeriod());
    return;
  case StoreOutcome::Unavailable:
    m_Unresolved.erase(m_Sent.m_Sequence);
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  case StoreOutcome::Conflict:
  case StoreOutcome::NotFound:
    m_Unresolved.erase(m_Sent.m_Sequence);
    m_MustRead = true;
    scheduleNext(Now, Duration::zero());
    return;
  case StoreOutcome::Unknown:
    m_MustRead = true;
    scheduleNext(Now, m_Settings.m_RetryPeriod);
    return;
  }
}

void ShardLease::stop() {
  m_Stopping = true;
  m_NextCallAt = MonotonicTime::min();
}

void ShardLease::handOver() {
  if (m_Mine)
    m_HandingOver = true;
}

bool ShardLease::isHeld(MonotonicTime Now) const {
  return m_Mine && !m_Stopping && !m_HandingOver && Now < m_HeldUntil;
}

bool ShardLease::isStopped(MonotonicTime /*Now*/) const {
  return m_Stopping && m_Phase == Phase::Idle && !mustRelease();
}

} // namespace fulmarwinch
