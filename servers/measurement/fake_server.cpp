#include "servers/measurement/fake_server.h"

#include <algorithm>

namespace fulmarwinch {

FakeServer::FakeServer(const FakeServerSettings &Settings)
    : m_Settings(Settings) {}

FakeTimes FakeServer::start(std::uint64_t Prefix, std::size_t PrefixTokens,
                            std::size_t OwnTokens, std::size_t OutputTokens,
                            double Now) {
  ++m_InFlight;
  while (!m_Ends.empty() && m_Ends.front() <= Now)
    m_Ends.pop_front();
  // A request above the capacity starts when enough others have ended.
  const double Start = m_Ends.size() < m_Settings.m_Capacity
                           ? Now
                           : m_Ends[m_Ends.size() - m_Settings.m_Capacity];
  const bool Hit = lookUp(Prefix);
  m_Hits += Hit ? 1 : 0;
  const double Tokens =
      static_cast<double>(OwnTokens + (Hit ? 0 : PrefixTokens));
  const double ReadFrom = std::max(m_PrefillFree, Start);
  m_PrefillFree =
      ReadFrom + Tokens / m_Settings.m_PrefillRate * m_Settings.m_Slowness;
  const double PerToken = m_Settings.m_PerTokenSeconds * m_Settings.m_Slowness;
  const FakeTimes Times{m_PrefillFree + PerToken,
                        m_PrefillFree +
                            PerToken * static_cast<double>(OutputTokens),
                        Start, ReadFrom, Hit};
  m_Ends.insert(std::upper_bound(m_Ends.begin(), m_Ends.end(), Times.m_End),
                Times.m_End);
  return Times;
}

void FakeServer::finish() {
  --m_InFlight;
  ++m_Completed;
}

void FakeServer::turnCold(double Now, double FlagSeconds) {
  m_ColdAt = Now;
  m_WarmingSince = Now + FlagSeconds;
  m_Cache.clear();
}

std::size_t FakeServer::bearable(double Now) const {
  if (!m_ColdAt)
    return m_Settings.m_Capacity;
  std::size_t Limit = m_Settings.m_ColdCapacity;
  for (double At = m_WarmingSince + 0.245;
       At <= Now && Limit < m_Settings.m_Capacity; At += 0.245)
    Limit *= 2;
  return std::min(Limit, m_Settings.m_Capacity);
}

bool FakeServer::lookUp(std::uint64_t Prefix) {
  const auto Found = std::find(m_Cache.begin(), m_Cache.end(), Prefix);
  const bool Hit = Found != m_Cache.end();
  if (Hit)
    m_Cache.erase(Found);
  m_Cache.push_front(Prefix);
  if (m_Cache.size() > m_Settings.m_CachedPrefixes)
    m_Cache.pop_back();
  return Hit;
}

} // namespace fulmarwinch
