#include "cli/plan_tracker.h"

#include "cli/terminal_text.h"

#include "absl/strings/str_join.h"
#include "fmt/format.h"

#include <set>

namespace fulmarwinch {

namespace {

using Names = std::vector<std::string>;

Json statusGroups(const Json &Status) {
  return fieldOr(Status, "groups", Json::array());
}

std::string groupName(const Json &Group) {
  return fieldOr<std::string>(Group, "group", "");
}

std::int64_t groupGeneration(const Json &Group) {
  return fieldOr<std::int64_t>(Group, "generation", 0);
}

bool isServing(const Json &Group) {
  return fieldOr(Group, "serving", false) && !fieldOr(Group, "leaving", false);
}

/// Returns true for a disbanded group, which the status still lists for some
/// time with 0 members.
bool isDisbanded(const Json &Group) {
  return fieldOr<std::int64_t>(Group, "members", 1) == 0;
}

std::set<std::string> unavailableNodes(const Json &Status) {
  std::set<std::string> Unavailable;
  for (const Json &Node : fieldOr(Status, "nodes", Json::array())) {
    const auto State = fieldOr<std::string>(Node, "state", "");
    if (State == "dead" || State == "left")
      Unavailable.insert(fieldOr<std::string>(Node, "node", ""));
  }
  return Unavailable;
}

void countNodes(const Json &Plan, const Json &Status,
                PlanRolloutProgress &Progress) {
  const Json ConfirmProgress = fieldOr(Plan, "progress", Json());
  Progress.m_Revision = fieldOr<std::int64_t>(ConfirmProgress, "revision", 0);
  Progress.m_NodesApplied = fieldOr(ConfirmProgress, "applied", Names()).size();
  const std::set<std::string> Unavailable = unavailableNodes(Status);
  for (const std::string &Node : fieldOr(ConfirmProgress, "notYet", Names()))
    (Unavailable.count(Node) > 0 ? Progress.m_UnavailableNodes
                                 : Progress.m_PendingNodes)
        .push_back(Node);
}

/// Counts the required and the serving groups of each deployment that the plan
/// adds or changes.
void countDeployments(const Json &Plan, const Json &Status,
                      PlanRolloutProgress &Progress) {
  for (const Json &Entry : fieldOr(Plan, "entries", Json::array())) {
    const Json After =
        Json::parse(fieldOr<std::string>(Entry, "after", ""), nullptr, false);
    if (fieldOr<std::string>(After, "kind", "") != "deployment")
      continue;
    const auto Required = fieldOr<std::size_t>(After, "replicas", 0);
    const auto Name = fieldOr<std::string>(After, "name", "");
    std::size_t Serving = 0;
    for (const Json &Group : statusGroups(Status))
      if (fieldOr<std::string>(Group, "deployment", "") == Name &&
          isServing(Group))
        ++Serving;
    Progress.m_GroupsRequired += Required;
    // Surplus groups of one deployment must not offset missing groups of
    // another.
    Progress.m_GroupsServing += std::min(Serving, Required);
  }
}

/// Returns the availability zones that the plan takes out of service.
std::set<std::string> zonesLeavingService(const Json &Plan) {
  std::set<std::string> Zones;
  for (const Json &Entry : fieldOr(Plan, "entries", Json::array())) {
    const Json After =
        Json::parse(fieldOr<std::string>(Entry, "after", ""), nullptr, false);
    if (fieldOr<std::string>(After, "kind", "") == "zone" &&
        !fieldOr(After, "inService", true))
      Zones.insert(fieldOr<std::string>(After, "name", ""));
  }
  return Zones;
}

std::string joinNames(const Names &NameList) {
  return replaceControlBytes(absl::StrJoin(NameList, ", "));
}

} // namespace

PlanTracker::PlanTracker(const Json &Plan, const Json &Status) {
  if (fieldOr(Plan, "accepted", false))
    return;
  const Names AffectedNames = fieldOr(Plan, "groups", Names());
  const std::set<std::string> AffectedGroups(AffectedNames.begin(),
                                             AffectedNames.end());
  for (const Json &Group : statusGroups(Status))
    if (AffectedGroups.count(groupName(Group)) > 0)
      m_GenerationBefore[groupName(Group)] = groupGeneration(Group);
}

PlanRolloutProgress PlanTracker::progress(const Json &Plan,
                                          const Json &Status) const {
  PlanRolloutProgress Progress;
  countNodes(Plan, Status, Progress);
  countDeployments(Plan, Status, Progress);
  const Names AffectedNames = fieldOr(Plan, "groups", Names());
  const std::set<std::string> AffectedGroups(AffectedNames.begin(),
                                             AffectedNames.end());
  const std::set<std::string> ZonesLeavingService = zonesLeavingService(Plan);
  for (const Json &Group : statusGroups(Status)) {
    const std::string Name = groupName(Group);
    // This check does not use the generations before the confirm, so a repeated
    // `confirm --wait` still waits until the availability zone is empty.
    const bool IsInLeavingZone =
        ZonesLeavingService.count(fieldOr<std::string>(Group, "zone", "")) > 0;
    if ((AffectedGroups.count(Name) == 0 && !IsInLeavingZone) ||
        isDisbanded(Group))
      continue;
    const auto OldGeneration = m_GenerationBefore.find(Name);
    const bool IsOldGeneration =
        OldGeneration != m_GenerationBefore.end() &&
        OldGeneration->second == groupGeneration(Group);
    if (IsInLeavingZone || IsOldGeneration || !isServing(Group))
      Progress.m_PendingGroups.push_back(Name);
  }
  return Progress;
}

std::string toText(const PlanRolloutProgress &Progress) {
  std::string Text =
      fmt::format("revision {}: applied by {} of {} nodes", Progress.m_Revision,
                  Progress.m_NodesApplied,
                  Progress.m_NodesApplied + Progress.m_PendingNodes.size() +
                      Progress.m_UnavailableNodes.size());
  if (!Progress.m_PendingNodes.empty())
    Text += fmt::format(", not yet by {}", joinNames(Progress.m_PendingNodes));
  if (!Progress.m_UnavailableNodes.empty())
    Text += fmt::format(", dead: {}", joinNames(Progress.m_UnavailableNodes));
  if (Progress.m_GroupsRequired > 0)
    Text += fmt::format("; {} of {} groups serve", Progress.m_GroupsServing,
                        Progress.m_GroupsRequired);
  if (!Progress.m_PendingGroups.empty())
    Text += fmt::format("; groups in transition: {}",
                        joinNames(Progress.m_PendingGroups));
  return Text;
}

Json toJson(const PlanRolloutProgress &Progress) {
  return {{"revision", Progress.m_Revision},
          {"nodesApplied", Progress.m_NodesApplied},
          {"nodesMissing", Progress.m_PendingNodes},
          {"nodesDead", Progress.m_UnavailableNodes},
          {"groupsServing", Progress.m_GroupsServing},
          {"groupsWanted", Progress.m_GroupsRequired},
          {"groupsMissing", Progress.m_PendingGroups},
          {"done", Progress.isDone()}};
}

} // namespace fulmarwinch
