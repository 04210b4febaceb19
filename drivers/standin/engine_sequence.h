#ifndef FULMARWINCH_DRIVERS_STANDIN_ENGINE_SEQUENCE_H
#define FULMARWINCH_DRIVERS_STANDIN_ENGINE_SEQUENCE_H

#include "core/json.h"
#include "core/time.h"
#include "drivers/http/http_server.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// One completion request in an engine stand-in and the answer to it.
class EngineSequence {
public:
  EngineSequence(HttpExchangePtr Exchange, const Json &Body);

  /// Emits the next token. \p Headers are sent if it is the first one.
  /// Returns false once the client is gone.
  bool emitToken(const HttpHeaders &Headers);

  bool isComplete() const { return m_Next >= m_End; }

  /// Ends a complete answer.
  void finish(const HttpHeaders &Headers);

  /// Ends an answer that is not complete. Like a real engine that fails, it
  /// does not tell whether the request ran.
  void fail(std::string_view Problem, const HttpHeaders &Headers);

  bool isClientGone() const { return m_Exchange->isClientGone(); }

  std::string m_Id;
  std::string m_Prompt;
  std::int64_t m_Priority = 0;
  /// Time until the prompt has been read.
  Duration m_PrefillLeft{0};
  bool m_CrashesEngine = false;

private:
  Json chunk(const std::string &Text) const;

  HttpExchangePtr m_Exchange;
  std::string m_Model;
  bool m_IsChat;
  bool m_IsStream;
  bool m_Started = false;
  std::uint64_t m_Next = 0;
  std::uint64_t m_End = 0;
  std::string m_Text;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_SEQUENCE_H
