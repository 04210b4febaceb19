#include "servers/retry/poison_detector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fulmarwinch {

namespace {

/// Maximum number of crashed servers in one record, so that the records fit
/// into the messages between nodes.
constexpr std::size_t MaxServersPerRecord = 16;

} // namespace

PoisonSettings poisonSettingsWithoutIsolation() {
  PoisonSettings Settings;
  Settings.m_MinCrashesForSuspect = 3;
  Settings.m_Expiry = std::chrono::minutes(1);
  Settings.m_MinCrashInterval = std::chrono::milliseconds(100);
  Settings.m_ExemptionTime = std::chrono::seconds(10);
  Settings.m_UsesIsolation = false;
  return Settings;
}

PoisonDetector::PoisonDetector(const PoisonSettings &Settings)
    : m_Settings(Settings) {}

PoisonVerdict PoisonDetector::verdict(ContentHash Hash,
                                      MonotonicTime Now) const {
  const auto Found = m_Records.find(Hash);
  if (Found == m_Records.end() || isExpired(Found->second, Now))
    return PoisonVerdict::Run;
  if (Found->second.m_Quarantined)
    return isTrialDue(Found->second, Now) && !isInFlight(Hash)
               ? PoisonVerdict::Run
               : PoisonVerdict::Refuse;
  return crashCount(Found->second) >= m_Settings.m_MinCrashesForSuspect
             ? PoisonVerdict::Isolate
             : PoisonVerdict::Run;
}

bool PoisonDetector::beginIsolation(ContentHash Hash,
                                    const std::string &Server) {
  if (m_IsolationInUse)
    return false;
  m_IsolationInUse = true;
  m_IsolatedHash = Hash;
  m_IsolationServer = Server;
  return true;
}

void PoisonDetector::cancelIsolation(ContentHash Hash) {
  if (m_IsolationInUse && m_IsolatedHash == Hash)
    m_IsolationInUse = false;
}

void PoisonDetector::onDispatch(ContentHash Hash, const std::string &Server) {
  ++m_InFlight[Server][Hash];
}

bool PoisonDetector::onCompleted(ContentHash Hash, const std::string &Server,
                                 MonotonicTime Now) {
  if (!removeInFlight(Hash, Server))
    return false;
  recordCompletion(Hash, Now);
  const auto Found = m_Records.find(Hash);
  // A quarantine after a crash in isolation remains until it expires: such a
  // crash has a single possible cause, and a late response of an earlier
  // attempt does not disprove that.
  if (Found == m_Records.end() || Found->second.m_CrashedServers.empty() ||
      (Found->second.m_Quarantined && m_Settings.m_UsesIsolation))
    return false;
  const bool WasQuarantined = Found->second.m_Quarantined;
  clearRecord(Found->second, Now);
  return WasQuarantined;
}

void PoisonDetector::onInconclusiveEnd(ContentHash Hash,
                                       const std::string &Server) {
  removeInFlight(Hash, Server);
}

void PoisonDetector::onServerCrash(const std::string &Server,
                                   MonotonicTime CrashedAt) {
  const auto Found = m_InFlight.find(Server);
  if (Found != m_InFlight.end()) {
    for (const auto &[Hash, Count] : Found->second) {
      if (isExempt(Hash, CrashedAt))
        continue;
      RequestRecord &Entry = m_Records[Hash];
      if (isExpired(Entry, CrashedAt)) {
        Entry.m_CrashedServers.clear();
        Entry.m_Quarantined = false;
      }
      recordCrash(Entry, Server, CrashedAt);
      Entry.m_LastChange = std::max(Entry.m_LastChange, CrashedAt);
      if (m_IsolationInUse && Hash == m_IsolatedHash &&
          Server == m_IsolationServer)
        Entry.m_Quarantined = true;
      quarantineSuspect(Entry);
    }
    m_InFlight.erase(Found);
  }
  if (m_IsolationInUse && Server == m_IsolationServer)
    m_IsolationInUse = false;
  removeSurplusRecords();
}

bool PoisonDetector::hasCrashes(ContentHash Hash, MonotonicTime Now) const {
  const auto Found = m_Records.find(Hash);
  return Found != m_Records.end() && !isExpired(Found->second, Now) &&
         !Found->second.m_CrashedServers.empty();
}

std::vector<PoisonRecord> PoisonDetector::records(MonotonicTime Now) const {
  std::vector<PoisonRecord> Result;
  for (const auto &[Hash, Entry] : m_Records) {
    if (isExpired(Entry, Now))
      continue;
    PoisonRecord Record{Hash, Entry.m_Generation,  Now - Entry.m_ClearedAt,
                        {},   Entry.m_Quarantined, Now - Entry.m_LastChange};
    for (const auto &[Server, CrashedAt] : Entry.m_CrashedServers)
      Record.m_CrashedServers.emplace(Server, Now - CrashedAt);
    Result.push_back(std::move(Record));
  }
  return Result;
}

bool PoisonDetector::merge(const std::vector<PoisonRecord> &Records,
                           MonotonicTime Now) {
  bool HasEndedQuarantine = false;
  for (const PoisonRecord &PeerRecord : Records) {
    if (PeerRecord.m_Age < Duration::zero() ||
        PeerRecord.m_Age > lifetime(PeerRecord.m_Quarantined,
                                    PeerRecord.m_CrashedServers.size()))
      continue;
    const auto Found = m_Records.find(PeerRecord.m_Hash);
    const bool Known =
        Found != m_Records.end() && !isExpired(Found->second, Now);
    if (!Known || PeerRecord.m_Generation > Found->second.m_Generation) {
      RequestRecord Replacement;
      Replacement.m_Generation = PeerRecord.m_Generation;
      Replacement.m_ClearedAt = Now - PeerRecord.m_ClearedAge;
      Replacement.m_Quarantined =
          PeerRecord.m_Quarantined ||
          (m_Settings.m_UsesIsolation && Known && Found->second.m_Quarantined);
      Replacement.m_LastChange = Now - PeerRecord.m_Age;
      // A completed run does not refute the crashes after it.
      if (Known)
        for (const auto &[Server, CrashedAt] : Found->second.m_CrashedServers)
          if (CrashedAt > Replacement.m_ClearedAt) {
            Replacement.m_CrashedServers.emplace(Server, CrashedAt);
            Replacement.m_LastChange =
                std::max(Replacement.m_LastChange, CrashedAt);
          }
      m_Records[PeerRecord.m_Hash] = std::move(Replacement);
    }
    RequestRecord &Entry = m_Records[PeerRecord.m_Hash];
    const bool IsSameGeneration = PeerRecord.m_Generation == Entry.m_Generation;
    bool Changed = false;
    if (PeerRecord.m_Quarantined &&
        (IsSameGeneration || m_Settings.m_UsesIsolation)) {
      Changed = !Entry.m_Quarantined;
      Entry.m_Quarantined = true;
    }
    if (IsSameGeneration)
      for (const auto &[Server, Age] : PeerRecord.m_CrashedServers)
        Changed = recordCrash(Entry, Server, Now - Age) || Changed;
    quarantineSuspect(Entry);
    // The time is updated only if the content changed. Otherwise two peers that
    // exchange the same record would extend its lifetime by the network delay
    // at each exchange.
    if (Changed)
      Entry.m_LastChange = std::max(Entry.m_LastChange, Now - PeerRecord.m_Age);
    if (!Entry.m_CrashedServers.empty() && isExempt(PeerRecord.m_Hash, Now)) {
      HasEndedQuarantine = HasEndedQuarantine || Entry.m_Quarantined;
      clearRecord(Entry, Now);
    }
  }
  removeSurplusRecords();
  return HasEndedQuarantine;
}

void PoisonDetector::removeExpired(MonotonicTime Now) {
  for (auto Entry = m_Records.begin(); Entry != m_Records.end();)
    Entry = isExpired(Entry->second, Now) ? m_Records.erase(Entry)
                                          : std::next(Entry);
  removeExpiredCompletions(Now);
}

void PoisonDetector::removeExpiredCompletions(MonotonicTime Now) {
  while (!m_CompletionsByTime.empty()) {
    const auto Earliest = m_CompletionsByTime.begin();
    if (Now - Earliest->first < m_Settings.m_ExemptionTime)
      return;
    m_LastCompletion.erase(Earliest->second);
    m_CompletionsByTime.erase(Earliest);
  }
}

bool PoisonDetector::isExpired(const RequestRecord &Entry,
                               MonotonicTime Now) const {
  return Now - Entry.m_LastChange >
         lifetime(Entry.m_Quarantined, crashCount(Entry));
}

Duration PoisonDetector::trialDelay(std::size_t Crashes) const {
  constexpr std::size_t MaxDoublings = 6;
  const std::size_t FurtherCrashes =
      Crashes - std::min(Crashes, m_Settings.m_MinCrashesForSuspect);
  return m_Settings.m_Expiry * (1U << std::min(MaxDoublings, FurtherCrashes));
}

bool PoisonDetector::isTrialDue(const RequestRecord &Entry,
                                MonotonicTime Now) const {
  return !m_Settings.m_UsesIsolation &&
         Now - Entry.m_LastChange > trialDelay(crashCount(Entry));
}

Duration PoisonDetector::lifetime(bool Quarantined, std::size_t Crashes) const {
  return Quarantined && !m_Settings.m_UsesIsolation ? 2 * trialDelay(Crashes)
                                                    : m_Settings.m_Expiry;
}

std::set<std::string>
PoisonDetector::firstCrashes(const RequestRecord &Entry) const {
  std::vector<std::pair<MonotonicTime, std::string>> Crashes;
  for (const auto &[Server, CrashedAt] : Entry.m_CrashedServers)
    Crashes.emplace_back(CrashedAt, Server);
  std::sort(Crashes.begin(), Crashes.end());
  std::set<std::string> Result;
  MonotonicTime CauseBegin{};
  for (auto &[CrashedAt, Server] : Crashes)
    if (Result.empty() ||
        CrashedAt - CauseBegin >= m_Settings.m_MinCrashInterval) {
      CauseBegin = CrashedAt;
      Result.insert(std::move(Server));
    }
  return Result;
}

std::size_t PoisonDetector::crashCount(const RequestRecord &Entry) const {
  return firstCrashes(Entry).size();
}

bool PoisonDetector::recordCrash(RequestRecord &Entry,
                                 const std::string &Server,
                                 MonotonicTime CrashedAt) const {
  std::map<std::string, MonotonicTime> &Crashes = Entry.m_CrashedServers;
  if (!Crashes.emplace(Server, CrashedAt).second)
    return false;
  if (Crashes.size() <= MaxServersPerRecord)
    return true;
  // Makes room by removing a crash that adds nothing to the count.
  const std::set<std::string> First = firstCrashes(Entry);
  const auto Surplus =
      std::find_if(Crashes.begin(), Crashes.end(), [&](const auto &Crash) {
        return First.count(Crash.first) == 0;
      });
  const bool IsKept = Surplus != Crashes.end() && Surplus->first != Server;
  Crashes.erase(Surplus == Crashes.end() ? Crashes.find(Server) : Surplus);
  return IsKept;
}

void PoisonDetector::quarantineSuspect(RequestRecord &Entry) const {
  if (!m_Settings.m_UsesIsolation &&
      crashCount(Entry) >= m_Settings.m_MinCrashesForSuspect)
    Entry.m_Quarantined = true;
}

bool PoisonDetector::isInFlight(ContentHash Hash) const {
  return std::any_of(
      m_InFlight.begin(), m_InFlight.end(),
      [Hash](const auto &Server) { return Server.second.count(Hash) != 0; });
}

bool PoisonDetector::isExempt(ContentHash Hash, MonotonicTime Now) const {
  const auto Run = m_LastCompletion.find(Hash);
  return Run != m_LastCompletion.end() &&
         Now - Run->second < m_Settings.m_ExemptionTime;
}

void PoisonDetector::recordCompletion(ContentHash Hash, MonotonicTime Now) {
  if (m_Settings.m_ExemptionTime == Duration::zero())
    return;
  removeExpiredCompletions(Now);
  const auto Known = m_LastCompletion.find(Hash);
  if (Known != m_LastCompletion.end())
    m_CompletionsByTime.erase({Known->second, Hash});
  else if (m_LastCompletion.size() >= m_Settings.m_MaxRecords)
    return;
  m_LastCompletion[Hash] = Now;
  m_CompletionsByTime.emplace(Now, Hash);
}

void PoisonDetector::clearRecord(RequestRecord &Entry, MonotonicTime Now) {
  ++Entry.m_Generation;
  Entry.m_ClearedAt = Now;
  Entry.m_CrashedServers.clear();
  Entry.m_Quarantined = false;
  Entry.m_LastChange = Now;
}

bool PoisonDetector::removeInFlight(ContentHash Hash,
                                    const std::string &Server) {
  const auto OnServer = m_InFlight.find(Server);
  if (OnServer == m_InFlight.end())
    return false;
  const auto Found = OnServer->second.find(Hash);
  if (Found == OnServer->second.end())
    return false;
  if (--Found->second == 0)
    OnServer->second.erase(Found);
  if (OnServer->second.empty())
    m_InFlight.erase(OnServer);
  if (m_IsolationInUse && Hash == m_IsolatedHash && Server == m_IsolationServer)
    m_IsolationInUse = false;
  return true;
}

void PoisonDetector::removeSurplusRecords() {
  if (m_Records.size() <= m_Settings.m_MaxRecords)
    return;
  using Iterator = std::map<ContentHash, RequestRecord>::iterator;
  std::vector<Iterator> Entries;
  for (auto Entry = m_Records.begin(); Entry != m_Records.end(); ++Entry)
    Entries.push_back(Entry);
  const auto Evidence = [](const Iterator &Entry) {
    const RequestRecord &Record = Entry->second;
    return std::make_tuple(Record.m_Quarantined, Record.m_CrashedServers.size(),
                           Record.m_LastChange);
  };
  const auto SurplusEnd =
      Entries.begin() +
      static_cast<std::ptrdiff_t>(m_Records.size() - m_Settings.m_MaxRecords);
  std::nth_element(Entries.begin(), SurplusEnd, Entries.end(),
                   [&](const Iterator &Left, const Iterator &Right) {
                     return Evidence(Left) < Evidence(Right);
                   });
  for (auto Entry = Entries.begin(); Entry != SurplusEnd; ++Entry)
    m_Records.erase(*Entry);
}

} // namespace fulmarwinch
