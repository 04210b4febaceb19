#include "drivers/standin/engine_sequence.h"
#include "drivers/standin/token_text.h"

#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr std::uint64_t DefaultMaxTokens = 16;

template <typename NumberType>
NumberType numberFromHeader(const HttpRequest &Request, std::string_view Name,
                            NumberType Default) {
  const std::optional<std::string> Text = findHeader(Request.m_Headers, Name);
  NumberType Number = 0;
  return Text && absl::SimpleAtoi(*Text, &Number) ? Number : Default;
}

/// Serialises \p Value with invalid UTF-8 replaced. The response contains the
/// request ID from a header field, which may contain any bytes.
std::string serialise(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

EngineSequence::EngineSequence(HttpExchangePtr Exchange, const Json &Body)
    : m_Prompt(promptOf(Body)), m_Exchange(std::move(Exchange)),
      m_Model(fieldOr(Body, "model", std::string())),
      m_IsChat(m_Exchange->request().m_Path == "/v1/chat/completions"),
      m_IsStream(fieldOr(Body, "stream", false)) {
  const HttpRequest &Request = m_Exchange->request();
  m_Id = findHeader(Request.m_Headers, "X-Request-Id").value_or("");
  m_Priority = numberFromHeader(Request, "X-Priority", std::int64_t{0});
  m_EndToken =
      std::max<std::uint64_t>(1, fieldOr(Body, "max_tokens", DefaultMaxTokens));
  m_NextToken =
      std::min(m_EndToken,
               numberFromHeader(Request, "X-Resume-Offset", std::uint64_t{0}));
}

Json EngineSequence::makeBody(const std::string &Text) const {
  Json ChoiceJson = {{"index", 0}, {"finish_reason", nullptr}};
  if (isComplete())
    ChoiceJson["finish_reason"] = "length";
  if (!m_IsChat)
    ChoiceJson["text"] = Text;
  else if (m_IsStream)
    ChoiceJson["delta"] = {{"content", Text}};
  else
    ChoiceJson["message"] = {{"role", "assistant"}, {"content", Text}};
  const std::string Kind = m_IsChat ? "chat.completion" : "text_completion";
  return {{"id", m_Id},
          {"object", m_IsChat && m_IsStream ? Kind + ".chunk" : Kind},
          {"model", m_Model},
          {"choices", Json::array({ChoiceJson})}};
}

bool EngineSequence::emitToken(const HttpHeaders &Headers) {
  const std::uint64_t Index = m_NextToken++;
  const std::string Token = tokenText(m_Prompt, Index);
  if (!m_IsStream) {
    m_GeneratedText += Token;
    return !m_Exchange->isClientGone();
  }
  if (!m_IsStreamStarted) {
    m_IsStreamStarted = true;
    HttpHeaders StreamHeaders = Headers;
    StreamHeaders.push_back({"Content-Type", "text/event-stream"});
    m_Exchange->startStream(200, StreamHeaders);
  }
  Json Chunk = makeBody(Token);
  Chunk["fulmarwinch_index"] = Index;
  return m_Exchange->write(fmt::format("data: {}\n\n", serialise(Chunk)));
}

void EngineSequence::finish(const HttpHeaders &Headers) {
  if (m_IsStream) {
    if (!m_IsStreamStarted)
      m_Exchange->startStream(200, Headers);
    m_Exchange->write("data: [DONE]\n\n");
    return m_Exchange->finish();
  }
  Json Body = makeBody(m_GeneratedText);
  Body["usage"] = {{"prompt_tokens", m_Prompt.size() / 4},
                   {"completion_tokens", m_EndToken}};
  HttpResponse Response = jsonResponse(200, serialise(Body));
  Response.m_Headers.insert(Response.m_Headers.end(), Headers.begin(),
                            Headers.end());
  m_Exchange->respond(std::move(Response));
}

void EngineSequence::fail(std::string_view ErrorMessage,
                          const HttpHeaders &Headers) {
  const Json Body = {{"error", {{"message", std::string(ErrorMessage)}}}};
  if (m_IsStreamStarted) {
    m_Exchange->write(fmt::format("data: {}\n\n", Body.dump()));
    return m_Exchange->finish();
  }
  HttpResponse Response = jsonResponse(500, Body.dump());
  Response.m_Headers.insert(Response.m_Headers.end(), Headers.begin(),
                            Headers.end());
  m_Exchange->respond(std::move(Response));
}

} // namespace fulmarwinch
