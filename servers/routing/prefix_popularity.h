#ifndef FULMARWINCH_SERVERS_ROUTING_PREFIX_POPULARITY_H
#define FULMARWINCH_SERVERS_ROUTING_PREFIX_POPULARITY_H

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace fulmarwinch {

/// Estimates the share of the requests that start with a given prompt prefix.
/// Safe for concurrent use.
class PrefixPopularity {
public:
  /// All counts are halved when their total reaches this number of requests, so
  /// that old requests lose weight. This also bounds the number of prefixes in
  /// memory.
  static constexpr double HalvingThreshold = 2048;

  /// Counts a request whose prefix has the hash \p Prefix and returns the share
  /// of that prefix, between 0 and 1.
  double countRequest(std::uint64_t Prefix);

private:
  /// Halves all counts and deletes prefixes that have become rare.
  void halveCounts();

  std::mutex m_Mutex;
  std::unordered_map<std::uint64_t, double> m_Counts;
  double m_Total = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_PREFIX_POPULARITY_H
