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

/// Debian builds Abseil with its own string_view, so views are converted.
inline absl::string_view asAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

inline std::string_view toView(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Appends texts and numbers to \p Target.
template <typename... PartTypes>
void append(std::string &Target, const PartTypes &...Parts) {
  const auto Convert = [](const auto &Part) -> decltype(auto) {
    using PartType = std::decay_t<decltype(Part)>;
    if constexpr (std::is_convertible_v<PartType, std::string_view>)
      return asAbsl(Part);
    else
      return (Part);
  };
  absl::StrAppend(&Target, Convert(Parts)...);
}

/// Returns texts and numbers joined.
template <typename... PartTypes> std::string concat(const PartTypes &...Parts) {
  std::string Result;
  append(Result, Parts...);
  return Result;
}

inline bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return absl::EqualsIgnoreCase(asAbsl(Left), asAbsl(Right));
}

inline std::string toLower(std::string_view Text) {
  return absl::AsciiStrToLower(asAbsl(Text));
}

/// Reads a whole number; false if \p Text is something else or too large.
template <typename NumberType>
bool parseNumber(std::string_view Text, NumberType &Target) {
  return absl::SimpleAtoi(asAbsl(Text), &Target);
}

/// Returns the parts of \p Text between \p Separator.
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

/// Removes \p Suffix from the end of \p Text if it is there.
inline void dropSuffix(std::string_view &Text, std::string_view Suffix) {
  if (Text.size() >= Suffix.size() &&
      Text.substr(Text.size() - Suffix.size()) == Suffix)
    Text.remove_suffix(Suffix.size());
}

/// Removes \p Prefix from the start of \p Text; false if it is not there.
inline bool dropPrefix(std::string_view &Text, std::string_view Prefix) {
  if (Text.substr(0, Prefix.size()) != Prefix)
    return false;
  Text.remove_prefix(Prefix.size());
  return true;
}

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_TEXT_H
