#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_RECORD_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_RECORD_H

#include "core/enum_names.h"
#include "core/json.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace fulmarwinch {

/// The order is the precedence at equal incarnation.
enum class MemberState { Alive, Suspected, Dead, Left };

inline constexpr std::array<EnumName<MemberState>, 4> MemberStateNames{{
    {MemberState::Alive, "alive"},
    {MemberState::Suspected, "suspected"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
}};

/// What one node believes about another one.
struct MemberRecord {
  std::string m_Id;
  /// Starts at the system time in milliseconds, so that a restarted node
  /// supersedes its former self, and grows with each refutation.
  std::uint64_t m_Incarnation = 0;
  MemberState m_State = MemberState::Alive;
  std::string m_Zone;
  std::string m_Region;
  /// IP address and port of the node's peer links.
  std::string m_Address;

  bool isReachable() const {
    return m_State == MemberState::Alive || m_State == MemberState::Suspected;
  }
};

/// Returns whether \p New replaces \p Old.
bool supersedes(const MemberRecord &New, const MemberRecord &Old);

Json encodeMember(const MemberRecord &Record);
std::optional<MemberRecord> decodeMember(const Json &Row);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_MEMBER_RECORD_H
