#ifndef FULMARWINCH_DRIVERS_HTTP_HTTP_MESSAGE_H
#define FULMARWINCH_DRIVERS_HTTP_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// A header field of an HTTP message.
struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first field called \p Name, ignoring case; empty if
/// there is none.
std::optional<std::string> findHeader(const HttpHeaders &Headers,
                                      std::string_view Name);

/// A request as the HTTP server received it, with its complete body.
struct HttpRequest {
  std::string m_Method;
  /// Path without the query, still percent-encoded.
  std::string m_Path;
  /// Query without the question mark, still percent-encoded.
  std::string m_Query;
  HttpHeaders m_Headers;
  std::string m_Body;
  std::string m_RemoteAddress;
};

/// Returns the decoded value of the query parameter \p Name: an empty text if
/// it has no value, nothing if it is missing.
std::optional<std::string> queryParameter(const HttpRequest &Request,
                                          std::string_view Name);

/// Returns the value of the query parameter \p Name as a number, or \p Default
/// if the parameter is missing or not a number.
std::uint64_t queryNumber(const HttpRequest &Request, std::string_view Name,
                          std::uint64_t Default);

/// Decodes percent escapes; an invalid escape is copied unchanged.
std::string percentDecode(std::string_view Text);

/// Percent-encodes every byte except letters, digits and "-._~".
std::string percentEncode(std::string_view Text);

/// A response that is sent with its complete body, not as a stream.
struct HttpResponse {
  int m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// Returns a response with the JSON text \p Body and the content type
/// application/json.
HttpResponse jsonResponse(int Status, std::string Body);

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_HTTP_HTTP_MESSAGE_H
