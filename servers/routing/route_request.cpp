#include "servers/routing/route_request.h"

#include "fmt/format.h"
#include "xxhash.h"

namespace fulmarwinch {

RequestClass requestClass(const RouteRequest &Request) {
  std::size_t LengthLog2 = 0;
  for (std::size_t RemainingLength = Request.m_PromptTokens;
       RemainingLength > 1; RemainingLength /= 2)
    ++LengthLog2;
  // The size of the adapter name precedes it, so that no two pairs of adapter
  // and version give the same text.
  const std::string Text =
      fmt::format("{}:{}:{}{}", LengthLog2, Request.m_Adapter.size(),
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
