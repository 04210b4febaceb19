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

/// The lease of one control shard as seen by one process. At most one store
/// call is in flight. The driver answers every call, at the latest with
/// Unknown (writes) or Unavailable (reads) after its own timeout.
class ShardLease {
public:
  /// \p Writer must be unique per process start.
  ShardLease(const LeaseSettings &Settings, std::string Shard,
             std::string Writer);

  /// Rank of this node for the shard among \p NodeCount live nodes.
  void setRank(std::size_t Rank, std::size_t NodeCount);

  /// Returns the call that is due at \p Now, numbered \p Id, if any.
  std::optional<StoreAction> nextCall(MonotonicTime Now, StoreCallId Id);

  void onGetCompleted(const GetCompleted &Event, MonotonicTime Now);
  void onPutCompleted(const PutCompleted &Event, MonotonicTime Now);

  /// Gives the lease up and does not challenge again.
  void stop();
  /// Gives the lease up once; the node may challenge again later.
  void handOver();

  /// True while this process may act as the holder. It is counted by its own
  /// clock from before the write was sent, so a paused process that wakes
  /// sees that its lease has ended.
  bool isHeld(MonotonicTime Now) const;
  /// True if a stopped lease is released or no longer ours, and no earlier
  /// write can still take effect.
  bool isStopped(MonotonicTime Now) const;
  /// True if the next call keeps a lease rather than challenging for one.
  bool isOwner() const { return m_Mine; }
  std::uint64_t epoch() const { return m_HeldEpoch; }
  /// End of the lease by this process's clock; meaningful while isHeld().
  MonotonicTime heldUntil() const { return m_HeldUntil; }
  const std::string &shard() const { return m_Shard; }

private:
  enum class Phase { Idle, Reading, Writing };

  Duration pollPeriod() const;
  Duration rankWait() const;
  /// Challenger's wait for the record seen last.
  Duration challengeWait() const;
  bool mayChallenge(MonotonicTime Now) const;
  bool mustRelease() const;
  StoreAction startRead(MonotonicTime Now, StoreCallId Id);
  StoreAction startWrite(MonotonicTime Now, StoreCallId Id, bool Release);
  void observe(const std::optional<LeaseRecord> &Record, ObjectVersion Version,
               MonotonicTime Now);
  void adoptOwnWrite(std::uint64_t Sequence);
  void scheduleNext(MonotonicTime Now, Duration Wait) {
    m_NextCallAt = Now + Wait;
  }

  LeaseSettings m_Settings;
  std::string m_Shard;
  std::string m_Writer;
  std::size_t m_Rank = 0;
  std::size_t m_NodeCount = 1;
  Phase m_Phase = Phase::Idle;
  StoreCallId m_CallId = 0;
  MonotonicTime m_NextCallAt{};
  /// Record and version of the last read or applied write. No record means
  /// that the object does not exist.
  std::optional<LeaseRecord> m_Seen;
  ObjectVersion m_SeenVersion = 0;
  bool m_HasSeen = false;
  bool m_Vanished = false;
  std::uint64_t m_HighestEpoch = 0;
  MonotonicTime m_UnchangedSince{};
  MonotonicTime m_LastReadAt{};
  LeaseRecord m_Sent;
  std::uint64_t m_Sequence = 0;
  /// Send times of writes whose outcome is not known, by sequence. All were
  /// conditional on m_SeenVersion; a change of the version resolves them.
  std::map<std::uint64_t, MonotonicTime> m_Unresolved;
  bool m_MustRead = true;
  bool m_Mine = false;
  std::uint64_t m_HeldEpoch = 0;
  MonotonicTime m_HeldUntil{};
  bool m_Stopping = false;
  bool m_HandingOver = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_SHARD_LEASE_H
