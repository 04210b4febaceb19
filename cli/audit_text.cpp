#include "cli/audit_text.h"

#include "cli/text_table.h"

#include "absl/strings/str_join.h"
#include "fmt/chrono.h"
#include "fmt/format.h"

#include <algorithm>
#include <vector>

namespace fulmarwinch {

namespace {

UnixSeconds timeOf(const Json &Record) {
  return memberOr<UnixSeconds>(Record, "when", 0);
}

std::string textOf(const Json &Record, const char *Key) {
  return memberOr<std::string>(Record, Key, "");
}

std::string dumped(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns the keys that differ between two entries. An entry is too long for
/// a table, and `describe` shows the present one.
std::string changedKeys(const Json &Before, const Json &After) {
  std::vector<std::string> Changes;
  for (const auto &[Key, Value] : After.items())
    if (!Before.contains(Key) || Before[Key] != Value)
      Changes.push_back(fmt::format(
          "{}: {} -> {}", Key,
          Before.contains(Key) ? dumped(Before[Key]) : "none", dumped(Value)));
  return absl::StrJoin(Changes, ", ");
}

std::string changeText(const std::string &Before, const std::string &After) {
  const Json Old = Json::parse(Before, nullptr, false);
  const Json New = Json::parse(After, nullptr, false);
  if (Old.is_object() && New.is_object())
    return changedKeys(Old, New);
  if (Old.is_object())
    return "removed";
  return New.is_object() ? "added" : After;
}

} // namespace

std::string timeText(UnixSeconds Time) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(Time)));
}

Json sortedByTime(const Json &Records) {
  auto Rows = Records.get<std::vector<Json>>();
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const Json &Left, const Json &Right) {
                     return timeOf(Left) < timeOf(Right);
                   });
  return Rows;
}

std::string auditTable(const Json &Records) {
  TextTable Table({"TIME", "WHO", "WHAT", "PLAN", "CHANGE"});
  for (const Json &Record : Records)
    Table.add({timeText(timeOf(Record)), textOf(Record, "who"),
               textOf(Record, "what"), textOf(Record, "plan"),
               changeText(textOf(Record, "before"), textOf(Record, "after"))});
  return Table.empty() ? "no records\n" : Table.text();
}

} // namespace fulmarwinch
