#include "cli/plan_text.h"

#include "cli/terminal_text.h"

#include "absl/strings/str_join.h"
#include "fmt/format.h"

#include <set>
#include <vector>

namespace fulmarwinch {

namespace {

/// Maximum number of names printed per list, since a plan may affect thousands
/// of VMs.
constexpr std::size_t MaxListedNames = 20;

Json parseEntryText(const std::string &Text) {
  Json Entry = Json::parse(Text, nullptr, false);
  return Entry.is_object() ? Entry : Json::object();
}

std::string keyLine(const std::string &Key, const Json &Before,
                    const Json &After) {
  if (Before == After)
    return {};
  const std::string ShownKey = replaceControlBytes(Key);
  const auto Value = [](const Json &Object) {
    return replaceControlBytes(
        Object.dump(-1, ' ', false, Json::error_handler_t::replace));
  };
  if (Before.is_discarded())
    return fmt::format("    + {}: {}\n", ShownKey, Value(After));
  if (After.is_discarded())
    return fmt::format("    - {}: {}\n", ShownKey, Value(Before));
  return fmt::format("    ~ {}: {} -> {}\n", ShownKey, Value(Before),
                     Value(After));
}

/// Returns one line for each key whose value differs. The keys for kind and
/// name are omitted, since the entry's ID in the preceding line contains them.
std::string keyLines(const std::string &Before, const std::string &After) {
  const Json OldEntry = parseEntryText(Before);
  const Json NewEntry = parseEntryText(After);
  std::set<std::string> Keys;
  for (const Json *Object : {&OldEntry, &NewEntry})
    for (const auto &Member : Object->items())
      Keys.insert(Member.key());
  Keys.erase("kind");
  Keys.erase("name");
  const Json Absent(Json::value_t::discarded);
  std::string Text;
  for (const std::string &Key : Keys)
    Text += keyLine(Key, OldEntry.contains(Key) ? OldEntry[Key] : Absent,
                    NewEntry.contains(Key) ? NewEntry[Key] : Absent);
  return Text;
}

char changeMark(const std::string &Before, const std::string &After) {
  if (Before.empty())
    return '+';
  return After.empty() ? '-' : '~';
}

std::string nameListLine(const char *Title,
                         const std::vector<std::string> &Names) {
  if (Names.empty())
    return fmt::format("{} none\n", Title);
  const std::size_t Shown = std::min(Names.size(), MaxListedNames);
  const std::vector<std::string> ShownNames(
      Names.begin(), Names.begin() + static_cast<std::ptrdiff_t>(Shown));
  const std::string More =
      Names.size() > Shown ? fmt::format(" and {} more", Names.size() - Shown)
                           : "";
  return fmt::format("{} {} ({}{})\n", Title, Names.size(),
                     replaceControlBytes(absl::StrJoin(ShownNames, ", ")),
                     More);
}

/// Returns the expected downtime. A node without an estimate of a group's load
/// time reports 0 although groups are affected; this is shown as "not known".
std::string downtimeText(const Json &Plan) {
  const double Seconds = fieldOr(Plan, "downtimeSeconds", 0.0);
  if (Seconds > 0)
    return fmt::format("{:.0f} group-seconds", Seconds);
  return fieldOr(Plan, "groups", Json::array()).empty() ? "none" : "not known";
}

} // namespace

std::string differenceText(const Json &Plan) {
  std::string Text;
  for (const Json &Entry : fieldOr(Plan, "entries", Json::array())) {
    const auto Before = fieldOr<std::string>(Entry, "before", "");
    const auto After = fieldOr<std::string>(Entry, "after", "");
    Text +=
        fmt::format("{} {}\n", changeMark(Before, After),
                    replaceControlBytes(fieldOr<std::string>(Entry, "id", "")));
    // The keys of a removed entry are not printed, since they no longer matter
    // to the operator.
    if (!After.empty())
      Text += keyLines(Before, After);
  }
  return Text;
}

std::string planText(const Json &Plan) {
  using Names = std::vector<std::string>;
  std::string Text = fmt::format(
      "plan {} of {} at revision {}\n\n",
      replaceControlBytes(fieldOr<std::string>(Plan, "id", "")),
      replaceControlBytes(fieldOr<std::string>(Plan, "operator", "")),
      fieldOr<std::int64_t>(Plan, "baseRevision", 0));
  Text += differenceText(Plan);
  Text += '\n';
  Text +=
      nameListLine("affected groups:      ", fieldOr(Plan, "groups", Names()));
  Text += nameListLine("affected VMs:         ", fieldOr(Plan, "vms", Names()));
  Text += fmt::format("running requests:      {}\n",
                      fieldOr<std::int64_t>(Plan, "runningRequests", 0));
  Text += fmt::format("expected downtime:     {}\n", downtimeText(Plan));
  Text += fmt::format("stranded accelerators: {}\n",
                      fieldOr<std::int64_t>(Plan, "strandedAccelerators", 0));
  for (const std::string &Warning : fieldOr(Plan, "warnings", Names()))
    Text += fmt::format("warning: {}\n", replaceControlBytes(Warning));
  return Text;
}

} // namespace fulmarwinch
