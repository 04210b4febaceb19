#include "servers/routing/prefix_popularity.h"

#include <iterator>

namespace fulmarwinch {

double PrefixPopularity::count(std::uint64_t Prefix) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  double &Count = m_Counts[Prefix];
  Count += 1;
  m_Total += 1;
  const double Share = Count / m_Total;
  if (m_Total >= Window)
    halve();
  return Share;
}

void PrefixPopularity::halve() {
  // A prefix that was seen once a window ago says nothing about popularity.
  constexpr double Smallest = 0.4;
  m_Total = 0;
  for (auto Entry = m_Counts.begin(); Entry != m_Counts.end();) {
    Entry->second /= 2;
    if (Entry->second < Smallest) {
      Entry = m_Counts.erase(Entry);
      continue;
    }
    m_Total += Entry->second;
    ++Entry;
  }
}

} // namespace fulmarwinch
