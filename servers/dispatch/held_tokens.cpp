#include "servers/dispatch/held_tokens.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Weight of one request in the mean size. Sizes vary by a factor of ten.
constexpr double MeanWeight = 0.05;

} // namespace

void HeldTokens::onDispatched(const std::string &Server,
                              const std::string &Model, std::uint64_t Tokens) {
  if (Tokens == 0)
    return;
  m_OwnByServer[Server] += Tokens;
  m_OwnTotal += Tokens;
  const auto Size = static_cast<double>(Tokens);
  double &Mean = m_MeanByModel.try_emplace(Model, Size).first->second;
  Mean += (Size - Mean) * MeanWeight;
}

void HeldTokens::onEnded(const std::string &Server, std::uint64_t Tokens) {
  const auto Known = m_OwnByServer.find(Server);
  if (Known == m_OwnByServer.end())
    return;
  const std::uint64_t Released = std::min(Known->second, Tokens);
  m_OwnTotal -= Released;
  Known->second -= Released;
  if (Known->second == 0)
    m_OwnByServer.erase(Known);
}

std::uint64_t HeldTokens::own(const std::string &Server) const {
  const auto Known = m_OwnByServer.find(Server);
  return Known == m_OwnByServer.end() ? 0 : Known->second;
}

double HeldTokens::total(const std::string &Server, const std::string &Model,
                         const OtherRequests &Others,
                         std::uint64_t RequestTokens) const {
  return static_cast<double>(own(Server)) * (1.0 + Others.m_UnknownNodes) +
         Others.m_Reported * meanTokens(Model, RequestTokens);
}

bool HeldTokens::fits(std::uint64_t Capacity, const std::string &Server,
                      const std::string &Model, const OtherRequests &Others,
                      std::uint64_t RequestTokens) const {
  if (Capacity == 0)
    return true;
  const double Limit = MaxShare * static_cast<double>(Capacity) -
                       static_cast<double>(RequestTokens);
  // Usually all requests of this node together are below the limit.
  const double OthersTokens =
      Others.m_Reported * meanTokens(Model, RequestTokens);
  if (static_cast<double>(m_OwnTotal) * (1.0 + Others.m_UnknownNodes) +
          OthersTokens <=
      Limit)
    return true;
  return total(Server, Model, Others, RequestTokens) <= Limit;
}

double HeldTokens::meanTokens(const std::string &Model,
                              std::uint64_t RequestTokens) const {
  const auto Known = m_MeanByModel.find(Model);
  return Known == m_MeanByModel.end() ? static_cast<double>(RequestTokens)
                                      : Known->second;
}

} // namespace fulmarwinch
