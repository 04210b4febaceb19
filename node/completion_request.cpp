#include "node/completion_request.h"

#include "core/error.h"
#include "core/json.h"

#include "fmt/format.h"
#include "xxhash.h"

#include <algorithm>
#include <cstdint>

namespace fulmarwinch {

namespace {

/// Typical ratio for text, used to estimate the prompt's tokens because the
/// engine's tokeniser is not available here.
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t DefaultOutputTokens = 256;
/// Length of the prompt prefix that is hashed for routing. Prompts that share
/// this many bytes share a prefix worth caching.
constexpr std::size_t RoutingPrefixBytes = 1024;

absl::Status invalidRequest(const std::string &Problem,
                            const std::string &Remedy) {
  return makeError(ErrorKind::InvalidArgument, Problem, Remedy);
}

void appendContent(const Json &Content, std::string &Prompt) {
  if (Content.is_string())
    Prompt += Content.get_ref<const std::string &>();
  else
    Prompt += Content.dump(-1, ' ', false, Json::error_handler_t::replace);
  Prompt += '\n';
}

absl::StatusOr<std::string> concatenatePrompt(const Json &Object) {
  std::string Prompt;
  if (Object.contains("messages")) {
    if (!Object["messages"].is_array() || Object["messages"].empty())
      return invalidRequest("messages is not a list with content",
                            "send a list of messages");
    for (const Json &Message : Object["messages"]) {
      if (!Message.is_object() || !Message.contains("content"))
        return invalidRequest("a message has no content",
                              "give each message a role and a content");
      appendContent(Message["content"], Prompt);
    }
    return Prompt;
  }
  if (!Object.contains("prompt"))
    return invalidRequest("the body has neither messages nor prompt",
                          "send one of the two");
  appendContent(Object["prompt"], Prompt);
  return Prompt;
}

absl::StatusOr<std::size_t> requestedOutputTokens(const Json &Object,
                                                  std::size_t ContextLength) {
  for (const char *Key : {"max_completion_tokens", "max_tokens"}) {
    if (!Object.contains(Key) || Object[Key].is_null())
      continue;
    const Json &Value = Object[Key];
    // The range is checked before the conversion, because a negative number
    // would become a huge unsigned one.
    if (!Value.is_number_integer() || Value < 1 || Value > ContextLength)
      return invalidRequest(
          fmt::format("{} is {}", Key, Value.dump()),
          fmt::format("send a whole number from 1 to {}", ContextLength));
    return Value.get<std::size_t>();
  }
  return DefaultOutputTokens;
}

absl::Status checkCapability(const Deployment &RequestedDeployment,
                             const RouteRequest &Route) {
  const bool HasAdapter =
      Route.m_Adapter.empty() ||
      std::find(RequestedDeployment.m_Adapters.begin(),
                RequestedDeployment.m_Adapters.end(),
                Route.m_Adapter) != RequestedDeployment.m_Adapters.end();
  if (!HasAdapter)
    return makeError(ErrorKind::NotFound,
                     fmt::format("deployment {} has no adapter {}",
                                 RequestedDeployment.m_Name, Route.m_Adapter),
                     "use one of the names that GET /v1/models lists");
  const std::size_t NeededTokens = Route.m_PromptTokens + Route.m_OutputTokens;
  if (NeededTokens >
      static_cast<std::size_t>(RequestedDeployment.m_ContextLength))
    return invalidRequest(fmt::format("the request needs about {} tokens and "
                                      "deployment {} has a context of {}",
                                      NeededTokens, RequestedDeployment.m_Name,
                                      RequestedDeployment.m_ContextLength),
                          "shorten the prompt or lower max_tokens");
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<CompletionRequest>
parseCompletion(const std::string &Body, const ConfigurationView &View) {
  const absl::StatusOr<Json> Object = parseJson(Body, "the request body");
  if (!Object.ok())
    return Object.status();
  if (!Object->is_object())
    return invalidRequest("the request body is not a JSON object",
                          "send an object with model and messages");
  const auto Model = fieldOr<std::string>(*Object, "model", "");
  CompletionRequest Result;
  const std::size_t Colon = Model.find(':');
  Result.m_Route.m_Deployment = Model.substr(0, Colon);
  if (Colon != std::string::npos)
    Result.m_Route.m_Adapter = Model.substr(Colon + 1);
  const Deployment *RequestedDeployment =
      View.deployment(Result.m_Route.m_Deployment);
  if (!RequestedDeployment)
    return makeError(ErrorKind::NotFound,
                     fmt::format("there is no model called '{}'", Model),
                     "use one of the names that GET /v1/models lists");
  const absl::StatusOr<std::string> Prompt = concatenatePrompt(*Object);
  if (!Prompt.ok())
    return Prompt.status();
  Result.m_Route.m_PromptTokens = Prompt->size() / BytesPerToken + 1;
  const absl::StatusOr<std::size_t> OutputTokens = requestedOutputTokens(
      *Object, static_cast<std::size_t>(RequestedDeployment->m_ContextLength));
  if (!OutputTokens.ok())
    return OutputTokens.status();
  Result.m_Route.m_OutputTokens = *OutputTokens;
  if (absl::Status Error =
          checkCapability(*RequestedDeployment, Result.m_Route);
      !Error.ok())
    return Error;
  Result.m_Route.m_PrefixHash = prefixHash(*Prompt, RoutingPrefixBytes);
  Result.m_Route.m_Class = requestClass(Result.m_Route);
  Result.m_IsStream = fieldOr<bool>(*Object, "stream", false);
  Result.m_ContentHash = XXH3_64bits(Body.data(), Body.size());
  Result.m_CostTokens = static_cast<double>(Result.m_Route.m_PromptTokens +
                                            Result.m_Route.m_OutputTokens);
  return Result;
}

} // namespace fulmarwinch
