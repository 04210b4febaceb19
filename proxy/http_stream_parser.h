#ifndef FULMARWINCH_PROXY_HTTP_STREAM_PARSER_H
#define FULMARWINCH_PROXY_HTTP_STREAM_PARSER_H

#include "drivers/http/http_message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Start line and header fields of an HTTP/1.1 message. Names, values and the
/// target keep their bytes.
struct HttpHead {
  /// Of a request.
  std::string m_Method;
  std::string m_Target;
  /// Of a response.
  int m_Status = 0;
  std::string m_Reason;
  HttpHeaders m_Headers;
  /// The connection may carry another message after this one.
  bool m_KeepAlive = true;
  /// The end of the body is known from its length or its chunks. A body
  /// without framing ends with its connection.
  bool m_Framed = true;
};

/// Receives the parts of a message as they are parsed.
class HttpSink {
public:
  virtual ~HttpSink() = default;
  virtual void onHead(HttpHead Head) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onMessageEnd() = 0;
};

/// Parses the messages of one connection, one at a time.
class HttpStreamParser {
public:
  enum class Direction { Requests, Responses };

  /// \p Sink must outlive the parser.
  HttpStreamParser(Direction Kind, std::size_t MaxHeaderBytes, HttpSink &Sink);
  ~HttpStreamParser();
  HttpStreamParser(const HttpStreamParser &) = delete;
  HttpStreamParser &operator=(const HttpStreamParser &) = delete;

  /// Takes bytes up to the end of the current message and returns how many.
  /// The rest belongs to the next message, for which reset() must be called.
  std::size_t feed(std::string_view Bytes);
  /// Tells the parser that the peer closed the connection in order.
  void finish();
  /// Prepares for the next message.
  void reset();

  /// The message that is expected has no body whatever its header says.
  void expectNoBody();
  /// The size limit applies to header bytes fed after the last reset().
  void setMaxHeaderBytes(std::size_t Bytes);

  bool hasFailed() const;
  bool headTooLarge() const;
  bool isComplete() const;
  /// True once a byte of the current message was fed.
  bool hasBegun() const;
  /// True once the whole head was parsed.
  bool hasHead() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_HTTP_STREAM_PARSER_H
