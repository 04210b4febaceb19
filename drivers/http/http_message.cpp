#include "drivers/http/http_message.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <cctype>
#include <cstdint>

namespace fulmarwinch {

namespace {

int hexDigitValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  const int Lower = std::tolower(static_cast<unsigned char>(Digit));
  if (Lower >= 'a' && Lower <= 'f')
    return Lower - 'a' + 10;
  return -1;
}

bool isUnreserved(char Byte) {
  return std::isalnum(static_cast<unsigned char>(Byte)) != 0 ||
         std::string_view("-._~").find(Byte) != std::string_view::npos;
}

} // namespace

std::optional<std::string> findHeader(const HttpHeaders &Headers,
                                      std::string_view Name) {
  const std::string SearchedName(Name);
  for (const HttpHeader &Header : Headers)
    if (absl::EqualsIgnoreCase(Header.m_Name, SearchedName))
      return Header.m_Value;
  return std::nullopt;
}

std::optional<std::string> queryParameter(const HttpRequest &Request,
                                          std::string_view Name) {
  std::string_view Remaining = Request.m_Query;
  while (!Remaining.empty()) {
    const std::size_t PairEnd = Remaining.find('&');
    const std::string_view Parameter = Remaining.substr(0, PairEnd);
    const std::size_t EqualsPosition = Parameter.find('=');
    if (percentDecode(Parameter.substr(0, EqualsPosition)) == Name)
      return EqualsPosition == std::string_view::npos
                 ? std::string()
                 : percentDecode(Parameter.substr(EqualsPosition + 1));
    if (PairEnd == std::string_view::npos)
      break;
    Remaining.remove_prefix(PairEnd + 1);
  }
  return std::nullopt;
}

std::uint64_t queryNumber(const HttpRequest &Request, std::string_view Name,
                          std::uint64_t Default) {
  const std::optional<std::string> Text = queryParameter(Request, Name);
  std::uint64_t Number = 0;
  if (!Text || !absl::SimpleAtoi(*Text, &Number))
    return Default;
  return Number;
}

std::string percentDecode(std::string_view Text) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const bool IsEscape = Text[Index] == '%' && Index + 2 < Text.size() &&
                          hexDigitValue(Text[Index + 1]) >= 0 &&
                          hexDigitValue(Text[Index + 2]) >= 0;
    if (!IsEscape) {
      Decoded += Text[Index];
      continue;
    }
    Decoded += static_cast<char>(hexDigitValue(Text[Index + 1]) * 16 +
                                 hexDigitValue(Text[Index + 2]));
    Index += 2;
  }
  return Decoded;
}

std::string percentEncode(std::string_view Text) {
  std::string Encoded;
  Encoded.reserve(Text.size());
  for (const char Byte : Text) {
    if (isUnreserved(Byte))
      Encoded += Byte;
    else
      Encoded += fmt::format("%{:02X}", static_cast<unsigned char>(Byte));
  }
  return Encoded;
}

HttpResponse jsonResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace fulmarwinch
