#include "drivers/standin/token_text.h"

#include "fmt/format.h"
#include "xxhash.h"

namespace fulmarwinch {

std::string promptOf(const Json &Body) {
  const std::string Prompt = fieldOr(Body, "prompt", std::string());
  if (!Prompt.empty())
    return Prompt;
  std::string Joined;
  const Json Messages = fieldOr(Body, "messages", Json::array());
  for (const Json &Message : Messages)
    Joined += fieldOr(Message, "content", std::string()) + "\n";
  return Joined;
}

std::string tokenText(std::string_view Prompt, std::size_t Index) {
  const XXH64_hash_t Hash = XXH64(Prompt.data(), Prompt.size(), Index);
  return fmt::format(" {:04x}", Hash & 0xffffU);
}

std::string expectedText(std::string_view Prompt, std::size_t First,
                         std::size_t End) {
  std::string Text;
  for (std::size_t Index = First; Index < End; ++Index)
    Text += tokenText(Prompt, Index);
  return Text;
}

} // namespace fulmarwinch
