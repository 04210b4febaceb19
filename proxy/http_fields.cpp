#include "proxy/http_fields.h"
#include "core/text.h"

#include <algorithm>
#include <array>
#include <unordered_set>

namespace fulmarwinch {

namespace {

/// Hop-by-hop fields (RFC 9110, section 7.6.1), and Content-Length and Expect,
/// which the proxy sets or handles itself for each connection.
bool isHopByHop(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> HopByHopNames{
      "connection", "keep-alive",        "proxy-connection",
      "te",         "transfer-encoding", "trailer",
      "upgrade",    "content-length",    "expect"};
  return std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                     [&](std::string_view HopByHopName) {
                       return equalsIgnoreCase(HopByHopName, Name);
                     });
}

} // namespace

HttpHeaders endToEndHeaders(const HttpHeaders &Headers) {
  // A client may send thousands of both options and fields.
  std::unordered_set<std::string> ConnectionOptions;
  for (const HttpHeader &Field : Headers)
    if (equalsIgnoreCase(Field.m_Name, "Connection"))
      for (std::string_view Name : split(Field.m_Value, ','))
        ConnectionOptions.insert(
            toLower(toStdView(absl::StripAsciiWhitespace(toAbslView(Name)))));
  HttpHeaders Result;
  for (const HttpHeader &Field : Headers)
    if (ConnectionOptions.count(toLower(Field.m_Name)) == 0 &&
        !isHopByHop(Field.m_Name))
      Result.push_back(Field);
  return Result;
}

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Error";
  }
}

bool expectsContinue(const HttpHeaders &Headers) {
  const std::optional<std::string> Expectation = findHeader(Headers, "Expect");
  return Expectation && equalsIgnoreCase(*Expectation, "100-continue");
}

std::string formatResponseHead(int Status, std::string_view Reason,
                               const HttpHeaders &Headers, bool KeepAlive) {
  std::string Text = concat("HTTP/1.1 ", Status, " ", Reason, "\r\n");
  for (const HttpHeader &Field : Headers)
    append(Text, Field.m_Name, ": ", Field.m_Value, "\r\n");
  if (!KeepAlive)
    append(Text, "Connection: close\r\n");
  return Text;
}

} // namespace fulmarwinch
