#ifndef FULMARWINCH_CORE_TEXT_H
#define FULMARWINCH_CORE_TEXT_H

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace fulmarwinch {

/// Converts to Abseil's string_view, which differs from std::string_view in
/// Debian's build of Abseil.
inline absl::string_view toAbslView(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Converts from Abseil's string_view.
inline std::string_view toStdView(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Appends \p Parts, which may be texts or numbers, to \p Target.
template <typename... PartTypes>
void append(std::string &Target, const PartTypes &...Parts) {
  const auto Convert = [](const auto &Part) -> decltype(auto) {
    using PartType = std::decay_t<decltype(Part)>;
    if constexpr (std::is_convertible_v<PartType, std::string_view>)
      return toAbslView(Part);
    else
      return (Part);
  };
  absl::StrAppend(&Target, Convert(Parts)...);
}

/// Returns the concatenation of \p Parts, which may be texts or numbers.
template <typename... PartTypes> std::string concat(const PartTypes &...Parts) {
  std::string Result;
  append(Result, Parts...);
  return Result;
}

inline bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return absl::EqualsIgnoreCase(toAbslView(Left), toAbslView(Right));
}

inline std::string toLower(std::string_view Text) {
  return absl::AsciiStrToLower(toAbslView(Text));
}

/// Parses an integer into \p Target. Returns false if \p Text is not an integer
/// or is out of range; \p Target is then unspecified.
template <typename NumberType>
bool parseNumber(std::string_view Text, NumberType &Target) {
  return absl::SimpleAtoi(toAbslView(Text), &Target);
}

/// Splits \p Text at each \p Separator. Empty parts are included, so the result
/// has at least one element.
inline std::vector<std::string_view> split(std::string_view Text,
                                           char Separator) {
  std::vector<std::string_view> Parts;
  std::size_t Begin = 0;
  for (std::size_t End = Text.find(Separator); End != std::string_view::npos;
       End = Text.find(Separator, Begin)) {
    Parts.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  Parts.push_back(Text.substr(Begin));
  return Parts;
}

/// Removes \p Suffix from \p Text if \p Text ends with it.
inline void removeSuffix(std::string_view &Text, std::string_view Suffix) {
  if (Text.size() >= Suffix.size() &&
      Text.substr(Text.size() - Suffix.size()) == Suffix)
    Text.remove_suffix(Suffix.size());
}

/// Removes \p Prefix from \p Text. Returns false if \p Text does not start with
/// it.
inline bool removePrefix(std::string_view &Text, std::string_view Prefix) {
  if (Text.substr(0, Prefix.size()) != Prefix)
    return false;
  Text.remove_prefix(Prefix.size());
  return true;
}

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_TEXT_H
