#include "servers/groups/assignment.h"
#include "core/error.h"

#include "fmt/format.h"

#include <tuple>

namespace fulmarwinch {

namespace {

absl::Status fault(const Assignment &Value, const std::string &Problem) {
  return makeError(ErrorKind::Internal,
                   fmt::format("assignment of {}: {}", Value.m_Domain, Problem),
                   "restore the object from the audit trail");
}

absl::Status checkGroup(const Assignment &Value, const std::string &Id,
                        const GroupEntry &Group,
                        std::map<std::string, std::string> &Owners) {
  if (Group.m_Generation == 0 || Group.m_Generation > Value.m_Generation)
    return fault(Value, fmt::format("group {} has generation {} beyond {}", Id,
                                    Group.m_Generation, Value.m_Generation));
  const bool Disbanded = Group.m_State == GroupState::Disbanded;
  if (Disbanded != Group.m_Members.empty())
    return fault(Value, fmt::format("group {} is {} with {} members", Id,
                                    nameOf(GroupStateNames, Group.m_State),
                                    Group.m_Members.size()));
  for (const GroupMember &Member : Group.m_Members) {
    if (!Owners.emplace(Member.m_Vm, Id).second)
      return fault(Value, fmt::format("VM {} is in groups {} and {}",
                                      Member.m_Vm, Owners[Member.m_Vm], Id));
    const auto Vm = Value.m_Vms.find(Member.m_Vm);
    if (Vm == Value.m_Vms.end() || Vm->second.m_State != VmState::Assigned ||
        Vm->second.m_Group != Id ||
        Vm->second.m_Incarnation != Member.m_Incarnation)
      return fault(Value, fmt::format("member {} of group {} has another entry",
                                      Member.m_Vm, Id));
  }
  return absl::OkStatus();
}

} // namespace

bool operator==(const VmEntry &Left, const VmEntry &Right) {
  return std::tie(Left.m_Incarnation, Left.m_State, Left.m_Group) ==
         std::tie(Right.m_Incarnation, Right.m_State, Right.m_Group);
}

bool operator==(const GroupMember &Left, const GroupMember &Right) {
  return std::tie(Left.m_Vm, Left.m_Incarnation) ==
         std::tie(Right.m_Vm, Right.m_Incarnation);
}

bool operator==(const GroupEntry &Left, const GroupEntry &Right) {
  return std::tie(Left.m_Deployment, Left.m_Model, Left.m_Version, Left.m_State,
                  Left.m_Generation, Left.m_Members) ==
         std::tie(Right.m_Deployment, Right.m_Model, Right.m_Version,
                  Right.m_State, Right.m_Generation, Right.m_Members);
}

absl::Status validateAssignment(const Assignment &Value) {
  if (Value.m_Domain.empty() || Value.m_Generation == 0)
    return fault(Value, "domain or generation is missing");
  std::map<std::string, std::string> Owners;
  for (const auto &[Id, Group] : Value.m_Groups)
    if (absl::Status Status = checkGroup(Value, Id, Group, Owners);
        !Status.ok())
      return Status;
  for (const auto &[Name, Vm] : Value.m_Vms) {
    if (Vm.m_State == VmState::Free && !Vm.m_Group.empty())
      return fault(Value, fmt::format("free VM {} names a group", Name));
    if (Vm.m_State == VmState::Assigned && Owners.count(Name) == 0)
      return fault(Value, fmt::format("VM {} names group {} that lacks it",
                                      Name, Vm.m_Group));
  }
  return absl::OkStatus();
}

} // namespace fulmarwinch
