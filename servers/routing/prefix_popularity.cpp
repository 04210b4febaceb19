#include "servers/routing/prefix_popularity.h"

#include <iterator>

namespace fulmarwinch {

double PrefixPopularity::countRequest(std::uint64_t Prefix) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  double &Count = m_Counts[Prefix];
  Count += 1;
  m_Total += 1;
  const double Share = Count / m_Total;
  if (m_Total >= HalvingThreshold)
    halveCounts();
  return Share;
}

void PrefixPopularity::halveCounts() {
  // Deletes a prefix that had a single request before the previous halving. One
  // request that old says nothing about the popularity of the prefix.
  constexpr double MinCount = 0.4;
  m_Total = 0;
  for (auto Entry = m_Counts.begin(); Entry != m_Counts.end();) {
    Entry->second /= 2;
    if (Entry->second < MinCount) {
      Entry = m_Counts.erase(Entry);
      continue;
    }
    m_Total += Entry->second;
    ++Entry;
  }
}

} // namespace fulmarwinch
