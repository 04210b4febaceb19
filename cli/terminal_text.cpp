#include "cli/terminal_text.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr unsigned char FirstPrintableByte = 0x20;
constexpr unsigned char DeleteByte = 0x7f;
constexpr unsigned char ContinuationMask = 0xc0;
constexpr unsigned char ContinuationPattern = 0x80;

} // namespace

std::string replaceControlBytes(std::string_view Text) {
  std::string Result(Text);
  std::replace_if(
      Result.begin(), Result.end(),
      [](char Byte) {
        const auto Code = static_cast<unsigned char>(Byte);
        return Code < FirstPrintableByte || Code == DeleteByte;
      },
      '?');
  return Result;
}

std::size_t displayWidth(std::string_view Text) {
  return static_cast<std::size_t>(
      std::count_if(Text.begin(), Text.end(), [](char Byte) {
        return (static_cast<unsigned char>(Byte) & ContinuationMask) !=
               ContinuationPattern;
      }));
}

} // namespace fulmarwinch
