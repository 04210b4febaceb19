#include "cli/entry_text.h"

#include "cli/printable.h"
#include "cli/text_table.h"
#include "servers/configuration/configuration_entry.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

std::string textOf(const Json &Object, const char *Key) {
  return memberOr<std::string>(Object, Key, "");
}

std::string valueText(const Json &Value) {
  return printable(
      Value.is_string()
          ? Value.get<std::string>()
          : Value.dump(-1, ' ', false, Json::error_handler_t::replace));
}

/// Returns the keys of an entry that are most often asked for.
std::string contentText(const Json &Entry) {
  constexpr const char *Keys[] = {"model",       "version",   "replicas",
                                  "priority",    "inService", "role",
                                  "vmsPerGroup", "backends"};
  std::string Text;
  for (const char *Key : Keys)
    if (Entry.contains(Key))
      Text += fmt::format("{}{}={}", Text.empty() ? "" : " ", Key,
                          valueText(Entry[Key]));
  return Text;
}

} // namespace

Json entriesOfKind(const Json &Configuration, const std::string &Kind) {
  Json Rows = Json::array();
  for (const Json &Row : memberOr(Configuration, "entries", Json::array()))
    if (Kind.empty() || textOf(memberOr(Row, "entry", Json()), "kind") == Kind)
      Rows.push_back(Row);
  return Rows;
}

std::string entryTable(const Json &Rows) {
  TextTable Table({"ENTRY", "REVISION", "OPERATOR", "PLAN", "CONTENT"});
  for (const Json &Row : Rows) {
    const Json Entry = memberOr(Row, "entry", Json::object());
    Table.add(
        {fmt::format("{}/{}", textOf(Entry, "kind"), textOf(Entry, "name")),
         fmt::format("{}", memberOr<std::int64_t>(Row, "revision", 0)),
         textOf(Row, "operator"), textOf(Row, "plan"), contentText(Entry)});
  }
  return Table.empty() ? "no entries\n" : Table.text();
}

Json findEntry(const Json &Configuration, const std::string &Kind,
               const std::string &Name) {
  for (const Json &Row : entriesOfKind(Configuration, Kind))
    if (textOf(Row["entry"], "name") == Name)
      return Row;
  return {};
}

Json findStatusItem(const Json &Status, const std::string &Kind,
                    const std::string &Name) {
  const std::string List = Kind + "s";
  for (const Json &Item : memberOr(Status, List.c_str(), Json::array()))
    if (textOf(Item, Kind.c_str()) == Name)
      return Item;
  return {};
}

std::string objectText(const Json &Object) {
  std::string Text;
  for (const auto &[Key, Value] : Object.items())
    Text += fmt::format("{:<20} {}\n", printable(Key) + ":", valueText(Value));
  return Text;
}

bool isEntryKind(const std::string &Kind) {
  return valueOf(EntryKindNames, Kind).has_value();
}

bool isStatusKind(const std::string &Kind) {
  return Kind == "group" || Kind == "node";
}

std::optional<std::pair<std::string, std::string>>
splitEntry(const std::string &Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string::npos || Slash == 0 || Slash + 1 == Text.size())
    return std::nullopt;
  return std::pair(Text.substr(0, Slash), Text.substr(Slash + 1));
}

} // namespace fulmarwinch
