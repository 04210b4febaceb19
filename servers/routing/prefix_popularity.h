#ifndef FULMARWINCH_SERVERS_ROUTING_PREFIX_POPULARITY_H
#define FULMARWINCH_SERVERS_ROUTING_PREFIX_POPULARITY_H

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace fulmarwinch {

/// Estimates which share of the requests has a given prefix. Safe for
/// concurrent use.
class PrefixPopularity {
public:
  /// Requests after which all counts are halved, so that old ones lose weight.
  /// It also bounds the number of prefixes that are kept.
  static constexpr double Window = 2048;

  /// Counts a request with \p Prefix and returns the share of that prefix.
  double count(std::uint64_t Prefix);

private:
  void halve();

  std::mutex m_Mutex;
  std::unordered_map<std::uint64_t, double> m_Counts;
  double m_Total = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_PREFIX_POPULARITY_H
