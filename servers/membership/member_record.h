#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_RECORD_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_RECORD_H

#include "core/enum_names.h"
#include "core/json.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmarwinch {

/// Liveness state of a member. Of two records with equal incarnation, the one
/// with the later state in this order takes precedence.
enum class MemberState { Alive, Suspected, Dead, Left };

inline constexpr std::array<EnumName<MemberState>, 4> MemberStateNames{{
    {MemberState::Alive, "alive"},
    {MemberState::Suspected, "suspected"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
}};

/// Record that one node has of a member.
struct MemberRecord {
  std::string m_NodeId;
  /// Starts at the system time in milliseconds, so that the record of a
  /// restarted node supersedes its record from before the restart. The node
  /// raises it with each refutation.
  std::uint64_t m_Incarnation = 0;
  MemberState m_State = MemberState::Alive;
  std::string m_Zone;
  std::string m_Region;
  /// IP address and port on which the node accepts peer links.
  std::string m_Address;

  /// True if the member is alive or suspected.
  bool isReachable() const {
    return m_State == MemberState::Alive || m_State == MemberState::Suspected;
  }
};

/// True if \p New takes precedence over \p Old: it has a higher incarnation, or
/// the same incarnation and a later state.
bool supersedes(const MemberRecord &New, const MemberRecord &Old);

/// Returns the record as a JSON array for peer messages.
Json encodeMember(const MemberRecord &Record);
/// Returns the record that \p Array encodes, or nothing if it is malformed.
std::optional<MemberRecord> decodeMember(const Json &Array);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_RECORD_H
