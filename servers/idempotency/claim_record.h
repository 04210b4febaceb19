#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_RECORD_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_RECORD_H

#include "core/enum_names.h"
#include "servers/idempotency/claim_hash.h"

#include <array>
#include <cstdint>
#include <string>

namespace fulmarwinch {

/// State of one key. Only the writer of a claim can end the state Claimed. Done
/// and Unknown are final; a Released key can be claimed again.
enum class ClaimState { Claimed, Done, Unknown, Released };

inline constexpr std::array<EnumName<ClaimState>, 4> ClaimStateNames{{
    {ClaimState::Claimed, "C"},
    {ClaimState::Done, "D"},
    {ClaimState::Unknown, "U"},
    {ClaimState::Released, "R"},
}};

/// Response of the service that is replayed to repeated requests with the same
/// key.
struct ClaimOutcome {
  int m_StatusCode = 0;
  /// The response body, truncated to ClaimSettings::m_MaxResponseBytes.
  std::string m_Body;
  /// Whether m_Body is the whole body.
  bool m_IsBodyComplete = true;
};

/// Claim of one key as stored in a bucket object, with the hash of the request
/// body.
struct ClaimRecord {
  ClaimHash m_BodyHash{};
  std::string m_Organisation;
  /// Node and incarnation that wrote the claim. A restarted node has another
  /// incarnation, so that it never treats an earlier claim as its own.
  std::string m_Writer;
  /// Sequence number, unique among the claims of the writer.
  std::uint64_t m_Sequence = 0;
  ClaimState m_State = ClaimState::Claimed;
  ClaimOutcome m_Outcome;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_RECORD_H
