#include "core/json.h"
#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

absl::StatusOr<Json> parseJson(std::string_view Text, std::string_view What) {
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
