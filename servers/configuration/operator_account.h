#ifndef FULMARWINCH_SERVERS_CONFIGURATION_OPERATOR_ACCOUNT_H
#define FULMARWINCH_SERVERS_CONFIGURATION_OPERATOR_ACCOUNT_H

#include "core/enum_names.h"
#include "core/json.h"

#include "absl/status/statusor.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Roles of operators. Each role has all rights of the roles before it.
enum class OperatorRole { Viewer, Operator, Admin };

inline constexpr std::array<EnumName<OperatorRole>, 3> OperatorRoleNames{{
    {OperatorRole::Viewer, "viewer"},
    {OperatorRole::Operator, "operator"},
    {OperatorRole::Admin, "admin"},
}};

/// A person or program that may use the operator endpoints.
struct Operator {
  std::string m_Name;
  /// SHA-256 of the operator's key, 64 lower-case hexadecimal digits.
  std::string m_KeySha256;
  OperatorRole m_Role = OperatorRole::Viewer;
};

/// Parses an entry; error messages start with \p Path.
absl::StatusOr<Operator> parseOperator(const Json &Object,
                                       const std::string &Path);
Json toJson(const Operator &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_OPERATOR_ACCOUNT_H
