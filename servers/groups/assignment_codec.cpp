#include "servers/groups/assignment_codec.h"
#include "core/error.h"
#include "core/json.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

VmEntry parseVm(const Json &Object) {
  VmEntry Vm;
  Vm.m_Incarnation = memberOr(Object, "incarnation", std::uint64_t{0});
  Vm.m_Group = memberOr(Object, "group", std::string());
  // An unknown state is read as the one that allows least.
  Vm.m_State = valueOf(VmStateNames, memberOr(Object, "state", std::string()))
                   .value_or(VmState::Releasing);
  return Vm;
}

GroupEntry parseGroup(const Json &Object) {
  GroupEntry Group;
  Group.m_Deployment = memberOr(Object, "deployment", std::string());
  Group.m_Model = memberOr(Object, "model", std::string());
  Group.m_Version = memberOr(Object, "version", std::string());
  Group.m_Generation = memberOr(Object, "generation", std::uint64_t{0});
  Group.m_State =
      valueOf(GroupStateNames, memberOr(Object, "state", std::string()))
          .value_or(GroupState::Broken);
  for (const Json &Member : memberOr(Object, "members", Json::array()))
    Group.m_Members.push_back(
        {memberOr(Member, "vm", std::string()),
         memberOr(Member, "incarnation", std::uint64_t{0})});
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
  Assignment Value;
  Value.m_Domain = memberOr(*Object, "domain", std::string());
  Value.m_Generation = memberOr(*Object, "generation", std::uint64_t{0});
  Value.m_LeaseEpoch = memberOr(*Object, "epoch", std::uint64_t{0});
  Value.m_Writer = memberOr(*Object, "writer", std::string());
  Value.m_Sequence = memberOr(*Object, "sequence", std::uint64_t{0});
  const Json Vms = memberOr(*Object, "vms", Json::object());
  for (const auto &Item : Vms.items())
    Value.m_Vms[Item.key()] = parseVm(Item.value());
  const Json Groups = memberOr(*Object, "groups", Json::object());
  for (const auto &Item : Groups.items())
    Value.m_Groups[Item.key()] = parseGroup(Item.value());
  if (absl::Status Status = validateAssignment(Value); !Status.ok())
    return Status;
  return Value;
}

std::string serialiseAssignment(const Assignment &Value) {
  Json Vms = Json::object();
  for (const auto &[Name, Vm] : Value.m_Vms)
    Vms[Name] = {{"incarnation", Vm.m_Incarnation},
                 {"state", std::string(nameOf(VmStateNames, Vm.m_State))},
                 {"group", Vm.m_Group}};
  Json Groups = Json::object();
  for (const auto &[Id, Group] : Value.m_Groups)
    Groups[Id] = toJson(Group);
  return Json{
      {"domain", Value.m_Domain},     {"generation", Value.m_Generation},
      {"epoch", Value.m_LeaseEpoch},  {"writer", Value.m_Writer},
      {"sequence", Value.m_Sequence}, {"vms", std::move(Vms)},
      {"groups", std::move(Groups)}}
      .dump();
}

std::string assignmentKey(std::string_view Domain) {
  return fmt::format("assignment/{}", Domain);
}

} // namespace fulmarwinch
