#include "cli/plan_wait.h"

#include "cli/printable.h"

#include "absl/strings/str_join.h"
#include "fmt/format.h"

#include <set>

namespace fulmarwinch {

namespace {

using Names = std::vector<std::string>;

Json groupsOf(const Json &Status) {
  return memberOr(Status, "groups", Json::array());
}

std::string groupName(const Json &Group) {
  return memberOr<std::string>(Group, "group", "");
}

std::int64_t generationOf(const Json &Group) {
  return memberOr<std::int64_t>(Group, "generation", 0);
}

bool serves(const Json &Group) {
  return memberOr(Group, "serving", false) &&
         !memberOr(Group, "leaving", false);
}

/// A disbanded group stays in the status for a while, without members.
bool isDisbanded(const Json &Group) {
  return memberOr<std::int64_t>(Group, "members", 1) == 0;
}

std::set<std::string> deadNodes(const Json &Status) {
  std::set<std::string> Dead;
  for (const Json &Node : memberOr(Status, "nodes", Json::array())) {
    const auto State = memberOr<std::string>(Node, "state", "");
    if (State == "dead" || State == "left")
      Dead.insert(memberOr<std::string>(Node, "node", ""));
  }
  return Dead;
}

void addNodes(const Json &Plan, const Json &Status, PlanWaitState &State) {
  const Json Progress = memberOr(Plan, "progress", Json());
  State.m_Revision = memberOr<std::int64_t>(Progress, "revision", 0);
  State.m_NodesApplied = memberOr(Progress, "applied", Names()).size();
  const std::set<std::string> Dead = deadNodes(Status);
  for (const std::string &Node : memberOr(Progress, "notYet", Names()))
    (Dead.count(Node) > 0 ? State.m_NodesDead : State.m_NodesMissing)
        .push_back(Node);
}

/// Counts the groups of the deployments that the plan adds or changes.
void addDeployments(const Json &Plan, const Json &Status,
                    PlanWaitState &State) {
  for (const Json &Entry : memberOr(Plan, "entries", Json::array())) {
    const Json After =
        Json::parse(memberOr<std::string>(Entry, "after", ""), nullptr, false);
    if (memberOr<std::string>(After, "kind", "") != "deployment")
      continue;
    const auto Wanted = memberOr<std::size_t>(After, "replicas", 0);
    const auto Name = memberOr<std::string>(After, "name", "");
    std::size_t Serving = 0;
    for (const Json &Group : groupsOf(Status))
      if (memberOr<std::string>(Group, "deployment", "") == Name &&
          serves(Group))
        ++Serving;
    State.m_GroupsWanted += Wanted;
    // Surplus groups of one deployment do not make up for another one.
    State.m_GroupsServing += std::min(Serving, Wanted);
  }
}

/// Returns the availability zones that the plan takes out of service.
std::set<std::string> zonesTakenOut(const Json &Plan) {
  std::set<std::string> Zones;
  for (const Json &Entry : memberOr(Plan, "entries", Json::array())) {
    const Json After =
        Json::parse(memberOr<std::string>(Entry, "after", ""), nullptr, false);
    if (memberOr<std::string>(After, "kind", "") == "zone" &&
        !memberOr(After, "inService", true))
      Zones.insert(memberOr<std::string>(After, "name", ""));
  }
  return Zones;
}

std::string listText(const Names &List) {
  return printable(absl::StrJoin(List, ", "));
}

} // namespace

PlanWait::PlanWait(const Json &Plan, const Json &Status) {
  if (memberOr(Plan, "accepted", false))
    return;
  const Names Affected = memberOr(Plan, "groups", Names());
  const std::set<std::string> Wanted(Affected.begin(), Affected.end());
  for (const Json &Group : groupsOf(Status))
    if (Wanted.count(groupName(Group)) > 0)
      m_Before[groupName(Group)] = generationOf(Group);
}

PlanWaitState PlanWait::state(const Json &Plan, const Json &Status) const {
  PlanWaitState State;
  addNodes(Plan, Status, State);
  addDeployments(Plan, Status, State);
  const Names Affected = memberOr(Plan, "groups", Names());
  const std::set<std::string> Wanted(Affected.begin(), Affected.end());
  const std::set<std::string> ZonesOut = zonesTakenOut(Plan);
  for (const Json &Group : groupsOf(Status)) {
    const std::string Name = groupName(Group);
    // This holds without the earlier generations too, so that a wait can be
    // repeated until the availability zone is empty.
    const bool IsLeft =
        ZonesOut.count(memberOr<std::string>(Group, "zone", "")) > 0;
    if ((Wanted.count(Name) == 0 && !IsLeft) || isDisbanded(Group))
      continue;
    const auto Before = m_Before.find(Name);
    const bool IsUnchanged =
        Before != m_Before.end() && Before->second == generationOf(Group);
    if (IsLeft || IsUnchanged || !serves(Group))
      State.m_GroupsMissing.push_back(Name);
  }
  return State;
}

std::string toText(const PlanWaitState &State) {
  std::string Text =
      fmt::format("revision {}: applied by {} of {} nodes", State.m_Revision,
                  State.m_NodesApplied,
                  State.m_NodesApplied + State.m_NodesMissing.size() +
                      State.m_NodesDead.size());
  if (!State.m_NodesMissing.empty())
    Text += fmt::format(", not yet by {}", listText(State.m_NodesMissing));
  if (!State.m_NodesDead.empty())
    Text += fmt::format(", dead: {}", listText(State.m_NodesDead));
  if (State.m_GroupsWanted > 0)
    Text += fmt::format("; {} of {} groups serve", State.m_GroupsServing,
                        State.m_GroupsWanted);
  if (!State.m_GroupsMissing.empty())
    Text += fmt::format("; groups in transition: {}",
                        listText(State.m_GroupsMissing));
  return Text;
}

Json toJson(const PlanWaitState &State) {
  return {{"revision", State.m_Revision},
          {"nodesApplied", State.m_NodesApplied},
          {"nodesMissing", State.m_NodesMissing},
          {"nodesDead", State.m_NodesDead},
          {"groupsServing", State.m_GroupsServing},
          {"groupsWanted", State.m_GroupsWanted},
          {"groupsMissing", State.m_GroupsMissing},
          {"done", State.isDone()}};
}

} // namespace fulmarwinch
