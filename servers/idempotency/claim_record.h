#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_RECORD_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_RECORD_H

#include "core/enum_names.h"
#include "servers/idempotency/claim_hash.h"

#include <array>
#include <cstdint>
#include <string>

namespace fulmarwinch {

/// State of one key. Only Claimed can change, and only by its writer;
/// Released can be claimed again.
enum class ClaimState { Claimed, Done, Unknown, Released };

inline constexpr std::array<EnumName<ClaimState>, 4> ClaimStateNames{{
    {ClaimState::Claimed, "C"},
    {ClaimState::Done, "D"},
    {ClaimState::Unknown, "U"},
    {ClaimState::Released, "R"},
}};

/// Response of the service as far as it is kept for resent requests.
struct ClaimOutcome {
  int m_StatusCode = 0;
  /// The response body, or its start if it exceeds the bound.
  std::string m_Body;
  /// Whether m_Body is the whole body.
  bool m_IsBodyComplete = true;
};

/// What the object store knows of one key.
struct ClaimRecord {
  ClaimHash m_Body{};
  std::string m_Organisation;
  /// Node and its incarnation, so that a restarted node never takes a claim
  /// of its former self for its own.
  std::string m_Writer;
  /// Unique among the claims of the writer.
  std::uint64_t m_Sequence = 0;
  ClaimState m_State = ClaimState::Claimed;
  ClaimOutcome m_Outcome;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_RECORD_H
