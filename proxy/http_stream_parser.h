#ifndef FULMARWINCH_PROXY_HTTP_STREAM_PARSER_H
#define FULMARWINCH_PROXY_HTTP_STREAM_PARSER_H

#include "drivers/http/http_message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Start line and header fields of an HTTP/1.1 message. Field names, field
/// values and the request target are stored byte for byte as received.
struct HttpMessageHead {
  /// Method and target of a request; empty for a response.
  std::string m_Method;
  std::string m_Target;
  /// Status and reason phrase of a response; unset for a request.
  int m_Status = 0;
  std::string m_Reason;
  HttpHeaders m_Headers;
  /// True if the connection is persistent: another message may follow.
  bool m_KeepAlive = true;
  /// True if Content-Length, chunked encoding or the status delimits the body.
  /// Otherwise the body ends when the peer closes the connection.
  bool m_IsSelfDelimiting = true;
};

/// Largest memory of a head whose bytes are \p Bytes: the shortest fields have
/// four bytes, a list that grows has up to twice the capacity, and its old
/// elements exist beside the new ones for a moment.
constexpr std::size_t maxHeadMemory(std::size_t Bytes) {
  constexpr std::size_t ShortestField = 4;
  return Bytes / ShortestField * 3 * sizeof(HttpHeader) + 2 * Bytes;
}

/// Callbacks through which HttpStreamParser delivers the parts of a message.
class HttpMessageHandler {
public:
  virtual ~HttpMessageHandler() = default;
  virtual void onHead(HttpMessageHead Head) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onMessageEnd() = 0;
};

/// Incremental HTTP/1.1 parser for the messages of one connection. It stops at
/// the end of each message until reset() is called.
class HttpStreamParser {
public:
  enum class Direction { Requests, Responses };

  /// \p Handler must outlive the parser.
  HttpStreamParser(Direction MessageDirection, std::size_t MaxHeaderBytes,
                   HttpMessageHandler &Handler);
  ~HttpStreamParser();
  HttpStreamParser(const HttpStreamParser &) = delete;
  HttpStreamParser &operator=(const HttpStreamParser &) = delete;

  /// Parses \p Bytes up to the end of the current message and returns the
  /// number of bytes consumed. To parse the remaining bytes as the next
  /// message, call reset() and pass them again.
  std::size_t parse(std::string_view Bytes);
  /// Signals that the peer closed the connection without an error, which ends a
  /// body that is not delimited otherwise.
  void finish();
  /// Prepares the parser for the next message on the connection.
  void reset();

  /// Treats every message as one without a body, regardless of its header
  /// fields; for responses to HEAD requests.
  void expectNoBody();
  /// Limits the size of the start line and header fields of each message; the
  /// count starts anew at reset().
  void setMaxHeaderBytes(std::size_t Bytes);

  /// True once the bytes violated the protocol or a limit.
  bool hasFailed() const;
  bool isHeadTooLarge() const;
  bool isComplete() const;
  /// True once at least one byte of the current message was parsed.
  bool hasReceivedBytes() const;
  /// True once the start line and all header fields were parsed.
  bool hasParsedHead() const;
  /// Memory of the head of the current message, also after onHead().
  std::size_t headMemory() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_HTTP_STREAM_PARSER_H
