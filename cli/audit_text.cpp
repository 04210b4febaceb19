#include "cli/audit_text.h"

#include "cli/text_table.h"

#include "absl/strings/str_join.h"
#include "fmt/chrono.h"
#include "fmt/format.h"

#include <algorithm>
#include <vector>

namespace fulmarwinch {

namespace {

UnixSeconds recordTime(const Json &Record) {
  return fieldOr<UnixSeconds>(Record, "when", 0);
}

std::string stringMember(const Json &Record, const char *Key) {
  return fieldOr<std::string>(Record, Key, "");
}

std::string compactJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns each key that was added or changed as "key: before -> after". The
/// whole entry would be too long for a table cell; the command `describe`
/// prints its current content.
std::string changedKeysText(const Json &Before, const Json &After) {
  std::vector<std::string> Changes;
  for (const auto &[Key, Value] : After.items())
    if (!Before.contains(Key) || Before[Key] != Value)
      Changes.push_back(
          fmt::format("{}: {} -> {}", Key,
                      Before.contains(Key) ? compactJson(Before[Key]) : "none",
                      compactJson(Value)));
  return absl::StrJoin(Changes, ", ");
}

std::string changeText(const std::string &Before, const std::string &After) {
  const Json OldEntry = Json::parse(Before, nullptr, false);
  const Json NewEntry = Json::parse(After, nullptr, false);
  if (OldEntry.is_object() && NewEntry.is_object())
    return changedKeysText(OldEntry, NewEntry);
  if (OldEntry.is_object())
    return "removed";
  return NewEntry.is_object() ? "added" : After;
}

} // namespace

std::string formatUtcTime(UnixSeconds Time) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(Time)));
}

Json sortedByTime(const Json &Records) {
  auto Sorted = Records.get<std::vector<Json>>();
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const Json &Left, const Json &Right) {
                     return recordTime(Left) < recordTime(Right);
                   });
  return Sorted;
}

std::string auditTable(const Json &Records) {
  TextTable Table({"TIME", "WHO", "WHAT", "PLAN", "CHANGE"});
  for (const Json &Record : Records)
    Table.addRow({formatUtcTime(recordTime(Record)),
                  stringMember(Record, "who"), stringMember(Record, "what"),
                  stringMember(Record, "plan"),
                  changeText(stringMember(Record, "before"),
                             stringMember(Record, "after"))});
  return Table.empty() ? "no records\n" : Table.render();
}

} // namespace fulmarwinch
