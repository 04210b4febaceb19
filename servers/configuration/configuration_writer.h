#ifndef FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_WRITER_H
#define FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_WRITER_H

#include "core/store_messages.h"
#include "core/time.h"
#include "servers/configuration/configuration_head.h"
#include "servers/configuration/configuration_view.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

/// New text of one entry in a proposed change.
struct ProposedEntry {
  EntryId m_Id;
  /// Revision that had last changed the entry when the plan was made.
  ConfigurationRevision m_BaseRevision = 0;
  /// New JSON text of the entry; an empty text removes it.
  std::string m_JsonText;
};

/// Change of a confirmed plan that is proposed for acceptance. It is accepted
/// only if none of its entries has changed since the plan was made.
struct ProposedChange {
  /// ID of the plan.
  std::string m_PlanId;
  std::string m_Operator;
  UnixSeconds m_ConfirmedAt = 0;
  /// Revision of the whole configuration when the plan was made.
  ConfigurationRevision m_BaseRevision = 0;
  std::vector<ProposedEntry> m_Entries;
};

struct ConfigurationWriterOptions {
  /// Name that identifies this writer in the head.
  std::string m_Writer;
  /// Store call ID that was used last; the writer uses the IDs after it.
  StoreCallId m_LastUsedCallId = 1;
  /// Time after which the writer stops trying to get the change accepted and
  /// fences a write that may still take effect.
  Duration m_AcceptTimeout = std::chrono::seconds(5);
  /// Time after which the writer stops fencing and reports an unknown outcome.
  Duration m_FenceTimeout = std::chrono::seconds(10);
  Duration m_MinRetryDelay = std::chrono::milliseconds(20);
  Duration m_MaxRetryDelay = std::chrono::seconds(1);
  /// Size of the encoded head in bytes above which its changes are compacted
  /// into a snapshot.
  std::size_t m_MaxHeadBytes = 16384;
  /// Maximum size of an encoded head or snapshot in bytes; the platform refuses
  /// objects over 1 MB.
  std::size_t m_MaxObjectBytes = 1000000;
};

/// Gets one change accepted by a conditional update of configuration/head, with
/// at most one store call in flight. The result is final: a conflict or refusal
/// is reported only when no earlier write of this writer can still take effect.
class ConfigurationWriter {
public:
  /// \p Known is a configuration that the node already has, or null. If it is
  /// recent enough, the writer does not read the snapshot.
  ConfigurationWriter(ConfigurationWriterOptions Options,
                      ProposedChange Proposal,
                      ConfigurationView::Pointer Known);

  /// Returns the first store call. The timeouts count from \p Now.
  std::vector<StoreAction> start(MonotonicTime Now);
  /// Handle the answer to a store call and return the next call, or none while
  /// a retry is waiting or the result is known.
  std::vector<StoreAction> onGet(const GetCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  std::vector<StoreAction> onPut(const WriteCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  /// Starts the retry that is due. The caller has to call it at
  /// nextRetryTime().
  std::vector<StoreAction> onTick(MonotonicTime Now);
  /// Returns the ID of the plan.
  const std::string &planId() const { return m_Proposal.m_PlanId; }
  /// Returns the time of the next retry, or nothing if none is waiting.
  std::optional<MonotonicTime> nextRetryTime() const { return m_RetryAt; }

  /// Returns the revision at which the change was accepted, or an error if it
  /// was not accepted or the outcome is unknown. Unset until the writer is
  /// finished.
  const std::optional<absl::StatusOr<ConfigurationRevision>> &result() const {
    return m_Result;
  }
  /// Returns the accepted change if the store confirmed this writer's write.
  /// Unset if only a later read showed that the plan had been accepted.
  const std::optional<ConfigurationChange> &acceptedChange() const {
    return m_AcceptedChange;
  }
  /// Returns the newest configuration that the writer has read or was given.
  const ConfigurationView::Pointer &view() const { return m_View; }

private:
  enum class Step { ReadHead, ReadSnapshot, WriteSnapshot, WriteHead, Fence };

  std::vector<StoreAction> readHead();
  std::vector<StoreAction> onHead(const GetCompleted &Event, MonotonicTime Now,
                                  std::mt19937_64 &Random);
  std::vector<StoreAction> onSnapshot(const GetCompleted &Event,
                                      MonotonicTime Now,
                                      std::mt19937_64 &Random);
  std::vector<StoreAction> applyMissingChanges(MonotonicTime Now,
                                               std::mt19937_64 &Random);
  std::vector<StoreAction> checkAndWriteHead(MonotonicTime Now,
                                             std::mt19937_64 &Random);
  std::vector<StoreAction> refuseOrFence();
  std::vector<StoreAction> writeHead();
  std::vector<StoreAction> scheduleRetry(MonotonicTime Now,
                                         std::mt19937_64 &Random);
  std::vector<StoreAction> finish(absl::StatusOr<ConfigurationRevision> Result);
  std::vector<StoreAction> put(Step Step, const std::string &Key,
                               ObjectVersion Expected, std::string Value);
  absl::Status checkForConflict() const;
  absl::Status prepareNextHead();
  bool hasElapsed(Duration Timeout, MonotonicTime Now) const;

  ConfigurationWriterOptions m_Options;
  ProposedChange m_Proposal;
  ConfigurationView::Pointer m_View;
  Step m_Step = Step::ReadHead;
  StoreCallId m_CallId;
  MonotonicTime m_StartedAt;
  std::optional<MonotonicTime> m_RetryAt;
  Duration m_RetryDelay;
  ConfigurationHead m_Head;
  ObjectVersion m_HeadVersion;
  /// Head with the change, to be written over m_HeadVersion.
  ConfigurationHead m_NextHead;
  std::uint64_t m_Sequence = 0;
  /// Whether a write of the head with an unknown outcome may still take effect.
  bool m_MayHaveLateWrite = false;
  std::optional<ConfigurationChange> m_AcceptedChange;
  std::optional<absl::StatusOr<ConfigurationRevision>> m_Result;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_WRITER_H
