#include "core/json.h"
#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

/// Writing and destroying a value recurse by its depth, so a deeply nested text
/// would exhaust the stack.
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

absl::StatusOr<Json> parseJson(std::string_view Text, std::string_view What) {
  if (isTooDeep(Text))
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("{} is nested more than {} levels deep", What, MaxDepth),
        "use fewer levels");
  try {
    return Json::parse(Text);
  } catch (const Json::parse_error &Error) {
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("{} is not valid JSON at byte {}", What, Error.byte),
        "correct the text and send it again");
  }
}

} // namespace fulmarwinch
