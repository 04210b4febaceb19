#include "proxy/http_stream_parser.h"

#include "absl/strings/ascii.h"
#include "http_parser.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr int NoBodyFollows = 1;
constexpr int FirstFinalStatus = 200;

/// RFC 9110, section 5.6.2. The library accepts a few more bytes than a field
/// name may contain.
bool isToken(std::string_view Text) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [&](unsigned char Byte) {
           return absl::ascii_isalnum(Byte) ||
                  Marks.find(static_cast<char>(Byte)) != std::string_view::npos;
         });
}

} // namespace

struct HttpStreamParser::Impl {
  Impl(Direction Kind, std::size_t MaxHeaderBytes, HttpSink &Sink)
      : m_Kind(Kind), m_MaxHeaderBytes(MaxHeaderBytes), m_Sink(Sink) {
    http_parser_settings_init(&m_Settings);
    m_Settings.on_url = &onUrl;
    m_Settings.on_status = &onStatus;
    m_Settings.on_header_field = &onHeaderField;
    m_Settings.on_header_value = &onHeaderValue;
    m_Settings.on_headers_complete = &onHeadersComplete;
    m_Settings.on_body = &onBody;
    m_Settings.on_message_complete = &onMessageComplete;
    begin();
  }

  void begin() {
    http_parser_init(&m_Parser, m_Kind == Direction::Requests ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    m_Parser.data = this;
    m_Head = HttpHead();
    m_InValue = false;
    m_HasHead = false;
    m_Complete = false;
    m_Begun = false;
    m_HeaderBytes = 0;
  }

  static Impl &self(http_parser *Parser) {
    return *static_cast<Impl *>(Parser->data);
  }

  static int onUrl(http_parser *Parser, const char *Data, std::size_t Size) {
    self(Parser).m_Head.m_Target.append(Data, Size);
    return 0;
  }

  static int onStatus(http_parser *Parser, const char *Data, std::size_t Size) {
    self(Parser).m_Head.m_Reason.append(Data, Size);
    return 0;
  }

  static int onHeaderField(http_parser *Parser, const char *Data,
                           std::size_t Size) {
    Impl &Self = self(Parser);
    // Trailer fields are dropped.
    if (Self.m_HasHead)
      return 0;
    if (Self.m_InValue || Self.m_Head.m_Headers.empty())
      Self.m_Head.m_Headers.push_back({});
    Self.m_InValue = false;
    Self.m_Head.m_Headers.back().m_Name.append(Data, Size);
    return 0;
  }

  static int onHeaderValue(http_parser *Parser, const char *Data,
                           std::size_t Size) {
    Impl &Self = self(Parser);
    if (Self.m_HasHead)
      return 0;
    Self.m_InValue = true;
    Self.m_Head.m_Headers.back().m_Value.append(Data, Size);
    return 0;
  }

  static int onHeadersComplete(http_parser *Parser) {
    Impl &Self = self(Parser);
    for (const HttpHeader &Field : Self.m_Head.m_Headers)
      if (!isToken(Field.m_Name))
        return -1;
    Self.m_Head.m_Status = static_cast<int>(Parser->status_code);
    Self.m_Head.m_KeepAlive = http_should_keep_alive(Parser) != 0;
    if (Self.m_Kind == Direction::Requests)
      Self.m_Head.m_Method =
          http_method_str(static_cast<http_method>(Parser->method));
    else
      Self.m_Head.m_Framed = Self.m_NoBody || !endsWithConnection(Parser);
    // An interim response is not the answer.
    if (Self.isInterim())
      return 0;
    Self.m_HasHead = true;
    Self.m_Sink.onHead(std::move(Self.m_Head));
    return Self.m_NoBody ? NoBodyFollows : 0;
  }

  /// The body has neither a length nor chunks.
  static bool endsWithConnection(const http_parser *Parser) {
    const unsigned Status = Parser->status_code;
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    if (Status / 100 == 1 || Status == NoContent || Status == NotModified)
      return false;
    return (Parser->flags & F_CHUNKED) == 0 &&
           (Parser->flags & F_CONTENTLENGTH) == 0;
  }

  bool isInterim() const {
    return m_Kind == Direction::Responses && m_Parser.status_code != 0 &&
           m_Parser.status_code < FirstFinalStatus;
  }

  static int onBody(http_parser *Parser, const char *Data, std::size_t Size) {
    self(Parser).m_Sink.onBody({Data, Size});
    return 0;
  }

  static int onMessageComplete(http_parser *Parser) {
    Impl &Self = self(Parser);
    if (Self.isInterim()) {
      Self.m_Head = HttpHead();
      Self.m_InValue = false;
      return 0;
    }
    Self.m_Complete = true;
    http_parser_pause(Parser, 1);
    Self.m_Sink.onMessageEnd();
    return 0;
  }

  Direction m_Kind;
  std::size_t m_MaxHeaderBytes;
  HttpSink &m_Sink;
  http_parser m_Parser{};
  http_parser_settings m_Settings{};
  HttpHead m_Head;
  std::size_t m_HeaderBytes = 0;
  bool m_InValue = false;
  bool m_HasHead = false;
  bool m_Complete = false;
  bool m_Begun = false;
  bool m_NoBody = false;
  bool m_Failed = false;
  bool m_HeadTooLarge = false;
};

HttpStreamParser::HttpStreamParser(Direction Kind, std::size_t MaxHeaderBytes,
                                   HttpSink &Sink)
    : m_Impl(std::make_unique<Impl>(Kind, MaxHeaderBytes, Sink)) {}

HttpStreamParser::~HttpStreamParser() = default;

std::size_t HttpStreamParser::feed(std::string_view Bytes) {
  Impl &Self = *m_Impl;
  if (Self.m_Failed || Self.m_Complete || Bytes.empty())
    return 0;
  const bool HadHead = Self.m_HasHead;
  const std::size_t Used = http_parser_execute(&Self.m_Parser, &Self.m_Settings,
                                               Bytes.data(), Bytes.size());
  Self.m_Begun = Self.m_Begun || Used > 0;
  if (!HadHead && !Self.m_HasHead)
    Self.m_HeaderBytes += Used;
  if (Self.m_HeaderBytes > Self.m_MaxHeaderBytes) {
    Self.m_HeadTooLarge = true;
    Self.m_Failed = true;
  }
  const http_errno Error = HTTP_PARSER_ERRNO(&Self.m_Parser);
  if (Error == HPE_HEADER_OVERFLOW)
    Self.m_HeadTooLarge = true;
  if (Error != HPE_OK && Error != HPE_PAUSED)
    Self.m_Failed = true;
  if (Self.m_Parser.upgrade != 0)
    Self.m_Failed = true;
  return Used;
}

void HttpStreamParser::finish() {
  Impl &Self = *m_Impl;
  if (Self.m_Failed || Self.m_Complete)
    return;
  http_parser_execute(&Self.m_Parser, &Self.m_Settings, nullptr, 0);
  const http_errno Error = HTTP_PARSER_ERRNO(&Self.m_Parser);
  if (Error != HPE_OK && Error != HPE_PAUSED)
    Self.m_Failed = true;
}

void HttpStreamParser::reset() { m_Impl->begin(); }

void HttpStreamParser::expectNoBody() { m_Impl->m_NoBody = true; }

void HttpStreamParser::setMaxHeaderBytes(std::size_t Bytes) {
  m_Impl->m_MaxHeaderBytes = Bytes;
}

bool HttpStreamParser::hasFailed() const { return m_Impl->m_Failed; }
bool HttpStreamParser::headTooLarge() const { return m_Impl->m_HeadTooLarge; }
bool HttpStreamParser::isComplete() const { return m_Impl->m_Complete; }
bool HttpStreamParser::hasBegun() const { return m_Impl->m_Begun; }
bool HttpStreamParser::hasHead() const { return m_Impl->m_HasHead; }

} // namespace fulmarwinch
