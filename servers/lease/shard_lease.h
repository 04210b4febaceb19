#ifndef FULMARWINCH_SERVERS_LEASE_SHARD_LEASE_H
#define FULMARWINCH_SERVERS_LEASE_SHARD_LEASE_H

#include "core/store_messages.h"
#include "core/time.h"
#include "servers/lease/lease_record.h"
#include "servers/lease/lease_settings.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace fulmarwinch {

/// State of the lease of one control shard in one process. At most one store
/// call is in flight. The driver completes every call; if it times out, the
/// outcome is Unknown for writes and Unavailable for reads. A node challenges
/// for the lease by writing itself as the holder after the last holder's lease
/// has expired or was released.
class ShardLease {
public:
  /// \p Writer must be unique per process start.
  ShardLease(const LeaseSettings &Settings, std::string Shard,
             std::string Writer);

  /// Sets the rank of this node for the shard among \p NodeCount live nodes.
  /// Rank 0 is the preferred node.
  void setRank(std::size_t Rank, std::size_t NodeCount);

  /// Must be called when an answer of the store or another node has named \p
  /// Era; answers to the own calls are read by this class. In a new era the
  /// lease is lost and all that was read of it is forgotten.
  void onStoreEra(StoreEra Era, MonotonicTime Now);

  /// Returns the store call that is due at \p Now, with the call ID \p Id, or
  /// nothing.
  std::optional<StoreAction> nextCall(MonotonicTime Now, StoreCallId Id);

  /// Processes the result of the call in flight. Results of other calls are
  /// ignored.
  void onGetCompleted(const GetCompleted &Event, MonotonicTime Now);
  void onWriteCompleted(const WriteCompleted &Event, MonotonicTime Now);

  /// Starts to release the lease, and stops challenging for it.
  void stop();
  /// Releases the lease once; this node may challenge for it again later.
  void releaseForHandover();

  /// True while this process may act as the holder. The lease duration counts
  /// from before the write was sent, by the clock of this process, so that a
  /// process that resumes after a pause finds its lease expired.
  bool isHeld(MonotonicTime Now) const;
  /// True if, after stop(), the lease is released or owned by another node and
  /// no earlier write can still take effect.
  bool isStopped(MonotonicTime Now) const;
  /// True if the last record names this process as the holder, so that the next
  /// call renews the lease instead of challenging for it.
  bool ownsLease() const { return m_OwnsLease; }
  /// Epoch of the last lease that this process held; 0 if none.
  std::uint64_t epoch() const { return m_HeldEpoch; }
  /// End of the lease by this process's clock. Only valid while isHeld().
  MonotonicTime heldUntil() const { return m_HeldUntil; }
  const std::string &shard() const { return m_Shard; }

private:
  enum class Phase { Idle, Reading, Writing };

  Duration pollPeriod() const;
  Duration rankDelay() const;
  /// Time for which the last read record must stay unchanged before this node
  /// may challenge for the lease.
  Duration challengeDelay() const;
  bool mayChallenge(MonotonicTime Now) const;
  /// True if \p Record was written by a holder of the current era. Another one
  /// is from the copy, or was written late under a condition of before.
  bool isOfThisEra(const LeaseRecord &Record) const {
    return Record.m_Epoch >= firstEpochOf(m_Era);
  }
  bool mustRelease() const;
  StoreAction startRead(MonotonicTime Now, StoreCallId Id);
  StoreAction startWrite(MonotonicTime Now, StoreCallId Id, bool Release);
  /// Processes the result of a read.
  void onRecordRead(const std::optional<LeaseRecord> &Record,
                    ObjectVersion Version, MonotonicTime Now);
  /// Updates the lease after the own write \p Sequence took effect.
  void confirmOwnWrite(std::uint64_t Sequence);
  void scheduleNext(MonotonicTime Now, Duration Delay) {
    m_NextCallAt = Now + Delay;
  }

  LeaseSettings m_Settings;
  std::string m_Shard;
  std::string m_Writer;
  std::size_t m_Rank = 0;
  std::size_t m_NodeCount = 1;
  Phase m_Phase = Phase::Idle;
  StoreCallId m_CallId = 0;
  MonotonicTime m_NextCallAt{};
  /// Record and version of the last read or applied write. There is no record
  /// if the object does not exist.
  std::optional<LeaseRecord> m_LastRecord;
  ObjectVersion m_LastVersion;
  bool m_HasRead = false;
  bool m_WasDeleted = false;
  StoreEra m_Era = 0;
  /// Time before which this node does not challenge for a lease that may have
  /// a holder whom the store does not name.
  MonotonicTime m_RestorationOverAt{};
  std::uint64_t m_HighestEpoch = 0;
  MonotonicTime m_UnchangedSince{};
  MonotonicTime m_LastReadAt{};
  LeaseRecord m_SentRecord;
  std::uint64_t m_Sequence = 0;
  /// Send times of writes with unknown outcome, by sequence number. All of them
  /// were conditional on m_LastVersion; a change of the version shows which of
  /// them took effect.
  std::map<std::uint64_t, MonotonicTime> m_UnresolvedWrites;
  bool m_NeedsRead = true;
  bool m_OwnsLease = false;
  std::uint64_t m_HeldEpoch = 0;
  MonotonicTime m_HeldUntil{};
  bool m_IsStopping = false;
  bool m_IsHandingOver = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_SHARD_LEASE_H
