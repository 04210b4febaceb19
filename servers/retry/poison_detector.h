#ifndef FULMARWINCH_SERVERS_RETRY_POISON_DETECTOR_H
#define FULMARWINCH_SERVERS_RETRY_POISON_DETECTOR_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Hash of a request's content. The same request has the same hash when it is
/// sent again.
using ContentHash = std::uint64_t;

/// Restriction under which a request may run.
enum class PoisonVerdict {
  /// The request may run without restriction.
  Run,
  /// The request may only run in isolation: beginIsolation() must succeed
  /// first.
  Isolate,
  /// The request must not run; it is quarantined.
  Refuse,
};

inline constexpr std::array<EnumName<PoisonVerdict>, 3> PoisonVerdictNames{{
    {PoisonVerdict::Run, "run"},
    {PoisonVerdict::Isolate, "isolate"},
    {PoisonVerdict::Refuse, "refuse"},
}};

/// Limits of the poison detector.
struct PoisonSettings {
  /// Number of distinct backend servers that must crash while running a request
  /// before the request becomes a suspect.
  std::size_t m_MinCrashesForSuspect = 2;
  /// Time after its last change at which a record expires.
  Duration m_Expiry = std::chrono::hours(1);
  /// Maximum number of request hashes with a record; the oldest are removed
  /// first.
  std::size_t m_MaxRecords = 4096;
};

/// Crashes recorded for one request, in the form that nodes exchange. The time
/// is given as an age, because the clocks of different nodes are not
/// comparable.
struct PoisonRecord {
  ContentHash m_Hash = 0;
  /// Increases when a completed run clears the request, so that crashes
  /// recorded before cannot return through gossip.
  std::uint64_t m_Generation = 0;
  /// Servers that crashed while the request was in flight there.
  std::set<std::string> m_CrashedServers;
  /// The request crashed a server in isolation.
  bool m_Quarantined = false;
  /// Time since the last change of the record.
  Duration m_Age{0};
};

/// Finds requests that crash backend servers (poison requests). Not
/// thread-safe: the caller serialises access.
class PoisonDetector {
public:
  explicit PoisonDetector(const PoisonSettings &Settings = {});

  /// Returns the restriction under which the request may run.
  PoisonVerdict verdict(ContentHash Hash, MonotonicTime Now) const;

  /// Reserves the isolation slot for a suspect that will run on \p Server.
  /// Returns false while another suspect runs; the caller then queues the
  /// request or responds with "isolated". Suspects run one at a time, so that
  /// only one of them can be the cause of a crash.
  bool beginIsolation(ContentHash Hash, const std::string &Server);

  /// Releases the isolation slot of a suspect that was not dispatched.
  void cancelIsolation(ContentHash Hash);

  /// Must be called when the request was sent to \p Server and is in flight
  /// there.
  void onDispatch(ContentHash Hash, const std::string &Server);
  /// Must be called when the request completed on \p Server. Clears the crashes
  /// recorded for it, unless it is quarantined.
  void onCompleted(ContentHash Hash, const std::string &Server,
                   MonotonicTime Now);
  /// Must be called when the request ended on \p Server in a way that does not
  /// show whether it crashes servers, for example by a cancellation.
  void onInconclusiveEnd(ContentHash Hash, const std::string &Server);
  /// Must be called when \p Server crashed. Records the crash for every request
  /// in flight there.
  void onServerCrash(const std::string &Server, MonotonicTime Now);

  /// Returns the unexpired records, to be sent to peers.
  std::vector<PoisonRecord> records(MonotonicTime Now) const;
  /// Merges the records of a peer into this node's records.
  void merge(const std::vector<PoisonRecord> &Records, MonotonicTime Now);
  /// Removes expired records.
  void removeExpired(MonotonicTime Now);

private:
  struct RequestRecord {
    std::uint64_t m_Generation = 0;
    std::set<std::string> m_CrashedServers;
    bool m_Quarantined = false;
    MonotonicTime m_LastChange{};
  };

  bool isExpired(const RequestRecord &Entry, MonotonicTime Now) const;
  bool removeInFlight(ContentHash Hash, const std::string &Server);
  void removeOldestRecord();

  PoisonSettings m_Settings;
  std::map<ContentHash, RequestRecord> m_Records;
  /// Requests in flight by backend server, with the number of attempts of each.
  std::map<std::string, std::map<ContentHash, std::size_t>> m_InFlight;
  bool m_IsolationInUse = false;
  ContentHash m_IsolatedHash = 0;
  std::string m_IsolationServer;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_POISON_DETECTOR_H
