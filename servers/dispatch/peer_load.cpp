#include "servers/dispatch/peer_load.h"

namespace fulmarwinch {

bool PeerLoad::setReport(const std::string &Peer, Report Load) {
  for (const auto &[Server, Count] : Load)
    if (Count > 0)
      m_InFlight[Server] += Count;
  const auto [Known, IsNew] = m_Reports.try_emplace(Peer);
  subtract(Known->second);
  Known->second = std::move(Load);
  return IsNew;
}

void PeerLoad::removeReport(const std::string &Peer) {
  const auto Known = m_Reports.find(Peer);
  if (Known == m_Reports.end())
    return;
  subtract(Known->second);
  m_Reports.erase(Known);
}

unsigned PeerLoad::inFlight(const std::string &Server) const {
  const auto Known = m_InFlight.find(Server);
  return Known == m_InFlight.end() ? 0 : Known->second;
}

void PeerLoad::subtract(const Report &Load) {
  for (const auto &[Server, Count] : Load) {
    if (Count == 0)
      continue;
    const auto Sum = m_InFlight.find(Server);
    Sum->second -= Count;
    if (Sum->second == 0)
      m_InFlight.erase(Sum);
  }
}

} // namespace fulmarwinch
