#include "servers/configuration/operator_account.h"

#include "servers/configuration/json_field_reader.h"
#include "servers/configuration/organisation.h"

namespace fulmarwinch {

absl::StatusOr<Operator> parseOperator(const Json &Object,
                                       const std::string &Path) {
  JsonFieldReader Fields(Object, Path);
  Operator Parsed;
  Fields.text("kind");
  Parsed.m_Name = Fields.name("name");
  Parsed.m_KeySha256 = Fields.text("keySha256");
  // The message omits the value, because it may be a key in plain text.
  if (!isSha256Text(Parsed.m_KeySha256))
    Fields.fail("keySha256", "another text", "64 lower-case hexadecimal digits",
                "store the SHA-256 of the key, not the key");
  const std::string RoleName = Fields.text("role");
  const auto ParsedRole = valueOf(OperatorRoleNames, RoleName);
  if (!ParsedRole)
    Fields.fail("role", jsonForError(RoleName), "viewer, operator or admin",
                "choose one of these roles");
  Parsed.m_Role = ParsedRole.value_or(OperatorRole::Viewer);
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Parsed;
}

Json toJson(const Operator &Value) {
  return {{"kind", "operator"},
          {"name", Value.m_Name},
          {"keySha256", Value.m_KeySha256},
          {"role", std::string(nameOf(OperatorRoleNames, Value.m_Role))}};
}

} // namespace fulmarwinch
