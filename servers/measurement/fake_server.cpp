#include "servers/measurement/fake_server.h"

#include <algorithm>

namespace fulmarwinch {

FakeServer::FakeServer(const FakeServerSettings &Settings)
    : m_Settings(Settings) {}

FakeRequestTimes FakeServer::startRequest(std::uint64_t Prefix,
                                          std::size_t PrefixTokens,
                                          std::size_t SuffixTokens,
                                          std::size_t OutputTokens,
                                          double Now) {
  ++m_InFlight;
  while (!m_EndTimes.empty() && m_EndTimes.front() <= Now)
    m_EndTimes.pop_front();
  // A request above the capacity is queued until enough others have ended.
  const double Start =
      m_EndTimes.size() < m_Settings.m_Capacity
          ? Now
          : m_EndTimes[m_EndTimes.size() - m_Settings.m_Capacity];
  const bool IsCacheHit = lookUpPrefix(Prefix);
  m_CacheHits += IsCacheHit ? 1 : 0;
  const double PrefillTokens =
      static_cast<double>(SuffixTokens + (IsCacheHit ? 0 : PrefixTokens));
  const double PrefillStart = std::max(m_PrefillFreeAt, Start);
  m_PrefillFreeAt = PrefillStart + PrefillTokens /
                                       m_Settings.m_PrefillTokensPerSecond *
                                       m_Settings.m_SlowdownFactor;
  const double PerToken =
      m_Settings.m_PerTokenSeconds * m_Settings.m_SlowdownFactor;
  const FakeRequestTimes Times{m_PrefillFreeAt + PerToken,
                               m_PrefillFreeAt +
                                   PerToken * static_cast<double>(OutputTokens),
                               Start, PrefillStart, IsCacheHit};
  m_EndTimes.insert(
      std::upper_bound(m_EndTimes.begin(), m_EndTimes.end(), Times.m_EndAt),
      Times.m_EndAt);
  return Times;
}

void FakeServer::endRequest() {
  --m_InFlight;
  ++m_Completed;
}

void FakeServer::makeCold(double Now, double FlagSeconds) {
  m_ColdSince = Now;
  m_WarmingSince = Now + FlagSeconds;
  m_PrefixCache.clear();
}

std::size_t FakeServer::maxInFlight(double Now) const {
  if (!m_ColdSince)
    return m_Settings.m_Capacity;
  std::size_t Limit = m_Settings.m_ColdCapacity;
  for (double At = m_WarmingSince + 0.245;
       At <= Now && Limit < m_Settings.m_Capacity; At += 0.245)
    Limit *= 2;
  return std::min(Limit, m_Settings.m_Capacity);
}

bool FakeServer::lookUpPrefix(std::uint64_t Prefix) {
  const auto Found =
      std::find(m_PrefixCache.begin(), m_PrefixCache.end(), Prefix);
  const bool IsCacheHit = Found != m_PrefixCache.end();
  if (IsCacheHit)
    m_PrefixCache.erase(Found);
  m_PrefixCache.push_front(Prefix);
  if (m_PrefixCache.size() > m_Settings.m_CacheCapacity)
    m_PrefixCache.pop_back();
  return IsCacheHit;
}

} // namespace fulmarwinch
