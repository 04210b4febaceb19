#ifndef FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_H
#define FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_H

#include "core/enum_names.h"

#include "absl/status/status.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

enum class VmState {
  /// Can be assigned.
  Free,
  /// Member of the group in m_Group.
  Assigned,
  /// Left a group or was listed for the first time; its engine may still run.
  Releasing,
};

inline constexpr std::array<EnumName<VmState>, 3> VmStateNames{{
    {VmState::Free, "free"},
    {VmState::Assigned, "assigned"},
    {VmState::Releasing, "releasing"},
}};

enum class GroupState {
  /// Members are chosen; the group waits for its turn to load.
  Forming,
  /// Engines are ordered to load.
  Loading,
  /// All members reported ready.
  Serving,
  /// Finishes its work before its VMs are released.
  Draining,
  /// A member is missing.
  Broken,
  /// Has no members; its VMs are being released.
  Disbanded,
};

inline constexpr std::array<EnumName<GroupState>, 6> GroupStateNames{{
    {GroupState::Forming, "forming"},
    {GroupState::Loading, "loading"},
    {GroupState::Serving, "serving"},
    {GroupState::Draining, "draining"},
    {GroupState::Broken, "broken"},
    {GroupState::Disbanded, "disbanded"},
}};

struct VmEntry {
  std::uint64_t m_Incarnation = 0;
  VmState m_State = VmState::Releasing;
  /// Current group, or for a releasing VM the group that it left.
  std::string m_Group;
};

struct GroupMember {
  std::string m_Vm;
  std::uint64_t m_Incarnation = 0;
};

struct GroupEntry {
  std::string m_Deployment;
  std::string m_Model;
  std::string m_Version;
  GroupState m_State = GroupState::Forming;
  /// Generation of the assignment at the last change of members.
  std::uint64_t m_Generation = 0;
  /// In rank order; the first one is the head.
  std::vector<GroupMember> m_Members;
};

/// Content of the object `assignment/<domain>`.
struct Assignment {
  std::string m_Domain;
  /// Grows with each update; the fencing token of orders.
  std::uint64_t m_Generation = 0;
  std::uint64_t m_LeaseEpoch = 0;
  std::string m_Writer;
  std::uint64_t m_Sequence = 0;
  std::map<std::string, VmEntry> m_Vms;
  std::map<std::string, GroupEntry> m_Groups;
};

bool operator==(const VmEntry &Left, const VmEntry &Right);
bool operator==(const GroupMember &Left, const GroupMember &Right);
bool operator==(const GroupEntry &Left, const GroupEntry &Right);

/// Checks the structural invariants: a VM belongs to at most one group, and
/// the entries of VMs and groups agree.
absl::Status validateAssignment(const Assignment &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_H
