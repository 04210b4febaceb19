#ifndef FULMARWINCH_CORE_ENUM_NAMES_H
#define FULMARWINCH_CORE_ENUM_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fulmarwinch {

/// One row of a table that maps the values of an enumeration to their names in
/// JSON, logs and metrics.
template <typename EnumType> struct EnumName {
  EnumType m_Value;
  std::string_view m_Name;
};

/// Returns the name of \p Value, or "unknown" if the table has no row for it.
template <typename EnumType, std::size_t Count>
constexpr std::string_view
nameOf(const std::array<EnumName<EnumType>, Count> &Table, EnumType Value) {
  for (const EnumName<EnumType> &Row : Table)
    if (Row.m_Value == Value)
      return Row.m_Name;
  return "unknown";
}

/// Returns the value whose name is \p Name, or nothing if the table has no such
/// row.
template <typename EnumType, std::size_t Count>
constexpr std::optional<EnumType>
valueOf(const std::array<EnumName<EnumType>, Count> &Table,
        std::string_view Name) {
  for (const EnumName<EnumType> &Row : Table)
    if (Row.m_Name == Name)
      return Row.m_Value;
  return std::nullopt;
}

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_ENUM_NAMES_H
