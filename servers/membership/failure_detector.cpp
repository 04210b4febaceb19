#include "servers/membership/failure_detector.h"

namespace fulmarwinch {

void FailureDetector::setPeers(const std::set<std::string> &Peers,
                               MonotonicTime Now) {
  for (auto Entry = m_Peers.begin(); Entry != m_Peers.end();)
    Entry = Peers.count(Entry->first) ? std::next(Entry) : m_Peers.erase(Entry);
  for (const std::string &Id : Peers)
    if (m_Peers.count(Id) == 0)
      m_Peers[Id].m_NextPing = Now;
}

std::optional<MonotonicTime>
FailureDetector::onResponse(const std::string &Peer, std::uint64_t Sequence) {
  const auto Entry = m_Peers.find(Peer);
  if (Entry == m_Peers.end() || Sequence > Entry->second.m_Sequence)
    return std::nullopt;
  Entry->second.m_Missed = 0;
  if (Sequence != Entry->second.m_Sequence ||
      Sequence == Entry->second.m_Answered)
    return std::nullopt;
  Entry->second.m_Answered = Sequence;
  return Entry->second.m_SentAt;
}

void FailureDetector::setSuspected(const std::string &Member, bool IsSuspected,
                                   MonotonicTime Now) {
  if (IsSuspected) {
    m_Suspicions.emplace(Member, Now + SuspicionTime);
    return;
  }
  m_Suspicions.erase(Member);
  // After a refutation the responses are counted anew.
  if (const auto Entry = m_Peers.find(Member); Entry != m_Peers.end())
    Entry->second.m_Missed = 0;
}

std::vector<DetectorAction> FailureDetector::tick(MonotonicTime Now) {
  std::vector<DetectorAction> Actions;
  for (auto &[Id, Each] : m_Peers) {
    if (Now < Each.m_NextPing)
      continue;
    // A process that was paused itself has not missed the responses of the
    // pings that it did not send.
    if (Each.m_Sequence != Each.m_Answered && ++Each.m_Missed == MissedLimit)
      Actions.emplace_back(PeerSuspected{Id});
    Each.m_Sequence = ++m_LastSequence;
    Each.m_SentAt = Now;
    Each.m_NextPing = Now + PingInterval;
    Actions.emplace_back(PingDue{Id, Each.m_Sequence});
  }
  for (auto Entry = m_Suspicions.begin(); Entry != m_Suspicions.end();) {
    if (Now < Entry->second) {
      ++Entry;
      continue;
    }
    Actions.emplace_back(SuspicionExpired{Entry->first});
    Entry = m_Suspicions.erase(Entry);
  }
  return Actions;
}

} // namespace fulmarwinch
