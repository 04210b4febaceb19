#include "cli/status_changes.h"

#include "cli/printable.h"

#include "fmt/format.h"

#include <set>
#include <utility>

namespace fulmarwinch {

namespace {

using Items = std::map<std::string, std::string>;

/// Text of an item that is either there or not.
constexpr const char *Present = "present";

std::string textOf(const Json &Object, const char *Key) {
  return memberOr<std::string>(Object, Key, "");
}

/// Counters such as running requests are left out, since they change always.
std::string groupText(const Json &Group) {
  std::string Text =
      memberOr(Group, "serving", false)
          ? "serving"
          : fmt::format("not serving ({})", textOf(Group, "reason"));
  if (memberOr(Group, "leaving", false))
    Text += ", leaving";
  return fmt::format("{}, generation {}", Text,
                     memberOr<std::int64_t>(Group, "generation", 0));
}

Items itemsOf(const Json &Status) {
  Items Found;
  Found["configuration"] =
      fmt::format("{} at revision {}", textOf(Status, "configuration"),
                  memberOr<std::int64_t>(Status, "revision", 0));
  for (const Json &Node : memberOr(Status, "nodes", Json::array()))
    Found[fmt::format("node/{}", textOf(Node, "node"))] = textOf(Node, "state");
  Found["ready"] = memberOr(Status, "ready", false) ? "yes" : "no";
  for (const Json &Group : memberOr(Status, "groups", Json::array()))
    Found[fmt::format("group/{}", textOf(Group, "group"))] = groupText(Group);
  for (const Json &Problem : memberOr(Status, "problems", Json::array()))
    if (Problem.is_string())
      Found[fmt::format("problem: {}", Problem.get<std::string>())] = Present;
  return Found;
}

} // namespace

std::vector<StatusChange> StatusChanges::next(const Json &Status) {
  Items Now = itemsOf(Status);
  std::set<std::string> Names;
  for (const Items *Side : {&m_Last, &Now})
    for (const auto &[Name, Text] : *Side)
      Names.insert(Name);
  std::vector<StatusChange> Changes;
  for (const std::string &Name : Names) {
    const auto Old = m_Last.find(Name);
    const auto New = Now.find(Name);
    StatusChange Change{Name, Old == m_Last.end() ? "" : Old->second,
                        New == Now.end() ? "" : New->second};
    if (Change.m_Before != Change.m_After)
      Changes.push_back(std::move(Change));
  }
  m_Last = std::move(Now);
  return Changes;
}

std::string toText(const StatusChange &Change) {
  const std::string Item = printable(Change.m_Item);
  if (Change.m_Before.empty() && Change.m_After == Present)
    return fmt::format("+ {}", Item);
  if (Change.m_Before.empty())
    return fmt::format("+ {}: {}", Item, printable(Change.m_After));
  if (Change.m_After.empty())
    return fmt::format("- {}", Item);
  return fmt::format("~ {}: {} -> {}", Item, printable(Change.m_Before),
                     printable(Change.m_After));
}

Json toJson(const StatusChange &Change) {
  return {{"item", Change.m_Item},
          {"before", Change.m_Before},
          {"after", Change.m_After}};
}

} // namespace fulmarwinch
