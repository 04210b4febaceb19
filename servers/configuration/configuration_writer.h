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

/// An entry that a change touches, with the revision it is based on.
struct TouchedEntry {
  EntryId m_Id;
  ConfigurationRevision m_BaseRevision = 0;
  std::string m_Text;
};

/// A change that is to be accepted if none of its entries has changed since.
struct AcceptRequest {
  std::string m_Plan;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
  /// Revision of the whole configuration when the plan was made.
  ConfigurationRevision m_BaseRevision = 0;
  std::vector<TouchedEntry> m_Entries;
};

struct WriterOptions {
  std::string m_Writer;
  StoreCallId m_FirstCallId = 1;
  /// After this time the writer stops trying and fences its writes.
  Duration m_Deadline = std::chrono::seconds(5);
  /// After this time it stops fencing and reports an unknown outcome.
  Duration m_FenceDeadline = std::chrono::seconds(10);
  Duration m_MinRetryDelay = std::chrono::milliseconds(20);
  Duration m_MaxRetryDelay = std::chrono::seconds(1);
  /// The changes in the head are moved to a snapshot above this size.
  std::size_t m_MaxChangeBytes = 16384;
  /// Largest encoded configuration; the platform refuses more than 1 MB.
  std::size_t m_MaxObjectBytes = 1000000;
};

/// Accepts one change by a conditional update of configuration/head. It has
/// one store call in flight at a time. Every conclusion is final: a conflict
/// or a refusal is reported only if no earlier write can still take effect.
class ConfigurationWriter {
public:
  /// \p Known is a configuration that the node has; it saves reading the
  /// snapshot and may be old.
  ConfigurationWriter(WriterOptions Options, AcceptRequest Request,
                      ConfigurationView::Pointer Known);

  std::vector<StoreAction> start(MonotonicTime Now);
  std::vector<StoreAction> onGet(const GetCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  std::vector<StoreAction> onPut(const PutCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  /// To be called when nextTick() has come.
  std::vector<StoreAction> onTick(MonotonicTime Now);
  const std::string &plan() const { return m_Request.m_Plan; }
  /// Returns the time of the next retry, if one is waiting.
  std::optional<MonotonicTime> nextTick() const { return m_RetryAt; }

  /// Returns the revision by which the change was accepted or the reason why
  /// it was not, once it is known.
  const std::optional<absl::StatusOr<ConfigurationRevision>> &result() const {
    return m_Result;
  }
  /// Returns the accepted change if this writer's own write was answered.
  const std::optional<ConfigurationChange> &accepted() const {
    return m_Accepted;
  }
  /// Returns the newest configuration seen.
  const ConfigurationView::Pointer &view() const { return m_View; }

private:
  enum class Step { ReadHead, ReadSnapshot, WriteSnapshot, WriteHead, Fence };

  std::vector<StoreAction> readHead();
  std::vector<StoreAction> onHead(const GetCompleted &Event, MonotonicTime Now,
                                  std::mt19937_64 &Random);
  std::vector<StoreAction> onSnapshot(const GetCompleted &Event,
                                      MonotonicTime Now,
                                      std::mt19937_64 &Random);
  std::vector<StoreAction> catchUp(MonotonicTime Now, std::mt19937_64 &Random);
  std::vector<StoreAction> decide(MonotonicTime Now, std::mt19937_64 &Random);
  std::vector<StoreAction> giveUp();
  std::vector<StoreAction> writeHead();
  std::vector<StoreAction> retry(MonotonicTime Now, std::mt19937_64 &Random);
  std::vector<StoreAction> finish(absl::StatusOr<ConfigurationRevision> Result);
  std::vector<StoreAction> put(Step Step, const std::string &Key,
                               ObjectVersion Expected, std::string Value);
  absl::Status checkBase() const;
  absl::Status prepareHead();
  bool isAfter(Duration Limit, MonotonicTime Now) const;

  WriterOptions m_Options;
  AcceptRequest m_Request;
  ConfigurationView::Pointer m_View;
  Step m_Step = Step::ReadHead;
  StoreCallId m_CallId;
  MonotonicTime m_StartedAt;
  std::optional<MonotonicTime> m_RetryAt;
  Duration m_RetryDelay;
  ConfigurationHead m_Head;
  ObjectVersion m_HeadVersion = 0;
  /// The head that is to be written.
  ConfigurationHead m_NextHead;
  std::uint64_t m_Sequence = 0;
  /// Whether a write of the head without a known outcome may still apply.
  bool m_MayBeInFlight = false;
  std::optional<ConfigurationChange> m_Accepted;
  std::optional<absl::StatusOr<ConfigurationRevision>> m_Result;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_CONFIGURATION_WRITER_H
