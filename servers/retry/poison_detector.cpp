#include "servers/retry/poison_detector.h"

#include <algorithm>

namespace fulmarwinch {

PoisonDetector::PoisonDetector(const PoisonSettings &Settings)
    : m_Settings(Settings) {}

PoisonVerdict PoisonDetector::verdict(ContentHash Hash,
                                      MonotonicTime Now) const {
  const auto Found = m_Records.find(Hash);
  if (Found == m_Records.end() || isExpired(Found->second, Now))
    return PoisonVerdict::Run;
  if (Found->second.m_Quarantined)
    return PoisonVerdict::Refuse;
  return Found->second.m_CrashedServers.size() >=
                 m_Settings.m_MinCrashesForSuspect
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

void PoisonDetector::onCompleted(ContentHash Hash, const std::string &Server,
                                 MonotonicTime Now) {
  if (!removeInFlight(Hash, Server))
    return;
  const auto Found = m_Records.find(Hash);
  // A quarantine remains until it expires: it results from a crash in
  // isolation, which has a single possible cause, and a late response of an
  // earlier attempt does not disprove that.
  if (Found == m_Records.end() || Found->second.m_Quarantined ||
      Found->second.m_CrashedServers.empty())
    return;
  ++Found->second.m_Generation;
  Found->second.m_CrashedServers.clear();
  Found->second.m_LastChange = Now;
}

void PoisonDetector::onInconclusiveEnd(ContentHash Hash,
                                       const std::string &Server) {
  removeInFlight(Hash, Server);
}

void PoisonDetector::onServerCrash(const std::string &Server,
                                   MonotonicTime Now) {
  const auto Found = m_InFlight.find(Server);
  if (Found != m_InFlight.end()) {
    for (const auto &[Hash, Count] : Found->second) {
      RequestRecord &Entry = m_Records[Hash];
      if (isExpired(Entry, Now)) {
        Entry.m_CrashedServers.clear();
        Entry.m_Quarantined = false;
      }
      Entry.m_CrashedServers.insert(Server);
      Entry.m_LastChange = Now;
      if (m_IsolationInUse && Hash == m_IsolatedHash &&
          Server == m_IsolationServer)
        Entry.m_Quarantined = true;
    }
    m_InFlight.erase(Found);
  }
  if (m_IsolationInUse && Server == m_IsolationServer)
    m_IsolationInUse = false;
  while (m_Records.size() > m_Settings.m_MaxRecords)
    removeOldestRecord();
}

std::vector<PoisonRecord> PoisonDetector::records(MonotonicTime Now) const {
  std::vector<PoisonRecord> Result;
  for (const auto &[Hash, Entry] : m_Records)
    if (!isExpired(Entry, Now))
      Result.push_back({Hash, Entry.m_Generation, Entry.m_CrashedServers,
                        Entry.m_Quarantined, Now - Entry.m_LastChange});
  return Result;
}

void PoisonDetector::merge(const std::vector<PoisonRecord> &Records,
                           MonotonicTime Now) {
  for (const PoisonRecord &PeerRecord : Records) {
    if (PeerRecord.m_Age > m_Settings.m_Expiry ||
        PeerRecord.m_Age < Duration::zero())
      continue;
    auto Found = m_Records.find(PeerRecord.m_Hash);
    const bool Known =
        Found != m_Records.end() && !isExpired(Found->second, Now);
    if (!Known || PeerRecord.m_Generation > Found->second.m_Generation) {
      const bool Refused =
          PeerRecord.m_Quarantined || (Known && Found->second.m_Quarantined);
      m_Records[PeerRecord.m_Hash] = {PeerRecord.m_Generation,
                                      PeerRecord.m_CrashedServers, Refused,
                                      Now - PeerRecord.m_Age};
      continue;
    }
    RequestRecord &Entry = Found->second;
    const bool BecomesRefused =
        PeerRecord.m_Quarantined && !Entry.m_Quarantined;
    Entry.m_Quarantined = Entry.m_Quarantined || PeerRecord.m_Quarantined;
    bool Changed = BecomesRefused;
    if (PeerRecord.m_Generation == Entry.m_Generation)
      for (const std::string &Server : PeerRecord.m_CrashedServers)
        Changed = Entry.m_CrashedServers.insert(Server).second || Changed;
    // The time is updated only if the content changed. Otherwise two peers that
    // exchange the same record would extend its lifetime by the network delay
    // at each exchange.
    if (Changed)
      Entry.m_LastChange = std::max(Entry.m_LastChange, Now - PeerRecord.m_Age);
  }
  while (m_Records.size() > m_Settings.m_MaxRecords)
    removeOldestRecord();
}

void PoisonDetector::removeExpired(MonotonicTime Now) {
  for (auto Entry = m_Records.begin(); Entry != m_Records.end();)
    Entry = isExpired(Entry->second, Now) ? m_Records.erase(Entry)
                                          : std::next(Entry);
}

bool PoisonDetector::isExpired(const RequestRecord &Entry,
                               MonotonicTime Now) const {
  return Now - Entry.m_LastChange > m_Settings.m_Expiry;
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

void PoisonDetector::removeOldestRecord() {
  const auto Oldest = std::min_element(
      m_Records.begin(), m_Records.end(), [](const auto &A, const auto &B) {
        return A.second.m_LastChange < B.second.m_LastChange;
      });
  m_Records.erase(Oldest);
}

} // namespace fulmarwinch
