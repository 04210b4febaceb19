#include "servers/fleet/backend_server.h"
#include "core/text.h"

#include <algorithm>
#include <arpa/inet.h>

namespace fulmarwinch {

std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return std::nullopt;
  std::uint32_t Port = 0;
  constexpr std::uint32_t MaxPort = 65535;
  if (!parseNumber(Text.substr(Colon + 1), Port) || Port == 0 || Port > MaxPort)
    return std::nullopt;
  Endpoint Result{Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
  in_addr Address{};
  if (inet_pton(AF_INET, Result.m_Ip.c_str(), &Address) != 1)
    return std::nullopt;
  return Result;
}

bool BackendServer::hasStagedWeights(const std::string &Model) const {
  return std::find(m_StagedModels.begin(), m_StagedModels.end(), Model) !=
         m_StagedModels.end();
}

} // namespace fulmarwinch
