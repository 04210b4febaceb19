#ifndef FULMARWINCH_CORE_JSON_H
#define FULMARWINCH_CORE_JSON_H

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

#include <string_view>

namespace fulmarwinch {

using Json = nlohmann::json;

/// Parses \p Text. The error message names \p What and the position of the
/// first fault. A text that is nested too deeply is refused.
absl::StatusOr<Json> parseJson(std::string_view Text, std::string_view What);

/// Returns the member \p Key of \p Object if it exists and has the type of
/// \p Default, else \p Default.
template <typename ValueType>
ValueType memberOr(const Json &Object, const char *Key, ValueType Default) {
  if (!Object.is_object())
    return Default;
  const auto Member = Object.find(Key);
  if (Member == Object.end())
    return Default;
  try {
    return Member->template get<ValueType>();
  } catch (const Json::exception &) {
    return Default;
  }
}

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_JSON_H
