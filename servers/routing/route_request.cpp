#include "servers/routing/route_request.h"

#include "fmt/format.h"
#include "xxhash.h"

namespace fulmarwinch {

RequestClass requestClass(const RouteRequest &Request) {
  std::size_t LengthClass = 0;
  for (std::size_t Rest = Request.m_PromptTokens; Rest > 1; Rest /= 2)
    ++LengthClass;
  // The lengths go first, so that no two adapter and version pairs collide.
  const std::string Text =
      fmt::format("{}:{}:{}{}", LengthClass, Request.m_Adapter.size(),
                  Request.m_Adapter, Request.m_Version);
  return XXH3_64bits(Text.data(), Text.size());
}

std::optional<std::uint64_t> prefixHash(std::string_view Prompt,
                                        std::size_t PrefixBytes) {
  if (Prompt.size() < PrefixBytes)
    return std::nullopt;
  return XXH3_64bits(Prompt.data(), PrefixBytes);
}

} // namespace fulmarwinch
