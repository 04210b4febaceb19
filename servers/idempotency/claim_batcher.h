#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BATCHER_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BATCHER_H

#include "servers/idempotency/claim_bucket.h"
#include "servers/idempotency/claim_messages.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fulmarwinch {

/// Stores and decides the claims of one bucket object. Collects claims and
/// outcomes into one conditional update and has at most one store call in
/// flight. Claims are decided only from content that was read from the store or
/// whose update succeeded: a claim is granted only if the stored record has
/// this writer and the sequence number of the attempt. An update that is
/// repeated with the same expected version fences the earlier one, because only
/// one of the two can be applied. Not thread-safe.
class ClaimBatcher {
public:
  ClaimBatcher(std::string BucketKey, std::string Writer,
               const ClaimSettings &Settings,
               const WriterLiveness &IsWriterAlive,
               std::shared_ptr<UnusedGrantList> UnusedGrants = nullptr);

  /// Starts the attempt \p Id.
  void claim(ClaimId Id, ClaimRequest Request, MonotonicTime Now,
             ClaimEffects &Effects);

  /// Cancels an undecided attempt whose caller no longer waits.
  void cancel(ClaimId Id, MonotonicTime Now, ClaimEffects &Effects);

  /// Ends a granted claim with the state and outcome that are to be stored. Has
  /// no effect if the claim was ended before.
  void endClaim(const ClaimGrant &Grant, ClaimState State, ClaimOutcome Outcome,
                MonotonicTime Now, ClaimEffects &Effects);

  void onGet(const GetCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  void onPut(const WriteCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  /// Refuses claims that timed out and starts the next store call if it is due.
  void tick(MonotonicTime Now, ClaimEffects &Effects);

  /// Sends every further update without the batch delay.
  void disableBatchDelay() { m_IsBatchDelayDisabled = true; }

  /// Returns the time at which tick() is next required, or nothing.
  std::optional<MonotonicTime> nextDeadline() const;
  /// Returns whether no claim, outcome or store call is pending, so that this
  /// object may be destroyed.
  bool isIdle() const;
  MonotonicTime lastUse() const { return m_LastUse; }

private:
  /// Kind of the store call in flight.
  enum class StoreCallKind { None, Get, Put };

  struct PendingClaim {
    ClaimRequest m_Request;
    MonotonicTime m_Deadline;
    /// Value of m_ReadsStarted when the claim arrived.
    std::uint64_t m_ReadsStartedAtArrival = 0;
    /// Whether an update with this claim may have been or may yet be applied.
    bool m_MayBeStored = false;
  };

  /// State and outcome of an ended claim that are not stored yet.
  struct EndedClaim {
    std::uint64_t m_Sequence = 0;
    ClaimState m_State = ClaimState::Done;
    ClaimOutcome m_Outcome;
  };

  using PendingClaims = std::map<ClaimId, PendingClaim>;

  /// Decides the pending claims for which the last read content suffices, and
  /// starts the next store call if it is due.
  void startNextCall(MonotonicTime Now, ClaimEffects &Effects);
  void decidePendingClaims(ClaimEffects &Effects);
  void removeStoredEndedClaims();
  void removeResolvedAbandonedClaims();
  /// Returns the result of the claim, or nothing if the claim has to be stored
  /// or the bucket to be read again first.
  std::optional<ClaimResult> decide(ClaimId Id, PendingClaim &Claim);
  ClaimResult decideByRecord(ClaimId Id, const PendingClaim &Claim,
                             const ClaimRecord &Record);
  ClaimResult decideOwnClaim(ClaimId Id, const PendingClaim &Claim) const;
  bool isOwn(const ClaimRecord &Record) const;
  /// Returns whether a new claim may replace \p Record.
  bool isClaimable(const ClaimRecord &Record) const;
  /// Removes an undecided claim. If its record may be stored, the record will
  /// be released.
  PendingClaims::iterator removeClaim(PendingClaims::iterator Entry);
  void refuseAllPending(ClaimEffects &Effects);
  void refuseExpired(MonotonicTime Now, ClaimEffects &Effects);
  void startRead(ClaimEffects &Effects);
  void startWrite(ClaimEffects &Effects);
  void addClaims(ClaimBucket &Next, ClaimEffects &Effects);
  void setBucket(ObjectVersion Version, ClaimBucket Bucket);
  void delayRetry(MonotonicTime Now);
  void scheduleUpdate(MonotonicTime Now);
  bool hasWork() const;

  std::string m_BucketKey;
  std::string m_Writer;
  const ClaimSettings &m_Settings;
  const WriterLiveness &m_IsWriterAlive;
  const std::shared_ptr<UnusedGrantList> m_UnusedGrants;

  StoreCallKind m_CallInFlight = StoreCallKind::None;
  /// Content of the bucket object at the last read or successful update.
  ClaimBucket m_Bucket;
  /// Content that the update in flight stores.
  ClaimBucket m_BucketInUpdate;
  ObjectVersion m_Version;
  bool m_IsBucketKnown = false;
  bool m_NeedsRead = false;
  bool m_IsBatchDelayDisabled = false;
  std::uint64_t m_ReadsStarted = 0;
  std::uint64_t m_WriteSequence = 0;
  /// Expected version of an update with an unknown outcome that may still be
  /// applied.
  std::optional<ObjectVersion> m_UnresolvedUpdateVersion;
  std::optional<MonotonicTime> m_UpdateDueAt;
  std::optional<MonotonicTime> m_RetryAt;
  Duration m_RetryDelay{0};
  MonotonicTime m_LastUse;

  PendingClaims m_PendingClaims;
  /// Claims in the update in flight.
  std::set<ClaimId> m_ClaimsInUpdate;
  /// Sequence numbers of granted claims without an outcome, by key hash.
  std::map<ClaimHash, std::uint64_t> m_GrantedSequences;
  /// States and outcomes of ended claims that are not stored yet, by key hash.
  std::map<ClaimHash, EndedClaim> m_UnstoredEndedClaims;
  /// Key hashes of refused or cancelled attempts whose record may be stored now
  /// or later, by sequence number. Their requests are never sent, so the
  /// records are released.
  std::map<std::uint64_t, ClaimHash> m_AbandonedClaims;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BATCHER_H
