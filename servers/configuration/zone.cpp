#include "servers/configuration/zone.h"

#include "servers/configuration/json_field_reader.h"

namespace fulmarwinch {

absl::StatusOr<Zone> parseZone(const Json &Object, const std::string &Path) {
  JsonFieldReader Fields(Object, Path);
  Zone Parsed;
  Fields.text("kind");
  Parsed.m_Name = Fields.name("name");
  Parsed.m_InService = Fields.flag("inService");
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Parsed;
}

Json toJson(const Zone &Value) {
  return {{"kind", "zone"},
          {"name", Value.m_Name},
          {"inService", Value.m_InService}};
}

} // namespace fulmarwinch
