#include "cli/entry_text.h"

#include "cli/terminal_text.h"
#include "cli/text_table.h"
#include "servers/configuration/configuration_entry.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

std::string stringMember(const Json &Object, const char *Key) {
  return fieldOr<std::string>(Object, Key, "");
}

std::string displayText(const Json &Value) {
  return replaceControlBytes(
      Value.is_string()
          ? Value.get<std::string>()
          : Value.dump(-1, ' ', false, Json::error_handler_t::replace));
}

/// Returns the keys that operators most often look for as "key=value" texts.
/// The whole entry would be too wide for a table.
std::string summariseContent(const Json &Entry) {
  constexpr const char *SummaryKeys[] = {"model",       "version",   "replicas",
                                         "priority",    "inService", "role",
                                         "vmsPerGroup", "backends"};
  std::string Text;
  for (const char *Key : SummaryKeys)
    if (Entry.contains(Key))
      Text += fmt::format("{}{}={}", Text.empty() ? "" : " ", Key,
                          displayText(Entry[Key]));
  return Text;
}

} // namespace

Json entriesOfKind(const Json &Configuration, const std::string &Kind) {
  Json Entries = Json::array();
  for (const Json &Row : fieldOr(Configuration, "entries", Json::array()))
    if (Kind.empty() ||
        stringMember(fieldOr(Row, "entry", Json()), "kind") == Kind)
      Entries.push_back(Row);
  return Entries;
}

std::string entryTable(const Json &Entries) {
  TextTable Table({"ENTRY", "REVISION", "OPERATOR", "PLAN", "CONTENT"});
  for (const Json &Row : Entries) {
    const Json Entry = fieldOr(Row, "entry", Json::object());
    Table.addRow({fmt::format("{}/{}", stringMember(Entry, "kind"),
                              stringMember(Entry, "name")),
                  fmt::format("{}", fieldOr<std::int64_t>(Row, "revision", 0)),
                  stringMember(Row, "operator"), stringMember(Row, "plan"),
                  summariseContent(Entry)});
  }
  return Table.empty() ? "no entries\n" : Table.render();
}

Json findEntry(const Json &Configuration, const std::string &Kind,
               const std::string &Name) {
  for (const Json &Row : entriesOfKind(Configuration, Kind))
    if (stringMember(Row["entry"], "name") == Name)
      return Row;
  return {};
}

Json findStatusItem(const Json &Status, const std::string &Kind,
                    const std::string &Name) {
  const std::string ArrayName = Kind + "s";
  for (const Json &Item : fieldOr(Status, ArrayName.c_str(), Json::array()))
    if (stringMember(Item, Kind.c_str()) == Name)
      return Item;
  return {};
}

std::string keyValueLines(const Json &Object) {
  std::string Text;
  for (const auto &[Key, Value] : Object.items())
    Text += fmt::format("{:<20} {}\n", replaceControlBytes(Key) + ":",
                        displayText(Value));
  return Text;
}

bool isEntryKind(const std::string &Kind) {
  return valueOf(EntryKindNames, Kind).has_value();
}

bool isStatusKind(const std::string &Kind) {
  return Kind == "group" || Kind == "node";
}

std::optional<std::pair<std::string, std::string>>
splitEntryName(const std::string &Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string::npos || Slash == 0 || Slash + 1 == Text.size())
    return std::nullopt;
  return std::pair(Text.substr(0, Slash), Text.substr(Slash + 1));
}

} // namespace fulmarwinch
