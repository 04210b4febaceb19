#include "servers/groups/assignment_codec.h"
#include "core/error.h"
#include "core/json.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

VmEntry parseVm(const Json &Object) {
  VmEntry Vm;
  Vm.m_Incarnation = fieldOr(Object, "incarnation", std::uint64_t{0});
  Vm.m_Group = fieldOr(Object, "group", std::string());
  // An unknown state is read as Releasing, the most restrictive one: a
  // releasing VM cannot be assigned to a group.
  Vm.m_State = valueOf(VmStateNames, fieldOr(Object, "state", std::string()))
                   .value_or(VmState::Releasing);
  return Vm;
}

GroupEntry parseGroup(const Json &Object) {
  GroupEntry Group;
  Group.m_Deployment = fieldOr(Object, "deployment", std::string());
  Group.m_Model = fieldOr(Object, "model", std::string());
  Group.m_Version = fieldOr(Object, "version", std::string());
  Group.m_Generation = fieldOr(Object, "generation", std::uint64_t{0});
  Group.m_State =
      valueOf(GroupStateNames, fieldOr(Object, "state", std::string()))
          .value_or(GroupState::Broken);
  for (const Json &Member : fieldOr(Object, "members", Json::array()))
    Group.m_Members.push_back(
        {fieldOr(Member, "vm", std::string()),
         fieldOr(Member, "incarnation", std::uint64_t{0})});
  return Group;
}

Json toJson(const GroupEntry &Group) {
  Json Members = Json::array();
  for (const GroupMember &Member : Group.m_Members)
    Members.push_back(
        {{"vm", Member.m_Vm}, {"incarnation", Member.m_Incarnation}});
  return {{"deployment", Group.m_Deployment},
          {"model", Group.m_Model},
          {"version", Group.m_Version},
          {"generation", Group.m_Generation},
          {"state", std::string(nameOf(GroupStateNames, Group.m_State))},
          {"members", std::move(Members)}};
}

} // namespace

absl::StatusOr<Assignment> parseAssignment(std::string_view Text) {
  const absl::StatusOr<Json> Object = parseJson(Text, "assignment object");
  if (!Object.ok())
    return Object.status();
  Assignment Parsed;
  Parsed.m_Domain = fieldOr(*Object, "domain", std::string());
  Parsed.m_Generation = fieldOr(*Object, "generation", std::uint64_t{0});
  Parsed.m_LeaseEpoch = fieldOr(*Object, "epoch", std::uint64_t{0});
  Parsed.m_Writer = fieldOr(*Object, "writer", std::string());
  Parsed.m_WriteSequence = fieldOr(*Object, "sequence", std::uint64_t{0});
  const Json Vms = fieldOr(*Object, "vms", Json::object());
  for (const auto &Item : Vms.items())
    Parsed.m_Vms[Item.key()] = parseVm(Item.value());
  const Json Groups = fieldOr(*Object, "groups", Json::object());
  for (const auto &Item : Groups.items())
    Parsed.m_Groups[Item.key()] = parseGroup(Item.value());
  if (absl::Status Status = validateAssignment(Parsed); !Status.ok())
    return Status;
  return Parsed;
}

std::string serialiseAssignment(const Assignment &Content) {
  Json Vms = Json::object();
  for (const auto &[Name, Vm] : Content.m_Vms)
    Vms[Name] = {{"incarnation", Vm.m_Incarnation},
                 {"state", std::string(nameOf(VmStateNames, Vm.m_State))},
                 {"group", Vm.m_Group}};
  Json Groups = Json::object();
  for (const auto &[Id, Group] : Content.m_Groups)
    Groups[Id] = toJson(Group);
  return Json{{"domain", Content.m_Domain},
              {"generation", Content.m_Generation},
              {"epoch", Content.m_LeaseEpoch},
              {"writer", Content.m_Writer},
              {"sequence", Content.m_WriteSequence},
              {"vms", std::move(Vms)},
              {"groups", std::move(Groups)}}
      .dump();
}

std::string assignmentKey(std::string_view Domain) {
  return fmt::format("assignment/{}", Domain);
}

} // namespace fulmarwinch
