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

/// Decides the claims of one bucket object. It has at most one store call in
/// progress, collects claims and outcomes into one conditional update, and
/// decides every claim from content that was certainly stored: a claim is
/// granted only if the stored record carries this writer and the attempt's
/// sequence number. Repeating an update with the same expected version fences
/// the earlier one, because only one of the two can be applied.
class ClaimBatcher {
public:
  ClaimBatcher(std::string BucketKey, std::string Writer,
               const ClaimSettings &Settings, const WriterLiveness &IsAlive,
               std::shared_ptr<DroppedGrants> Dropped = nullptr);

  void claim(ClaimId Id, ClaimRequest Request, MonotonicTime Now,
             ClaimEffects &Effects);

  /// Refuses an attempt whose caller no longer waits.
  void cancel(ClaimId Id, MonotonicTime Now, ClaimEffects &Effects);

  /// Ends a granted claim; kept until it is stored.
  void settle(const ClaimGrant &Grant, ClaimState State, ClaimOutcome Outcome,
              MonotonicTime Now, ClaimEffects &Effects);

  void onGet(const GetCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  void onPut(const PutCompleted &Event, MonotonicTime Now,
             ClaimEffects &Effects);
  void tick(MonotonicTime Now, ClaimEffects &Effects);

  /// Stops collecting: every further update is sent without delay.
  void flush() { m_IsFlushing = true; }

  std::optional<MonotonicTime> nextDeadline() const;
  /// Returns whether nothing would be lost if this object were dropped.
  bool isIdle() const;
  MonotonicTime lastUse() const { return m_LastUse; }

private:
  enum class Call { None, Get, Put };

  struct PendingClaim {
    ClaimRequest m_Request;
    MonotonicTime m_Deadline;
    /// Number of reads started when the claim arrived.
    std::uint64_t m_ReadsBefore = 0;
    /// Whether an update that holds this claim may have been applied.
    bool m_MayBeStored = false;
  };

  struct Settlement {
    std::uint64_t m_Sequence = 0;
    ClaimState m_State = ClaimState::Done;
    ClaimOutcome m_Outcome;
  };

  using PendingClaims = std::map<ClaimId, PendingClaim>;

  void pump(MonotonicTime Now, ClaimEffects &Effects);
  void resolveClaims(ClaimEffects &Effects);
  void resolveSettlements();
  void resolveAbandoned();
  std::optional<ClaimResult> decide(ClaimId Id, PendingClaim &Claim);
  ClaimResult decideByRecord(ClaimId Id, const PendingClaim &Claim,
                             const ClaimRecord &Record);
  ClaimResult decideOwnClaim(ClaimId Id, const PendingClaim &Claim) const;
  bool isOwn(const ClaimRecord &Record) const;
  bool isClaimable(const ClaimRecord &Record) const;
  PendingClaims::iterator drop(PendingClaims::iterator Entry);
  void refuseAll(ClaimEffects &Effects);
  void expire(MonotonicTime Now, ClaimEffects &Effects);
  void startRead(ClaimEffects &Effects);
  void startWrite(ClaimEffects &Effects);
  void addClaims(ClaimBucket &Next, ClaimEffects &Effects);
  void adopt(ObjectVersion Version, ClaimBucket Bucket);
  void pauseAfterFailure(MonotonicTime Now);
  void noteWork(MonotonicTime Now);
  bool hasWork() const;

  std::string m_BucketKey;
  std::string m_Writer;
  const ClaimSettings &m_Settings;
  const WriterLiveness &m_IsAlive;
  const std::shared_ptr<DroppedGrants> m_Dropped;

  Call m_Call = Call::None;
  ClaimBucket m_Bucket;
  ClaimBucket m_Proposed;
  ObjectVersion m_Version = 0;
  bool m_IsBucketKnown = false;
  bool m_NeedsRead = false;
  bool m_IsFlushing = false;
  std::uint64_t m_ReadsStarted = 0;
  std::uint64_t m_WriteSequence = 0;
  /// Expected version of an update that may still be applied.
  std::optional<ObjectVersion> m_DoubtfulVersion;
  std::optional<MonotonicTime> m_BatchDue;
  std::optional<MonotonicTime> m_RetryAt;
  Duration m_RetryPause{0};
  MonotonicTime m_LastUse;

  PendingClaims m_Pending;
  std::set<ClaimId> m_InUpdate;
  /// Granted claims without an outcome.
  std::map<ClaimHash, std::uint64_t> m_Granted;
  std::map<ClaimHash, Settlement> m_Settlements;
  /// Refused attempts whose record may be or become stored. They never run,
  /// so their records are released.
  std::map<std::uint64_t, ClaimHash> m_Abandoned;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BATCHER_H
