#include "servers/configuration/configuration_change.h"

#include "core/error.h"

namespace fulmarwinch {

namespace {

absl::Status damagedChangeError(std::string_view Problem) {
  return makeError(ErrorKind::Internal, Problem,
                   "restore the object from the audit trail or report a fault");
}

} // namespace

Json toJson(const EntryChange &Entry) {
  // The entry is encoded as a string, not as nested JSON, so that a node with
  // an older program version forwards unknown fields byte for byte.
  return {{"id", toText(Entry.m_Id)}, {"text", Entry.m_JsonText}};
}

absl::StatusOr<EntryChange> parseEntryChange(const Json &Object) {
  const auto Id = parseEntryIdText(fieldOr<std::string>(Object, "id", ""));
  if (!Id.ok() || !Object.contains("text"))
    return damagedChangeError(
        "configuration change has an entry without a valid ID or without text");
  return EntryChange{*Id, fieldOr<std::string>(Object, "text", "")};
}

Json toJson(const ConfigurationChange &Change) {
  Json Entries = Json::array();
  for (const EntryChange &Entry : Change.m_Entries)
    Entries.push_back(toJson(Entry));
  return {{"revision", Change.m_Revision},
          {"plan", Change.m_PlanId},
          {"operator", Change.m_Operator},
          {"time", Change.m_ConfirmedAt},
          {"entries", Entries}};
}

absl::StatusOr<ConfigurationChange> parseChange(const Json &Object) {
  ConfigurationChange Change;
  Change.m_Revision = fieldOr<ConfigurationRevision>(Object, "revision", 0);
  Change.m_PlanId = fieldOr<std::string>(Object, "plan", "");
  Change.m_Operator = fieldOr<std::string>(Object, "operator", "");
  Change.m_ConfirmedAt = fieldOr<UnixSeconds>(Object, "time", 0);
  if (Change.m_Revision == 0 || !Object.contains("entries"))
    return damagedChangeError(
        "configuration change has no revision or no list of entries");
  for (const Json &Element : Object["entries"]) {
    absl::StatusOr<EntryChange> Entry = parseEntryChange(Element);
    if (!Entry.ok())
      return Entry.status();
    Change.m_Entries.push_back(*std::move(Entry));
  }
  return Change;
}

} // namespace fulmarwinch
