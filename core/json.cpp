#include "core/json.h"
#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

/// Maximum nesting depth. Serialising or destroying a JSON value recurses once
/// per level, so a deeply nested text could exhaust the stack.
constexpr std::size_t MaxDepth = 128;

bool isTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool IsInString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Byte = Text[Index];
    if (IsInString && Byte == '\\')
      ++Index;
    else if (Byte == '"')
      IsInString = !IsInString;
    else if (!IsInString && (Byte == '[' || Byte == '{') && ++Depth > MaxDepth)
      return true;
    else if (!IsInString && (Byte == ']' || Byte == '}') && Depth > 0)
      --Depth;
  }
  return false;
}

} // namespace

absl::StatusOr<Json> parseJson(std::string_view Text,
                               std::string_view TextName) {
  if (isTooDeep(Text))
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("{} is nested more than {} levels deep",
                                 TextName, MaxDepth),
                     "reduce the nesting");
  try {
    return Json::parse(Text);
  } catch (const Json::parse_error &Error) {
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("{} is not valid JSON at byte {}", TextName, Error.byte),
        "correct the JSON text");
  }
}

} // namespace fulmarwinch
