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

/// Assignment state of a VM within its fabric domain.
enum class VmState {
  /// The VM may be assigned to a group.
  Free,
  /// The VM is a member of the group VmEntry::m_Group.
  Assigned,
  /// The VM was removed from a group or is newly listed. Its engine may still
  /// be running and must be unloaded before the VM becomes free.
  Releasing,
};

inline constexpr std::array<EnumName<VmState>, 3> VmStateNames{{
    {VmState::Free, "free"},
    {VmState::Assigned, "assigned"},
    {VmState::Releasing, "releasing"},
}};

/// Lifecycle state of a replica group.
enum class GroupState {
  /// The members are chosen; the group is queued for loading its weights.
  Forming,
  /// The engines of all members are ordered to load the weights.
  Loading,
  /// All members have reported ready for this group and generation.
  Serving,
  /// The group accepts no new requests; its VMs are released once its in-flight
  /// requests are finished.
  Draining,
  /// At least one member is missing or unusable.
  Broken,
  /// The group has no members any more; its former VMs are being released.
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

/// Assignment of one VM.
struct VmEntry {
  std::uint64_t m_Incarnation = 0;
  VmState m_State = VmState::Releasing;
  /// Group of an assigned VM, or former group of a releasing VM; empty for a
  /// free VM.
  std::string m_Group;
};

/// One VM of a group, identified by name and incarnation.
struct GroupMember {
  std::string m_Vm;
  std::uint64_t m_Incarnation = 0;
};

/// One replica group of a deployment.
struct GroupEntry {
  std::string m_Deployment;
  std::string m_Model;
  std::string m_Version;
  GroupState m_State = GroupState::Forming;
  /// Generation of the assignment at the last change of the members or of a
  /// member's incarnation.
  std::uint64_t m_Generation = 0;
  /// Members in rank order; rank 0 is the head, which receives the requests.
  std::vector<GroupMember> m_Members;
};

/// Assignment of the VMs of one fabric domain to groups; content of the store
/// object `assignment/<domain>`.
struct Assignment {
  std::string m_Domain;
  /// Increases with each write and is the fencing token of engine orders.
  std::uint64_t m_Generation = 0;
  /// Lease epoch under which the object was written.
  std::uint64_t m_LeaseEpoch = 0;
  /// ID of the node process that wrote the object.
  std::string m_Writer;
  /// Number of the write among the writes of m_Writer.
  std::uint64_t m_WriteSequence = 0;
  std::map<std::string, VmEntry> m_Vms;
  std::map<std::string, GroupEntry> m_Groups;
};

bool operator==(const VmEntry &Left, const VmEntry &Right);
bool operator==(const GroupMember &Left, const GroupMember &Right);
bool operator==(const GroupEntry &Left, const GroupEntry &Right);

/// Checks the structural invariants: a VM belongs to at most one group, and the
/// entries of VMs and groups are consistent. Returns an Internal error that
/// describes the first violation.
absl::Status validateAssignment(const Assignment &Content);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_H
