#include "core/json.h"
#include "core/error.h"

#include "absl/strings/ascii.h"
#include "fmt/format.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fulmarwinch {

namespace {

/// Maximum nesting depth. Serialising or destroying a JSON value recurses once
/// per level, so a deeply nested text could exhaust the stack.
constexpr std::size_t MaxDepth = 128;

/// Calls \p OnByte with each byte outside of strings until it returns false.
/// Returns false if it did.
template <typename Function>
bool forEachOutsideStrings(std::string_view Text, Function OnByte) {
  bool IsInString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Byte = Text[Index];
    if (IsInString && Byte == '\\')
      ++Index;
    else if (Byte == '"')
      IsInString = !IsInString;
    else if (!IsInString && !OnByte(Byte))
      return false;
  }
  return true;
}

bool isTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  return !forEachOutsideStrings(Text, [&Depth](char Byte) {
    if (Byte == '[' || Byte == '{')
      return ++Depth <= MaxDepth;
    if ((Byte == ']' || Byte == '}') && Depth > 0)
      --Depth;
    return true;
  });
}

/// Rewrites a JSON text so that it can be parsed whatever single values in it
/// look like. Reads the text once and does not recurse.
class JsonRepair {
public:
  explicit JsonRepair(std::string_view Text) : m_Text(Text) {}

  std::string run() {
    while (m_Position < m_Text.size()) {
      const char Byte = m_Text[m_Position];
      if (Byte == '"')
        copyText();
      else if (Byte == '[' || Byte == '{')
        enter();
      else if (Byte == ']' || Byte == '}')
        leave();
      else if (isScalar(Byte))
        copyScalar();
      else
        write(m_Text.substr(m_Position++, 1));
    }
    return std::move(m_Result);
  }

private:
  static bool isScalar(char Byte) {
    return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
           Byte == '-' || Byte == '+' || Byte == '.';
  }

  void write(std::string_view Bytes) {
    if (m_Depth <= MaxDepth)
      m_Result.append(Bytes);
  }

  void enter() {
    if (m_Depth == MaxDepth)
      write("\"nested too deeply\"");
    ++m_Depth;
    write(m_Text.substr(m_Position++, 1));
  }

  void leave() {
    write(m_Text.substr(m_Position++, 1));
    m_Depth -= m_Depth > 0 ? 1 : 0;
  }

  void copyScalar() {
    const std::size_t Begin = m_Position;
    while (m_Position < m_Text.size() && isScalar(m_Text[m_Position]))
      ++m_Position;
    const std::string_view Word = m_Text.substr(Begin, m_Position - Begin);
    const bool IsReadable =
        !Json::parse(Word, nullptr, /*allow_exceptions=*/false).is_discarded();
    write(IsReadable ? Word : "\"unreadable value\"");
  }

  void copyText() {
    const std::size_t Begin = m_Position++;
    while (m_Position < m_Text.size() && m_Text[m_Position] != '"')
      m_Position += m_Text[m_Position] == '\\' ? 2 : 1;
    m_Position = std::min(m_Position + 1, m_Text.size());
    const std::string_view Text = m_Text.substr(Begin, m_Position - Begin);
    if (!Json::parse(Text, nullptr, /*allow_exceptions=*/false)
             .is_discarded()) {
      write(Text);
      return;
    }
    std::string Readable(Text);
    for (std::size_t I = 1; I + 1 < Readable.size(); ++I)
      if (Readable[I] == '\\' || Readable[I] == '"' ||
          !absl::ascii_isprint(static_cast<unsigned char>(Readable[I])))
        Readable[I] = '?';
    write(Readable);
  }

  std::string_view m_Text;
  std::size_t m_Position = 0;
  std::size_t m_Depth = 0;
  std::string m_Result;
};

} // namespace

Json parseJsonLeniently(std::string_view Text) {
  if (!isTooDeep(Text)) {
    Json Result = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
    if (!Result.is_discarded())
      return Result;
  }
  return Json::parse(JsonRepair(Text).run(), nullptr,
                     /*allow_exceptions=*/false);
}

std::size_t maxParsedBytes(std::string_view Text) {
  // An element of an array takes 16 bytes, three times while the array grows,
  // and 48 for a string or an array. A member of an object takes about as much,
  // and its name 64.
  constexpr std::size_t BytesPerValue = 112;
  std::size_t Values = 1;
  forEachOutsideStrings(Text, [&Values](char Byte) {
    Values += Byte == ',' || Byte == '[' || Byte == '{' ? 1 : 0;
    return true;
  });
  return Values * BytesPerValue + 2 * Text.size();
}

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
