#include "servers/configuration/zone.h"

#include "servers/configuration/entry_fields.h"

namespace fulmarwinch {

absl::StatusOr<Zone> parseZone(const Json &Object, const std::string &Path) {
  EntryFields Fields(Object, Path);
  Zone Value;
  Fields.text("kind");
  Value.m_Name = Fields.name("name");
  Value.m_InService = Fields.flag("inService");
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Value;
}

Json toJson(const Zone &Value) {
  return {{"kind", "zone"},
          {"name", Value.m_Name},
          {"inService", Value.m_InService}};
}

} // namespace fulmarwinch
