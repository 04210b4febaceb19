#include "servers/configuration/vm_drain.h"

#include "servers/configuration/json_field_reader.h"

namespace fulmarwinch {

absl::StatusOr<VmDrain> parseVmDrain(const Json &Object,
                                     const std::string &Path) {
  JsonFieldReader Fields(Object, Path);
  VmDrain Parsed;
  Fields.text("kind");
  Parsed.m_Vm = Fields.name("name");
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Parsed;
}

Json toJson(const VmDrain &Value) {
  return {{"kind", "vm_drain"}, {"name", Value.m_Vm}};
}

} // namespace fulmarwinch
