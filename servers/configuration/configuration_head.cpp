#include "servers/configuration/configuration_head.h"

#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

std::string snapshotKey(ConfigurationRevision Revision) {
  return fmt::format("configuration/snapshot.{}", Revision);
}

std::string encodeHead(const ConfigurationHead &Head) {
  Json Changes = Json::array();
  for (const ConfigurationChange &Change : Head.m_Changes)
    Changes.push_back(toJson(Change));
  const Json Object = {{"revision", Head.m_Revision},
                       {"snapshotRevision", Head.m_SnapshotRevision},
                       {"writer", Head.m_Writer},
                       {"sequence", Head.m_Sequence},
                       {"changes", Changes}};
  return Object.dump();
}

absl::StatusOr<ConfigurationHead> decodeHead(const std::string &Text) {
  const absl::StatusOr<Json> Object = parseJson(Text, ConfigurationHeadKey);
  if (!Object.ok())
    return Object.status();
  ConfigurationHead Head;
  Head.m_Revision = fieldOr<ConfigurationRevision>(*Object, "revision", 0);
  Head.m_SnapshotRevision =
      fieldOr<ConfigurationRevision>(*Object, "snapshotRevision", 0);
  Head.m_Writer = fieldOr<std::string>(*Object, "writer", "");
  Head.m_Sequence = fieldOr<std::uint64_t>(*Object, "sequence", 0);
  ConfigurationRevision ConsecutiveRevision = Head.m_SnapshotRevision;
  for (const Json &Element : fieldOr<Json>(*Object, "changes", Json())) {
    absl::StatusOr<ConfigurationChange> Change = parseChange(Element);
    if (!Change.ok())
      return Change.status();
    if (Change->m_Revision != ++ConsecutiveRevision)
      break;
    Head.m_Changes.push_back(*std::move(Change));
  }
  if (ConsecutiveRevision != Head.m_Revision ||
      Head.m_Changes.size() != Head.m_Revision - Head.m_SnapshotRevision)
    return makeError(
        ErrorKind::Internal,
        fmt::format("{} is at revision {}, but its consecutive changes end at "
                    "revision {}",
                    ConfigurationHeadKey, Head.m_Revision, ConsecutiveRevision),
        "restore the object from the audit trail or report a fault");
  return Head;
}

} // namespace fulmarwinch
