#include "cli/status_change_detector.h"

#include "cli/terminal_text.h"

#include "fmt/format.h"

#include <set>
#include <utility>

namespace fulmarwinch {

namespace {

using ItemTexts = std::map<std::string, std::string>;

/// Text shown for an item that has no value of its own, such as a problem.
constexpr const char *PresentText = "present";

std::string stringMember(const Json &Object, const char *Key) {
  return fieldOr<std::string>(Object, Key, "");
}

/// Returns the state of a group. Counters such as running requests are omitted,
/// since they differ in almost every status.
std::string describeGroup(const Json &Group) {
  std::string Text =
      fieldOr(Group, "serving", false)
          ? "serving"
          : fmt::format("not serving ({})", stringMember(Group, "reason"));
  if (fieldOr(Group, "leaving", false))
    Text += ", leaving";
  return fmt::format("{}, generation {}", Text,
                     fieldOr<std::int64_t>(Group, "generation", 0));
}

ItemTexts extractItems(const Json &Status) {
  ItemTexts Found;
  Found["configuration"] =
      fmt::format("{} at revision {}", stringMember(Status, "configuration"),
                  fieldOr<std::int64_t>(Status, "revision", 0));
  for (const Json &Node : fieldOr(Status, "nodes", Json::array()))
    Found[fmt::format("node/{}", stringMember(Node, "node"))] =
        stringMember(Node, "state");
  Found["ready"] = fieldOr(Status, "ready", false) ? "yes" : "no";
  for (const Json &Group : fieldOr(Status, "groups", Json::array()))
    Found[fmt::format("group/{}", stringMember(Group, "group"))] =
        describeGroup(Group);
  for (const Json &Problem : fieldOr(Status, "problems", Json::array()))
    if (Problem.is_string())
      Found[fmt::format("problem: {}", Problem.get<std::string>())] =
          PresentText;
  return Found;
}

} // namespace

std::vector<StatusChange> StatusChangeDetector::update(const Json &Status) {
  ItemTexts Current = extractItems(Status);
  std::set<std::string> Names;
  for (const ItemTexts *ItemMap : {&m_PreviousItems, &Current})
    for (const auto &[Name, Text] : *ItemMap)
      Names.insert(Name);
  std::vector<StatusChange> Changes;
  for (const std::string &Name : Names) {
    const auto Previous = m_PreviousItems.find(Name);
    const auto Next = Current.find(Name);
    StatusChange Change{
        Name, Previous == m_PreviousItems.end() ? "" : Previous->second,
        Next == Current.end() ? "" : Next->second};
    if (Change.m_Before != Change.m_After)
      Changes.push_back(std::move(Change));
  }
  m_PreviousItems = std::move(Current);
  return Changes;
}

std::string toText(const StatusChange &Change) {
  const std::string Item = replaceControlBytes(Change.m_Item);
  if (Change.m_Before.empty() && Change.m_After == PresentText)
    return fmt::format("+ {}", Item);
  if (Change.m_Before.empty())
    return fmt::format("+ {}: {}", Item, replaceControlBytes(Change.m_After));
  if (Change.m_After.empty())
    return fmt::format("- {}", Item);
  return fmt::format("~ {}: {} -> {}", Item,
                     replaceControlBytes(Change.m_Before),
                     replaceControlBytes(Change.m_After));
}

Json toJson(const StatusChange &Change) {
  return {{"item", Change.m_Item},
          {"before", Change.m_Before},
          {"after", Change.m_After}};
}

} // namespace fulmarwinch
