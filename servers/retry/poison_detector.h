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

/// Hash of a request's content; the same request sent again has the same one.
using ContentHash = std::uint64_t;

/// How a request may run.
enum class PoisonVerdict {
  /// Without restriction.
  Run,
  /// Only in isolation: beginIsolation() must succeed first.
  Isolate,
  /// Not at all; the request is quarantined.
  Refuse,
};

inline constexpr std::array<EnumName<PoisonVerdict>, 3> PoisonVerdictNames{{
    {PoisonVerdict::Run, "run"},
    {PoisonVerdict::Isolate, "isolate"},
    {PoisonVerdict::Refuse, "refuse"},
}};

/// Limits of the poison detector.
struct PoisonSettings {
  /// Crashes on distinct backend servers that make a request a suspect.
  std::size_t m_SuspectAfter = 2;
  Duration m_Expiry = std::chrono::hours(1);
  /// Most request hashes that are remembered; the oldest are forgotten first.
  std::size_t m_MaxRecords = 4096;
};

/// Blame of one request in the form that nodes exchange. Times are ages,
/// because clocks of different nodes are never compared.
struct PoisonRecord {
  ContentHash m_Hash = 0;
  /// Increases when the request is cleared, so that blame from before cannot
  /// return through gossip.
  std::uint64_t m_Generation = 0;
  std::set<std::string> m_BlamedServers;
  bool m_Refused = false;
  Duration m_Age{0};
};

/// Finds requests that crash backend servers. The caller serialises access.
class PoisonDetector {
public:
  explicit PoisonDetector(const PoisonSettings &Settings = {});

  /// Tells how a request with this content may run.
  PoisonVerdict verdict(ContentHash Hash, MonotonicTime Now) const;

  /// Reserves the isolation place for a suspect on \p Server. Returns false
  /// while another suspect runs; the caller queues the request or answers
  /// with "isolated". Suspects run one at a time so that a crash has one
  /// possible cause among them.
  bool beginIsolation(ContentHash Hash, const std::string &Server);

  /// Gives the isolation place back if the suspect was not dispatched.
  void cancelIsolation(ContentHash Hash);

  void onDispatch(ContentHash Hash, const std::string &Server);
  /// The request completed on \p Server, which clears it of suspicion.
  void onCompleted(ContentHash Hash, const std::string &Server,
                   MonotonicTime Now);
  /// The request ended on \p Server for a reason that says nothing about it,
  /// for example a cancellation.
  void onEnded(ContentHash Hash, const std::string &Server);
  /// \p Server crashed: every request in flight there is blamed.
  void onServerCrash(const std::string &Server, MonotonicTime Now);

  /// Records to send to peers.
  std::vector<PoisonRecord> records(MonotonicTime Now) const;
  /// Adds what a peer knows.
  void merge(const std::vector<PoisonRecord> &Records, MonotonicTime Now);
  /// Forgets records that expired.
  void removeExpired(MonotonicTime Now);

private:
  struct Record {
    std::uint64_t m_Generation = 0;
    std::set<std::string> m_BlamedServers;
    bool m_Refused = false;
    MonotonicTime m_LastChange{};
  };

  bool isExpired(const Record &Entry, MonotonicTime Now) const;
  bool endInFlight(ContentHash Hash, const std::string &Server);
  void removeOldest();

  PoisonSettings m_Settings;
  std::map<ContentHash, Record> m_Records;
  /// Requests in flight per backend server, with their number.
  std::map<std::string, std::map<ContentHash, std::size_t>> m_InFlight;
  bool m_IsolationBusy = false;
  ContentHash m_IsolatedHash = 0;
  std::string m_IsolationServer;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_POISON_DETECTOR_H
