#ifndef FULMARWINCH_SERVERS_MEASUREMENT_FAKE_SERVER_H
#define FULMARWINCH_SERVERS_MEASUREMENT_FAKE_SERVER_H

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>

namespace fulmarwinch {

/// Capacity, cache size and fixed delays of a fake backend server.
struct FakeServerSettings {
  /// Requests that a warm server runs at the same time.
  std::size_t m_Capacity = 16;
  /// Requests that a cold server can run at the same time at the start of its
  /// warm-up.
  std::size_t m_ColdCapacity = 2;
  /// Prefill rate in tokens per second, for tokens not in the prefix cache.
  double m_PrefillTokensPerSecond = 16000;
  double m_PerTokenSeconds = 0.02;
  /// Number of prefixes that fit into the prefix cache.
  std::size_t m_CacheCapacity = 12;
  /// Factor on all delays; above 1 for a straggler.
  double m_SlowdownFactor = 1;
  /// The server fails all requests of the special class at once.
  bool m_FailsSpecialClass = false;
};

/// Times of one request on a fake backend server, in seconds since the start of
/// the simulation.
struct FakeRequestTimes {
  double m_FirstTokenAt = 0;
  double m_EndAt = 0;
  /// End of the wait in the server's queue.
  double m_QueueWaitEnd = 0;
  /// Start of the prefill.
  double m_PrefillStart = 0;
  /// The prefix was in the prefix cache.
  bool m_CacheHit = false;
};

/// Model of a backend server with a capacity, a queue, a prefix cache, fixed
/// delays and a warm-up.
class FakeServer {
public:
  explicit FakeServer(const FakeServerSettings &Settings);

  /// Starts a request at \p Now. Returns its times, including the wait in the
  /// queue. \p SuffixTokens are the prompt tokens after the prefix.
  FakeRequestTimes startRequest(std::uint64_t Prefix, std::size_t PrefixTokens,
                                std::size_t SuffixTokens,
                                std::size_t OutputTokens, double Now);
  /// Ends one request in flight.
  void endRequest();

  /// Makes the server cold and clears its prefix cache. It reports the cold
  /// state for \p FlagSeconds and then warms up.
  void makeCold(double Now, double FlagSeconds);
  bool reportsCold(double Now) const { return Now < m_WarmingSince; }
  /// Returns the limit of requests in flight. A cold server starts at its cold
  /// capacity; the limit doubles every 245 ms after it stops reporting cold.
  std::size_t maxInFlight(double Now) const;

  std::size_t inFlight() const { return m_InFlight; }
  std::uint64_t completed() const { return m_Completed; }
  std::uint64_t cacheHits() const { return m_CacheHits; }
  const FakeServerSettings &settings() const { return m_Settings; }

private:
  bool lookUpPrefix(std::uint64_t Prefix);

  FakeServerSettings m_Settings;
  std::size_t m_InFlight = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_CacheHits = 0;
  double m_PrefillFreeAt = 0;
  std::optional<double> m_ColdSince;
  double m_WarmingSince = 0;
  /// Cached prefixes, least recently used last.
  std::list<std::uint64_t> m_PrefixCache;
  /// End times of the requests in flight, sorted.
  std::deque<double> m_EndTimes;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_FAKE_SERVER_H
