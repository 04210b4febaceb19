#ifndef FULMARWINCH_CORE_JSON_H
#define FULMARWINCH_CORE_JSON_H

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

#include <string_view>

namespace fulmarwinch {

using Json = nlohmann::json;

/// Parses \p Text. Returns InvalidArgument if it is not valid JSON or is nested
/// too deeply; the message contains \p TextName, a name for the text, and the
/// position of the first syntax error.
absl::StatusOr<Json> parseJson(std::string_view Text,
                               std::string_view TextName);

/// Returns the field \p Key of \p Object, or \p Default if \p Object is no
/// JSON object, has no such field or the field cannot be converted to
/// ValueType.
template <typename ValueType>
ValueType fieldOr(const Json &Object, const char *Key, ValueType Default) {
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
