#ifndef FULMARWINCH_DRIVERS_STANDIN_ENGINE_SEQUENCE_H
#define FULMARWINCH_DRIVERS_STANDIN_ENGINE_SEQUENCE_H

#include "core/json.h"
#include "core/time.h"
#include "drivers/http/http_server.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// A completion request in an engine stand-in together with its response.
class EngineSequence {
public:
  /// Reads the request from \p Exchange and its parsed \p Body.
  EngineSequence(HttpExchangePtr Exchange, const Json &Body);

  /// Generates the next token. A streaming response sends it at once, with
  /// \p Headers before the first one. Returns false once the client has
  /// disconnected.
  bool emitToken(const HttpHeaders &Headers);

  /// Returns true once all tokens have been generated.
  bool isComplete() const { return m_NextToken >= m_EndToken; }

  /// Ends the response after its last token. A response that is not streamed is
  /// sent here as a whole, with \p Headers.
  void finish(const HttpHeaders &Headers);

  /// Ends an incomplete response with \p ErrorMessage. Like that of a real
  /// engine, the error does not state whether the request was executed.
  void fail(std::string_view ErrorMessage, const HttpHeaders &Headers);

  bool isClientGone() const { return m_Exchange->isClientGone(); }

  std::string m_Id;
  std::string m_Prompt;
  std::int64_t m_Priority = 0;
  Duration m_RemainingPrefill{0};
  /// True if the body contains EngineOptions::m_CrashMarker.
  bool m_CrashesEngine = false;

private:
  Json makeBody(const std::string &Text) const;

  HttpExchangePtr m_Exchange;
  std::string m_Model;
  bool m_IsChat;
  bool m_IsStream;
  bool m_IsStreamStarted = false;
  std::uint64_t m_NextToken = 0;
  std::uint64_t m_EndToken = 0;
  std::string m_GeneratedText;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_SEQUENCE_H
