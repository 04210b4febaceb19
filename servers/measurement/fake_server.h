#ifndef FULMARWINCH_SERVERS_MEASUREMENT_FAKE_SERVER_H
#define FULMARWINCH_SERVERS_MEASUREMENT_FAKE_SERVER_H

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>

namespace fulmarwinch {

/// Fixed delays of a fake backend server.
struct FakeServerSettings {
  std::size_t m_Capacity = 16;
  std::size_t m_ColdCapacity = 2;
  /// Prompt tokens per second that are not in the prefix cache.
  double m_PrefillRate = 16000;
  double m_PerTokenSeconds = 0.02;
  /// Prefixes that the cache holds.
  std::size_t m_CachedPrefixes = 12;
  /// Factor on all times; above 1 for a straggler.
  double m_Slowness = 1;
  /// Fails requests of the special class at once.
  bool m_FailsSpecialClass = false;
};

/// Times of one request on a fake backend server, in seconds of the run.
struct FakeTimes {
  double m_FirstToken = 0;
  double m_End = 0;
  /// When a place was free and when reading the prompt began.
  double m_Placed = 0;
  double m_ReadFrom = 0;
  bool m_Hit = false;
};

/// Backend server made of a capacity, a prefix cache and delays.
class FakeServer {
public:
  explicit FakeServer(const FakeServerSettings &Settings);

  /// A request arrived. Returns its times, with the wait for a free place.
  FakeTimes start(std::uint64_t Prefix, std::size_t PrefixTokens,
                  std::size_t OwnTokens, std::size_t OutputTokens, double Now);
  void finish();

  void turnCold(double Now, double FlagSeconds);
  bool cold(double Now) const { return Now < m_WarmingSince; }
  /// Requests in flight that the server bears now; doubles each 245 ms after
  /// the cold flag ended.
  std::size_t bearable(double Now) const;

  std::size_t inFlight() const { return m_InFlight; }
  std::uint64_t completed() const { return m_Completed; }
  std::uint64_t hits() const { return m_Hits; }
  const FakeServerSettings &settings() const { return m_Settings; }

private:
  bool lookUp(std::uint64_t Prefix);

  FakeServerSettings m_Settings;
  std::size_t m_InFlight = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Hits = 0;
  double m_PrefillFree = 0;
  std::optional<double> m_ColdAt;
  double m_WarmingSince = 0;
  /// Least recently used prefix last.
  std::list<std::uint64_t> m_Cache;
  /// Ends of the requests in flight, sorted.
  std::deque<double> m_Ends;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_FAKE_SERVER_H
