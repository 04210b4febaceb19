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
#include <utility>
#include <vector>

namespace fulmarwinch {

/// Hash of a request's content, or of a part of its content. The same content
/// has the same hash when it is sent again.
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
  /// Maximum number of hashes with a record; those with the fewest crashes are
  /// removed first, so that the parts of one long prompt displace none that is
  /// suspected.
  std::size_t m_MaxRecords = 4096;
  /// Servers that crash within this time of the first of them count as one
  /// crash: they have a common cause, such as the loss of their domain.
  Duration m_MinCrashInterval{0};
  /// Time for which a completed run exempts the content from being recorded.
  Duration m_ExemptionTime{0};
  /// If false, no request is run in isolation: a suspect is quarantined at
  /// once, and any completed run ends the quarantine. m_Expiry is then the time
  /// until one request with the content may run; it doubles with each further
  /// crash.
  bool m_UsesIsolation = true;
};

/// Returns the limits for a node that has no server to run suspects on in
/// isolation.
PoisonSettings poisonSettingsWithoutIsolation();

/// Crashes recorded for one request, in the form that nodes exchange. The time
/// is given as an age, because the clocks of different nodes are not
/// comparable.
struct PoisonRecord {
  ContentHash m_Hash = 0;
  /// Increases when a completed run clears the request, so that crashes
  /// recorded before cannot return through gossip.
  std::uint64_t m_Generation = 0;
  /// Time since the request was cleared for the last time; meaningless in
  /// generation 0.
  Duration m_ClearedAge{0};
  /// Servers that crashed while the request was in flight there, with the time
  /// since each crash.
  std::map<std::string, Duration> m_CrashedServers;
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
  /// Must be called when the request completed on \p Server. Output of a
  /// request that is not complete does not show that it crashes no server.
  /// Clears the crashes recorded for it, unless it is in a quarantine that a
  /// completed run does not end. Returns true if this ended a quarantine, which
  /// the peers then have to be told; other cleared records can wait until
  /// records are exchanged.
  bool onCompleted(ContentHash Hash, const std::string &Server,
                   MonotonicTime Now);
  /// Must be called when the request ended on \p Server in a way that does not
  /// show whether it crashes servers, for example by a cancellation.
  void onInconclusiveEnd(ContentHash Hash, const std::string &Server);
  /// Must be called when \p Server is known to have crashed at \p CrashedAt.
  /// Records the crash for every request in flight there.
  void onServerCrash(const std::string &Server, MonotonicTime CrashedAt);
  /// True if a crash is recorded for the content.
  bool hasCrashes(ContentHash Hash, MonotonicTime Now) const;
  /// True if a request is in flight on \p Server that its crash would be
  /// recorded for.
  bool hasSuspects(const std::string &Server) const {
    return m_InFlight.count(Server) != 0;
  }

  /// Returns the unexpired records, to be sent to peers.
  std::vector<PoisonRecord> records(MonotonicTime Now) const;
  /// Merges the records of a peer into this node's records. Returns true if a
  /// quarantine was ended because of a recent completed run on this node, which
  /// the peers then have to be told.
  bool merge(const std::vector<PoisonRecord> &Records, MonotonicTime Now);
  /// Removes expired records.
  void removeExpired(MonotonicTime Now);

private:
  struct RequestRecord {
    std::uint64_t m_Generation = 0;
    MonotonicTime m_ClearedAt{};
    /// Times of the crashes, by server.
    std::map<std::string, MonotonicTime> m_CrashedServers;
    bool m_Quarantined = false;
    MonotonicTime m_LastChange{};
  };

  bool isExpired(const RequestRecord &Entry, MonotonicTime Now) const;
  /// True if one request may run, although its content is quarantined.
  bool isTrialDue(const RequestRecord &Entry, MonotonicTime Now) const;
  /// Time from the last crash of a quarantined content to the next trial.
  Duration trialDelay(std::size_t Crashes) const;
  /// Time after its last change for which a record is kept. \p Crashes is the
  /// number of crashes with different causes, or an upper bound of it.
  Duration lifetime(bool Quarantined, std::size_t Crashes) const;
  /// Returns the servers whose crash is the first one of its cause.
  std::set<std::string> firstCrashes(const RequestRecord &Entry) const;
  /// Number of crashes with different causes.
  std::size_t crashCount(const RequestRecord &Entry) const;
  /// Returns false if the crash is already recorded or the record is full.
  bool recordCrash(RequestRecord &Entry, const std::string &Server,
                   MonotonicTime CrashedAt) const;
  /// Quarantines a suspect if none can be run in isolation.
  void quarantineSuspect(RequestRecord &Entry) const;
  bool isInFlight(ContentHash Hash) const;
  bool isExempt(ContentHash Hash, MonotonicTime Now) const;
  void recordCompletion(ContentHash Hash, MonotonicTime Now);
  /// Looks at expired completions only: it runs for each part of each prompt.
  void removeExpiredCompletions(MonotonicTime Now);
  void clearRecord(RequestRecord &Entry, MonotonicTime Now);
  bool removeInFlight(ContentHash Hash, const std::string &Server);
  /// Removes the records with the least evidence, and of these the oldest,
  /// until m_MaxRecords are left.
  void removeSurplusRecords();

  PoisonSettings m_Settings;
  std::map<ContentHash, RequestRecord> m_Records;
  /// Requests in flight by backend server, with the number of attempts of each.
  std::map<std::string, std::map<ContentHash, std::size_t>> m_InFlight;
  /// Time of the last completed run, by content, and the same in the order of
  /// time.
  std::map<ContentHash, MonotonicTime> m_LastCompletion;
  std::set<std::pair<MonotonicTime, ContentHash>> m_CompletionsByTime;
  bool m_IsolationInUse = false;
  ContentHash m_IsolatedHash = 0;
  std::string m_IsolationServer;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_POISON_DETECTOR_H
