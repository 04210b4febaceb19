#include "servers/configuration/replica_messages.h"

#include <utility>

namespace fulmarwinch {

Json toJson(const ConfigurationUpdate &Update) {
  Json Object = {{"changes", Json::array()}};
  for (const ConfigurationChange &Change : Update.m_Changes)
    Object["changes"].push_back(toJson(Change));
  if (!Update.m_Snapshot.empty())
    Object["snapshot"] = Update.m_Snapshot;
  return Object;
}

absl::StatusOr<ConfigurationUpdate> parseUpdate(const Json &Object) {
  ConfigurationUpdate Update;
  Update.m_Snapshot = fieldOr<std::string>(Object, "snapshot", "");
  for (const Json &Element : fieldOr<Json>(Object, "changes", Json())) {
    absl::StatusOr<ConfigurationChange> Change = parseChange(Element);
    if (!Change.ok())
      return Change.status();
    Update.m_Changes.push_back(*std::move(Change));
  }
  return Update;
}

} // namespace fulmarwinch
