#include "cli/plan_text.h"

#include "cli/printable.h"

#include "absl/strings/str_join.h"
#include "fmt/format.h"

#include <set>
#include <vector>

namespace fulmarwinch {

namespace {

/// Names shown in full; a plan may affect thousands of VMs.
constexpr std::size_t MaxNames = 20;

Json parseEntryText(const std::string &Text) {
  Json Entry = Json::parse(Text, nullptr, false);
  return Entry.is_object() ? Entry : Json::object();
}

std::string keyLine(const std::string &Key, const Json &Before,
                    const Json &After) {
  if (Before == After)
    return {};
  const std::string Shown = printable(Key);
  const auto Value = [](const Json &Object) {
    return printable(
        Object.dump(-1, ' ', false, Json::error_handler_t::replace));
  };
  if (Before.is_discarded())
    return fmt::format("    + {}: {}\n", Shown, Value(After));
  if (After.is_discarded())
    return fmt::format("    - {}: {}\n", Shown, Value(Before));
  return fmt::format("    ~ {}: {} -> {}\n", Shown, Value(Before),
                     Value(After));
}

/// Returns one line for each key that differs. Kind and name are part of the
/// entry's own line.
std::string keyLines(const std::string &Before, const std::string &After) {
  const Json Old = parseEntryText(Before);
  const Json New = parseEntryText(After);
  std::set<std::string> Keys;
  for (const Json *Object : {&Old, &New})
    for (const auto &Member : Object->items())
      Keys.insert(Member.key());
  Keys.erase("kind");
  Keys.erase("name");
  const Json Missing(Json::value_t::discarded);
  std::string Text;
  for (const std::string &Key : Keys)
    Text += keyLine(Key, Old.contains(Key) ? Old[Key] : Missing,
                    New.contains(Key) ? New[Key] : Missing);
  return Text;
}

char markOf(const std::string &Before, const std::string &After) {
  if (Before.empty())
    return '+';
  return After.empty() ? '-' : '~';
}

std::string namesLine(const char *Title,
                      const std::vector<std::string> &Names) {
  if (Names.empty())
    return fmt::format("{} none\n", Title);
  const std::size_t Shown = std::min(Names.size(), MaxNames);
  const std::vector<std::string> First(
      Names.begin(), Names.begin() + static_cast<std::ptrdiff_t>(Shown));
  const std::string More =
      Names.size() > Shown ? fmt::format(" and {} more", Names.size() - Shown)
                           : "";
  return fmt::format("{} {} ({}{})\n", Title, Names.size(),
                     printable(absl::StrJoin(First, ", ")), More);
}

/// The node that made the plan may not know how long a group takes to load;
/// then it reports no downtime although groups are affected.
std::string downtimeText(const Json &Plan) {
  const double Seconds = memberOr(Plan, "downtimeSeconds", 0.0);
  if (Seconds > 0)
    return fmt::format("{:.0f} group-seconds", Seconds);
  return memberOr(Plan, "groups", Json::array()).empty() ? "none" : "not known";
}

} // namespace

std::string differenceText(const Json &Plan) {
  std::string Text;
  for (const Json &Entry : memberOr(Plan, "entries", Json::array())) {
    const auto Before = memberOr<std::string>(Entry, "before", "");
    const auto After = memberOr<std::string>(Entry, "after", "");
    Text += fmt::format("{} {}\n", markOf(Before, After),
                        printable(memberOr<std::string>(Entry, "id", "")));
    // The content of a removed entry is of no use to the reader.
    if (!After.empty())
      Text += keyLines(Before, After);
  }
  return Text;
}

std::string planText(const Json &Plan) {
  using Names = std::vector<std::string>;
  std::string Text =
      fmt::format("plan {} of {} at revision {}\n\n",
                  printable(memberOr<std::string>(Plan, "id", "")),
                  printable(memberOr<std::string>(Plan, "operator", "")),
                  memberOr<std::int64_t>(Plan, "baseRevision", 0));
  Text += differenceText(Plan);
  Text += '\n';
  Text +=
      namesLine("affected groups:      ", memberOr(Plan, "groups", Names()));
  Text += namesLine("affected VMs:         ", memberOr(Plan, "vms", Names()));
  Text += fmt::format("running requests:      {}\n",
                      memberOr<std::int64_t>(Plan, "runningRequests", 0));
  Text += fmt::format("expected downtime:     {}\n", downtimeText(Plan));
  Text += fmt::format("stranded accelerators: {}\n",
                      memberOr<std::int64_t>(Plan, "strandedAccelerators", 0));
  for (const std::string &Warning : memberOr(Plan, "warnings", Names()))
    Text += fmt::format("warning: {}\n", printable(Warning));
  return Text;
}

} // namespace fulmarwinch
