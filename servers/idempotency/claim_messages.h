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

/// Identifies one attempt on this node to claim a key. It is also the sequence
/// number in the claim record of the attempt.
using ClaimId = std::uint64_t;

/// Result of one attempt to claim a key. Unless it is Granted, the request of
/// this attempt is never sent to the service.
enum class ClaimResultKind {
  /// The claim is stored; the request may be sent with the token.
  Granted,
  /// An earlier attempt got a response, which is in the result.
  AlreadyDone,
  /// Another attempt with this key has no outcome yet.
  InProgress,
  /// An earlier attempt may have run, and its outcome is unknown.
  Unknown,
  /// The key was claimed before with another request body.
  KeyReused,
  /// IdempotencyKey::checkAge() refused the key.
  Expired,
  /// The claim could not be stored in time.
  StoreUnavailable,
  /// With this claim, the bucket object could exceed its size limit.
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

/// Attempt to claim a key for one request, with the hashes of the key and of
/// the request body.
struct ClaimRequest {
  ClaimHash m_KeyHash{};
  ClaimHash m_BodyHash{};
  std::string m_Organisation;
};

/// Result of the attempt m_Id to claim a key.
struct ClaimResult {
  ClaimId m_Id = 0;
  ClaimResultKind m_Kind = ClaimResultKind::StoreUnavailable;
  /// Present if m_Kind is AlreadyDone.
  std::optional<ClaimOutcome> m_Outcome;
  /// Present if m_Kind is Granted.
  std::optional<DispatchToken> m_Token;
};

/// Store calls that the driver has to make after an event, and results of
/// attempts. The driver answers each store call with exactly one event; for a
/// call that timed out, the outcome is Unknown.
struct ClaimEffects {
  std::vector<StoreAction> m_Actions;
  std::vector<ClaimResult> m_Results;
};

/// Returns whether the process with the name \p Writer may still be running. A
/// claim of another writer without an outcome gives InProgress if it may, else
/// Unknown; nothing else depends on it.
using WriterLiveness = std::function<bool(const std::string &Writer)>;

/// Returns the error for the caller of an attempt with the result \p Kind, or
/// OK for Granted and AlreadyDone.
absl::Status claimStatus(ClaimResultKind Kind);

struct ClaimSettings {
  /// Time for which claims and outcomes are collected into one update of the
  /// bucket object; 5 to 20 ms.
  Duration m_BatchDelay = std::chrono::milliseconds(10);
  /// Time after which a claim without a decision is refused as
  /// StoreUnavailable.
  Duration m_ClaimTimeout = std::chrono::seconds(2);
  /// Delay before a failed store call is repeated; it doubles with each failure
  /// up to the maximum.
  Duration m_RetryDelay = std::chrono::milliseconds(50);
  Duration m_MaxRetryDelay = std::chrono::seconds(1);
  /// Time after which an unused bucket is removed from memory.
  Duration m_IdleTimeout = std::chrono::seconds(10);
  /// Largest number of undecided claims per bucket. Further ones are refused as
  /// StoreUnavailable.
  std::size_t m_MaxPendingClaims = 2000;
  /// New keys are refused as BucketFull when the bucket object could exceed
  /// this size; the platform refuses values over 1 MB.
  std::size_t m_MaxObjectBytes = std::size_t(900) * 1000;
  /// Size to which response bodies are truncated in the claim record.
  std::size_t m_MaxResponseBytes = 512;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_MESSAGES_H
