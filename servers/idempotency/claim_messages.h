#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_MESSAGES_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_MESSAGES_H

#include "core/enum_names.h"
#include "core/store_messages.h"
#include "core/time.h"
#include "servers/idempotency/claim_record.h"
#include "servers/idempotency/dispatch_token.h"

#include "absl/status/status.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Names one attempt of one request at this node. It is also the sequence
/// number of the attempt's record.
using ClaimId = std::uint64_t;

/// Answer to one attempt. Every kind but Granted means that this attempt does
/// not run, now or later.
enum class ClaimResultKind {
  Granted,
  AlreadyDone,
  InProgress,
  Unknown,
  KeyReused,
  Expired,
  StoreUnavailable,
  BucketFull,
};

inline constexpr std::array<EnumName<ClaimResultKind>, 8> ClaimResultKindNames{{
    {ClaimResultKind::Granted, "granted"},
    {ClaimResultKind::AlreadyDone, "already_done"},
    {ClaimResultKind::InProgress, "in_progress"},
    {ClaimResultKind::Unknown, "unknown"},
    {ClaimResultKind::KeyReused, "key_reused"},
    {ClaimResultKind::Expired, "expired"},
    {ClaimResultKind::StoreUnavailable, "store_unavailable"},
    {ClaimResultKind::BucketFull, "bucket_full"},
}};

/// One attempt that wants to run.
struct ClaimRequest {
  ClaimHash m_Key{};
  ClaimHash m_Body{};
  std::string m_Organisation;
};

struct ClaimResult {
  ClaimId m_Id = 0;
  ClaimResultKind m_Kind = ClaimResultKind::StoreUnavailable;
  /// Present if m_Kind is AlreadyDone.
  std::optional<ClaimOutcome> m_Outcome;
  /// Present if m_Kind is Granted.
  std::optional<DispatchToken> m_Token;
};

/// What the driver has to do after an event. Each store action has to be
/// answered by exactly one event; a call that timed out is answered Unknown.
struct ClaimEffects {
  std::vector<StoreAction> m_Actions;
  std::vector<ClaimResult> m_Results;
};

/// Tells whether the process behind a writer name may still be running. It
/// only selects between the answers InProgress and Unknown.
using WriterLiveness = std::function<bool(const std::string &Writer)>;

/// Returns the error for a caller whose attempt was answered \p Kind. Granted
/// and AlreadyDone are no errors.
absl::Status claimStatus(ClaimResultKind Kind);

struct ClaimSettings {
  /// Time for which claims and outcomes are collected; 5 to 20 ms.
  Duration m_BatchDelay = std::chrono::milliseconds(10);
  /// A claim that is not decided by then is refused as not run.
  Duration m_ClaimTimeout = std::chrono::seconds(2);
  /// Pause before a store call is repeated; doubles up to the maximum.
  Duration m_RetryPause = std::chrono::milliseconds(50);
  Duration m_MaxRetryPause = std::chrono::seconds(1);
  /// An unused bucket is dropped from memory after this time.
  Duration m_IdleTime = std::chrono::seconds(10);
  /// Bound of waiting claims per bucket.
  std::size_t m_MaxPending = 2000;
  /// New keys are refused when the bucket object could exceed this size; the
  /// platform refuses values over 1 MB.
  std::size_t m_MaxObjectBytes = std::size_t(900) * 1000;
  /// Longer response bodies are cut for the record.
  std::size_t m_MaxOutcomeBytes = 512;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_MESSAGES_H
