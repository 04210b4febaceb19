#include "proxy/http_stream_parser.h"
#include "drivers/http/status_code.h"

#include "absl/strings/ascii.h"
#include "http_parser.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Return value of the library's on_headers_complete callback for a message
/// without a body.
constexpr int SkipBody = 1;
constexpr int FirstFinalStatus = 200;

/// Returns true if \p Text is a valid field name (RFC 9110, section 5.6.2:
/// token). The library accepts some characters that a field name must not
/// contain.
bool isToken(std::string_view Text) {
  constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~";
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [&](unsigned char Byte) {
           return absl::ascii_isalnum(Byte) ||
                  TokenPunctuation.find(static_cast<char>(Byte)) !=
                      std::string_view::npos;
         });
}

} // namespace

struct HttpStreamParser::Impl {
  Impl(Direction MessageDirection, std::size_t MaxHeaderBytes,
       HttpMessageHandler &Handler)
      : m_Direction(MessageDirection), m_MaxHeaderBytes(MaxHeaderBytes),
        m_Handler(Handler) {
    http_parser_settings_init(&m_Settings);
    m_Settings.on_url = &onUrl;
    m_Settings.on_status = &onStatus;
    m_Settings.on_header_field = &onHeaderField;
    m_Settings.on_header_value = &onHeaderValue;
    m_Settings.on_headers_complete = &onHeadersComplete;
    m_Settings.on_body = &onBody;
    m_Settings.on_message_complete = &onMessageComplete;
    startMessage();
  }

  void startMessage() {
    http_parser_init(&m_Parser, m_Direction == Direction::Requests
                                    ? HTTP_REQUEST
                                    : HTTP_RESPONSE);
    m_Parser.data = this;
    m_Head = HttpMessageHead();
    m_LastWasValue = false;
    m_HasHead = false;
    m_IsComplete = false;
    m_HasBegun = false;
    m_HeaderBytes = 0;
    m_HeadMemory = 0;
  }

  void updateHeadMemory() {
    m_HeadMemory =
        m_Head.m_Headers.capacity() * sizeof(HttpHeader) + 2 * m_HeaderBytes;
  }

  static Impl &implOf(http_parser *Parser) {
    return *static_cast<Impl *>(Parser->data);
  }

  static int onUrl(http_parser *Parser, const char *Data, std::size_t Size) {
    implOf(Parser).m_Head.m_Target.append(Data, Size);
    return 0;
  }

  static int onStatus(http_parser *Parser, const char *Data, std::size_t Size) {
    implOf(Parser).m_Head.m_Reason.append(Data, Size);
    return 0;
  }

  static int onHeaderField(http_parser *Parser, const char *Data,
                           std::size_t Size) {
    Impl &Self = implOf(Parser);
    // Fields after the body are trailer fields, which are discarded.
    if (Self.m_HasHead)
      return 0;
    if (Self.m_LastWasValue || Self.m_Head.m_Headers.empty())
      Self.m_Head.m_Headers.push_back({});
    Self.m_LastWasValue = false;
    Self.m_Head.m_Headers.back().m_Name.append(Data, Size);
    return 0;
  }

  static int onHeaderValue(http_parser *Parser, const char *Data,
                           std::size_t Size) {
    Impl &Self = implOf(Parser);
    if (Self.m_HasHead)
      return 0;
    Self.m_LastWasValue = true;
    Self.m_Head.m_Headers.back().m_Value.append(Data, Size);
    return 0;
  }

  static int onHeadersComplete(http_parser *Parser) {
    Impl &Self = implOf(Parser);
    for (const HttpHeader &Field : Self.m_Head.m_Headers)
      if (!isToken(Field.m_Name))
        return -1;
    Self.m_Head.m_Status = static_cast<int>(Parser->status_code);
    if (Self.m_Direction == Direction::Responses &&
        !isResponseStatus(Self.m_Head.m_Status))
      return -1;
    Self.m_Head.m_KeepAlive = http_should_keep_alive(Parser) != 0;
    if (Self.m_Direction == Direction::Requests)
      Self.m_Head.m_Method =
          http_method_str(static_cast<http_method>(Parser->method));
    else
      Self.m_Head.m_IsSelfDelimiting =
          Self.m_ExpectsNoBody || !isBodyDelimitedByClose(Parser);
    // Interim (1xx) responses are skipped; the final response follows.
    if (Self.isInterim())
      return 0;
    Self.m_HasHead = true;
    Self.updateHeadMemory();
    Self.m_Handler.onHead(std::move(Self.m_Head));
    return Self.m_ExpectsNoBody ? SkipBody : 0;
  }

  /// True if only the end of the connection delimits the response body.
  static bool isBodyDelimitedByClose(const http_parser *Parser) {
    const unsigned Status = Parser->status_code;
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    if (Status / 100 == 1 || Status == NoContent || Status == NotModified)
      return false;
    return (Parser->flags & F_CHUNKED) == 0 &&
           (Parser->flags & F_CONTENTLENGTH) == 0;
  }

  bool isInterim() const {
    return m_Direction == Direction::Responses && m_Parser.status_code != 0 &&
           m_Parser.status_code < FirstFinalStatus;
  }

  static int onBody(http_parser *Parser, const char *Data, std::size_t Size) {
    implOf(Parser).m_Handler.onBody({Data, Size});
    return 0;
  }

  static int onMessageComplete(http_parser *Parser) {
    Impl &Self = implOf(Parser);
    if (Self.isInterim()) {
      Self.m_Head = HttpMessageHead();
      Self.m_LastWasValue = false;
      return 0;
    }
    Self.m_IsComplete = true;
    http_parser_pause(Parser, 1);
    Self.m_Handler.onMessageEnd();
    return 0;
  }

  Direction m_Direction;
  std::size_t m_MaxHeaderBytes;
  HttpMessageHandler &m_Handler;
  http_parser m_Parser{};
  http_parser_settings m_Settings{};
  HttpMessageHead m_Head;
  std::size_t m_HeaderBytes = 0;
  std::size_t m_HeadMemory = 0;
  bool m_LastWasValue = false;
  bool m_HasHead = false;
  bool m_IsComplete = false;
  bool m_HasBegun = false;
  bool m_ExpectsNoBody = false;
  bool m_HasFailed = false;
  bool m_IsHeadTooLarge = false;
};

HttpStreamParser::HttpStreamParser(Direction MessageDirection,
                                   std::size_t MaxHeaderBytes,
                                   HttpMessageHandler &Handler)
    : m_Impl(
          std::make_unique<Impl>(MessageDirection, MaxHeaderBytes, Handler)) {}

HttpStreamParser::~HttpStreamParser() = default;

std::size_t HttpStreamParser::parse(std::string_view Bytes) {
  Impl &Self = *m_Impl;
  if (Self.m_HasFailed || Self.m_IsComplete || Bytes.empty())
    return 0;
  const bool HadHead = Self.m_HasHead;
  const std::size_t Consumed = http_parser_execute(
      &Self.m_Parser, &Self.m_Settings, Bytes.data(), Bytes.size());
  Self.m_HasBegun = Self.m_HasBegun || Consumed > 0;
  if (!HadHead && !Self.m_HasHead) {
    Self.m_HeaderBytes += Consumed;
    Self.updateHeadMemory();
  }
  if (Self.m_HeaderBytes > Self.m_MaxHeaderBytes) {
    Self.m_IsHeadTooLarge = true;
    Self.m_HasFailed = true;
  }
  const http_errno Error = HTTP_PARSER_ERRNO(&Self.m_Parser);
  if (Error == HPE_HEADER_OVERFLOW)
    Self.m_IsHeadTooLarge = true;
  if (Error != HPE_OK && Error != HPE_PAUSED)
    Self.m_HasFailed = true;
  if (Self.m_Parser.upgrade != 0)
    Self.m_HasFailed = true;
  return Consumed;
}

void HttpStreamParser::finish() {
  Impl &Self = *m_Impl;
  if (Self.m_HasFailed || Self.m_IsComplete)
    return;
  http_parser_execute(&Self.m_Parser, &Self.m_Settings, nullptr, 0);
  const http_errno Error = HTTP_PARSER_ERRNO(&Self.m_Parser);
  if (Error != HPE_OK && Error != HPE_PAUSED)
    Self.m_HasFailed = true;
}

void HttpStreamParser::reset() { m_Impl->startMessage(); }

void HttpStreamParser::expectNoBody() { m_Impl->m_ExpectsNoBody = true; }

void HttpStreamParser::setMaxHeaderBytes(std::size_t Bytes) {
  m_Impl->m_MaxHeaderBytes = Bytes;
}

bool HttpStreamParser::hasFailed() const { return m_Impl->m_HasFailed; }
bool HttpStreamParser::isHeadTooLarge() const {
  return m_Impl->m_IsHeadTooLarge;
}
bool HttpStreamParser::isComplete() const { return m_Impl->m_IsComplete; }
bool HttpStreamParser::hasReceivedBytes() const { return m_Impl->m_HasBegun; }
bool HttpStreamParser::hasParsedHead() const { return m_Impl->m_HasHead; }
std::size_t HttpStreamParser::headMemory() const {
  return m_Impl->m_HeadMemory;
}

} // namespace fulmarwinch
