#include "servers/groups/assignment.h"
#include "core/error.h"

#include "fmt/format.h"

#include <tuple>

namespace fulmarwinch {

namespace {

absl::Status invariantError(const Assignment &Content,
                            const std::string &Violation) {
  return makeError(
      ErrorKind::Internal,
      fmt::format("assignment of {}: {}", Content.m_Domain, Violation),
      "restore the object from the audit trail");
}

absl::Status checkGroup(const Assignment &Content, const std::string &Id,
                        const GroupEntry &Group,
                        std::map<std::string, std::string> &GroupOfVm) {
  if (Group.m_Generation == 0 || Group.m_Generation > Content.m_Generation)
    return invariantError(
        Content, fmt::format("group {} has generation {}, allowed 1 to {}", Id,
                             Group.m_Generation, Content.m_Generation));
  const bool IsDisbanded = Group.m_State == GroupState::Disbanded;
  if (IsDisbanded != Group.m_Members.empty())
    return invariantError(Content,
                          fmt::format("group {} is {} with {} members", Id,
                                      nameOf(GroupStateNames, Group.m_State),
                                      Group.m_Members.size()));
  for (const GroupMember &Member : Group.m_Members) {
    if (!GroupOfVm.emplace(Member.m_Vm, Id).second)
      return invariantError(Content, fmt::format("VM {} is in groups {} and {}",
                                                 Member.m_Vm,
                                                 GroupOfVm[Member.m_Vm], Id));
    const auto Vm = Content.m_Vms.find(Member.m_Vm);
    if (Vm == Content.m_Vms.end() || Vm->second.m_State != VmState::Assigned ||
        Vm->second.m_Group != Id ||
        Vm->second.m_Incarnation != Member.m_Incarnation)
      return invariantError(
          Content, fmt::format("VM entry of member {} does not match group {}",
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

absl::Status validateAssignment(const Assignment &Content) {
  if (Content.m_Domain.empty() || Content.m_Generation == 0)
    return invariantError(Content, "domain name or generation is missing");
  std::map<std::string, std::string> GroupOfVm;
  for (const auto &[Id, Group] : Content.m_Groups)
    if (absl::Status Status = checkGroup(Content, Id, Group, GroupOfVm);
        !Status.ok())
      return Status;
  for (const auto &[Name, Vm] : Content.m_Vms) {
    if (Vm.m_State == VmState::Free && !Vm.m_Group.empty())
      return invariantError(Content,
                            fmt::format("free VM {} refers to a group", Name));
    if (Vm.m_State == VmState::Assigned && GroupOfVm.count(Name) == 0)
      return invariantError(
          Content,
          fmt::format(
              "VM {} is assigned to group {}, but is not a member of it", Name,
              Vm.m_Group));
  }
  return absl::OkStatus();
}

} // namespace fulmarwinch
