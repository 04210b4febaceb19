#include "cli/audit_text.h"

#include "cli/text_table.h"

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
  TextTable Table({"TIME", "WHO", "WHAT", "PLAN", "BEFORE", "AFTER"});
  for (const Json &Record : Records)
    Table.add({timeText(timeOf(Record)), textOf(Record, "who"),
               textOf(Record, "what"), textOf(Record, "plan"),
               textOf(Record, "before"), textOf(Record, "after")});
  return Table.empty() ? "no records\n" : Table.text();
}

} // namespace fulmarwinch
