#include "node/completion_request.h"

#include "core/error.h"
#include "core/json.h"

#include "fmt/format.h"
#include "xxhash.h"

#include <algorithm>
#include <cstdint>

namespace fulmarwinch {

namespace {

/// Usual ratio for text; the engine's own count is not known here.
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t DefaultOutputTokens = 256;
/// Prompts that share this many bytes share a prefix worth caching.
constexpr std::size_t PrefixBytes = 1024;

absl::Status invalid(const std::string &Problem, const std::string &Remedy) {
  return makeError(ErrorKind::InvalidArgument, Problem, Remedy);
}

void appendContent(const Json &Content, std::string &Prompt) {
  if (Content.is_string())
    Prompt += Content.get_ref<const std::string &>();
  else
    Prompt += Content.dump(-1, ' ', false, Json::error_handler_t::replace);
  Prompt += '\n';
}

absl::StatusOr<std::string> promptOf(const Json &Object) {
  std::string Prompt;
  if (Object.contains("messages")) {
    if (!Object["messages"].is_array() || Object["messages"].empty())
      return invalid("messages is not a list with content",
                     "send a list of messages");
    for (const Json &Message : Object["messages"]) {
      if (!Message.is_object() || !Message.contains("content"))
        return invalid("a message has no content",
                       "give each message a role and a content");
      appendContent(Message["content"], Prompt);
    }
    return Prompt;
  }
  if (!Object.contains("prompt"))
    return invalid("the body has neither messages nor prompt",
                   "send one of the two");
  appendContent(Object["prompt"], Prompt);
  return Prompt;
}

absl::StatusOr<std::size_t> outputTokens(const Json &Object,
                                         std::size_t ContextLength) {
  for (const char *Key : {"max_completion_tokens", "max_tokens"}) {
    if (!Object.contains(Key) || Object[Key].is_null())
      continue;
    const Json &Value = Object[Key];
    // A negative number would become a huge unsigned one.
    if (!Value.is_number_integer() || Value < 1 || Value > ContextLength)
      return invalid(
          fmt::format("{} is {}", Key, Value.dump()),
          fmt::format("send a whole number from 1 to {}", ContextLength));
    return Value.get<std::size_t>();
  }
  return DefaultOutputTokens;
}

absl::Status checkCapability(const Deployment &Target,
                             const RouteRequest &Route) {
  const bool HasAdapter =
      Route.m_Adapter.empty() ||
      std::find(Target.m_Adapters.begin(), Target.m_Adapters.end(),
                Route.m_Adapter) != Target.m_Adapters.end();
  if (!HasAdapter)
    return makeError(ErrorKind::NotFound,
                     fmt::format("deployment {} has no adapter {}",
                                 Target.m_Name, Route.m_Adapter),
                     "use one of the names that GET /v1/models lists");
  const std::size_t Needed = Route.m_PromptTokens + Route.m_OutputTokens;
  if (Needed > static_cast<std::size_t>(Target.m_ContextLength))
    return invalid(fmt::format("the request needs about {} tokens and "
                               "deployment {} has a context of {}",
                               Needed, Target.m_Name, Target.m_ContextLength),
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
    return invalid("the request body is not a JSON object",
                   "send an object with model and messages");
  const auto Model = memberOr<std::string>(*Object, "model", "");
  CompletionRequest Result;
  const std::size_t Colon = Model.find(':');
  Result.m_Route.m_Deployment = Model.substr(0, Colon);
  if (Colon != std::string::npos)
    Result.m_Route.m_Adapter = Model.substr(Colon + 1);
  const Deployment *Target = View.deployment(Result.m_Route.m_Deployment);
  if (!Target)
    return makeError(ErrorKind::NotFound,
                     fmt::format("there is no model called '{}'", Model),
                     "use one of the names that GET /v1/models lists");
  const absl::StatusOr<std::string> Prompt = promptOf(*Object);
  if (!Prompt.ok())
    return Prompt.status();
  Result.m_Route.m_PromptTokens = Prompt->size() / BytesPerToken + 1;
  const absl::StatusOr<std::size_t> OutputTokens =
      outputTokens(*Object, static_cast<std::size_t>(Target->m_ContextLength));
  if (!OutputTokens.ok())
    return OutputTokens.status();
  Result.m_Route.m_OutputTokens = *OutputTokens;
  if (absl::Status Fault = checkCapability(*Target, Result.m_Route);
      !Fault.ok())
    return Fault;
  Result.m_Route.m_PrefixHash = prefixHash(*Prompt, PrefixBytes);
  Result.m_Route.m_Class = requestClass(Result.m_Route);
  Result.m_IsStream = memberOr<bool>(*Object, "stream", false);
  Result.m_ContentHash = XXH3_64bits(Body.data(), Body.size());
  Result.m_CostTokens = static_cast<double>(Result.m_Route.m_PromptTokens +
                                            Result.m_Route.m_OutputTokens);
  return Result;
}

} // namespace fulmarwinch
