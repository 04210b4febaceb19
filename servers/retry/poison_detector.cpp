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
  if (Found->second.m_Refused)
    return PoisonVerdict::Refuse;
  return Found->second.m_BlamedServers.size() >= m_Settings.m_SuspectAfter
             ? PoisonVerdict::Isolate
             : PoisonVerdict::Run;
}

bool PoisonDetector::beginIsolation(ContentHash Hash,
                                    const std::string &Server) {
  if (m_IsolationBusy)
    return false;
  m_IsolationBusy = true;
  m_IsolatedHash = Hash;
  m_IsolationServer = Server;
  return true;
}

void PoisonDetector::cancelIsolation(ContentHash Hash) {
  if (m_IsolationBusy && m_IsolatedHash == Hash)
    m_IsolationBusy = false;
}

void PoisonDetector::onDispatch(ContentHash Hash, const std::string &Server) {
  ++m_InFlight[Server][Hash];
}

void PoisonDetector::onCompleted(ContentHash Hash, const std::string &Server,
                                 MonotonicTime Now) {
  if (!endInFlight(Hash, Server))
    return;
  const auto Found = m_Records.find(Hash);
  // A refusal stays until it expires: it follows from a crash with a single
  // cause, and a late response of an earlier attempt does not disprove that.
  if (Found == m_Records.end() || Found->second.m_Refused ||
      Found->second.m_BlamedServers.empty())
    return;
  ++Found->second.m_Generation;
  Found->second.m_BlamedServers.clear();
  Found->second.m_LastChange = Now;
}

void PoisonDetector::onEnded(ContentHash Hash, const std::string &Server) {
  endInFlight(Hash, Server);
}

void PoisonDetector::onServerCrash(const std::string &Server,
                                   MonotonicTime Now) {
  const auto Found = m_InFlight.find(Server);
  if (Found != m_InFlight.end()) {
    for (const auto &[Hash, Count] : Found->second) {
      Record &Entry = m_Records[Hash];
      if (isExpired(Entry, Now)) {
        Entry.m_BlamedServers.clear();
        Entry.m_Refused = false;
      }
      Entry.m_BlamedServers.insert(Server);
      Entry.m_LastChange = Now;
      if (m_IsolationBusy && Hash == m_IsolatedHash &&
          Server == m_IsolationServer)
        Entry.m_Refused = true;
    }
    m_InFlight.erase(Found);
  }
  if (m_IsolationBusy && Server == m_IsolationServer)
    m_IsolationBusy = false;
  while (m_Records.size() > m_Settings.m_MaxRecords)
    removeOldest();
}

std::vector<PoisonRecord> PoisonDetector::records(MonotonicTime Now) const {
  std::vector<PoisonRecord> Result;
  for (const auto &[Hash, Entry] : m_Records)
    if (!isExpired(Entry, Now))
      Result.push_back({Hash, Entry.m_Generation, Entry.m_BlamedServers,
                        Entry.m_Refused, Now - Entry.m_LastChange});
  return Result;
}

void PoisonDetector::merge(const std::vector<PoisonRecord> &Records,
                           MonotonicTime Now) {
  for (const PoisonRecord &Peer : Records) {
    if (Peer.m_Age > m_Settings.m_Expiry || Peer.m_Age < Duration::zero())
      continue;
    auto Found = m_Records.find(Peer.m_Hash);
    const bool Known =
        Found != m_Records.end() && !isExpired(Found->second, Now);
    if (!Known || Peer.m_Generation > Found->second.m_Generation) {
      const bool Refused = Peer.m_Refused || (Known && Found->second.m_Refused);
      m_Records[Peer.m_Hash] = {Peer.m_Generation, Peer.m_BlamedServers,
                                Refused, Now - Peer.m_Age};
      continue;
    }
    Record &Entry = Found->second;
    const bool Refuse = Peer.m_Refused && !Entry.m_Refused;
    Entry.m_Refused = Entry.m_Refused || Peer.m_Refused;
    bool Changed = Refuse;
    if (Peer.m_Generation == Entry.m_Generation)
      for (const std::string &Server : Peer.m_BlamedServers)
        Changed = Entry.m_BlamedServers.insert(Server).second || Changed;
    // The time is taken over only with new content. Otherwise two peers that
    // exchange the same record would prolong it by the link delay each time.
    if (Changed)
      Entry.m_LastChange = std::max(Entry.m_LastChange, Now - Peer.m_Age);
  }
  while (m_Records.size() > m_Settings.m_MaxRecords)
    removeOldest();
}

void PoisonDetector::removeExpired(MonotonicTime Now) {
  for (auto Entry = m_Records.begin(); Entry != m_Records.end();)
    Entry = isExpired(Entry->second, Now) ? m_Records.erase(Entry)
                                          : std::next(Entry);
}

bool PoisonDetector::isExpired(const Record &Entry, MonotonicTime Now) const {
  return Now - Entry.m_LastChange > m_Settings.m_Expiry;
}

bool PoisonDetector::endInFlight(ContentHash Hash, const std::string &Server) {
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
  if (m_IsolationBusy && Hash == m_IsolatedHash && Server == m_IsolationServer)
    m_IsolationBusy = false;
  return true;
}

void PoisonDetector::removeOldest() {
  const auto Oldest = std::min_element(
      m_Records.begin(), m_Records.end(), [](const auto &A, const auto &B) {
        return A.second.m_LastChange < B.second.m_LastChange;
      });
  m_Records.erase(Oldest);
}

} // namespace fulmarwinch
