#ifndef FULMARWINCH_CORE_JSON_H
#define FULMARWINCH_CORE_JSON_H

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <type_traits>

namespace fulmarwinch {

using Json = nlohmann::json;

/// Parses \p Text. Returns InvalidArgument if it is not valid JSON or is nested
/// too deeply; the message contains \p TextName, a name for the text, and the
/// position of the first syntax error.
absl::StatusOr<Json> parseJson(std::string_view Text,
                               std::string_view TextName);

/// Parses \p Text, of which other programs wrote parts that may not be
/// readable. A number that is out of range, a value that is nested too deeply
/// and a word that JSON does not have become a text that names the problem;
/// unreadable characters of a text become question marks. Returns a discarded
/// value if the structure of \p Text cannot be read.
Json parseJsonLeniently(std::string_view Text);

/// Parses the CBOR bytes from \p Begin to \p End, which another process wrote.
/// Returns a discarded value if they cannot be read.
template <typename IteratorType>
Json parseCbor(IteratorType Begin, IteratorType End) {
  // For a size that no container can have, the library throws an exception even
  // where it is told not to.
  try {
    return Json::from_cbor(Begin, End, /*strict=*/true,
                           /*allow_exceptions=*/false);
  } catch (const Json::exception &) {
    return Json(Json::value_t::discarded);
  }
}

/// Returns the number \p Value as an integer. Returns nothing if it is no
/// number or does not fit.
template <typename IntegerType>
std::optional<IntegerType> toInteger(const Json &Value) {
  using Limits = std::numeric_limits<IntegerType>;
  if (Value.is_number_unsigned()) {
    const auto Number = Value.get<std::uint64_t>();
    return Number <= static_cast<std::uint64_t>(Limits::max())
               ? std::optional<IntegerType>(static_cast<IntegerType>(Number))
               : std::nullopt;
  }
  if (Value.is_number_integer()) {
    const auto Number = Value.get<std::int64_t>();
    const bool Fits =
        Number < 0 ? std::is_signed_v<IntegerType> &&
                         Number >= static_cast<std::int64_t>(Limits::min())
                   : static_cast<std::uint64_t>(Number) <=
                         static_cast<std::uint64_t>(Limits::max());
    return Fits ? std::optional<IntegerType>(static_cast<IntegerType>(Number))
                : std::nullopt;
  }
  if (!Value.is_number_float())
    return std::nullopt;
  // The limits as floating-point numbers may be rounded up, so the upper one is
  // excluded.
  const auto Number = Value.get<double>();
  return Number >= static_cast<double>(Limits::min()) &&
                 Number < static_cast<double>(Limits::max())
             ? std::optional<IntegerType>(static_cast<IntegerType>(Number))
             : std::nullopt;
}

/// Returns an upper limit of the memory that parsing \p Text takes. Short
/// values take many times the size of their text.
std::size_t maxParsedBytes(std::string_view Text);

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
  if constexpr (std::is_integral_v<ValueType> &&
                !std::is_same_v<ValueType, bool>)
    return toInteger<ValueType>(*Member).value_or(Default);
  try {
    return Member->template get<ValueType>();
  } catch (const Json::exception &) {
    return Default;
  }
}

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_JSON_H
