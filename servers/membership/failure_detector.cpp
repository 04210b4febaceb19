#include "servers/membership/failure_detector.h"

namespace fulmarwinch {

void FailureDetector::setPeers(const std::set<std::string> &Peers,
                               MonotonicTime Now) {
  for (auto Entry = m_Peers.begin(); Entry != m_Peers.end();)
    Entry = Peers.count(Entry->first) ? std::next(Entry) : m_Peers.erase(Entry);
  for (const std::string &Id : Peers)
    if (m_Peers.count(Id) == 0)
      m_Peers[Id].m_NextPingAt = Now;
}

std::optional<MonotonicTime>
FailureDetector::onResponse(const std::string &Peer, std::uint64_t Sequence) {
  const auto Entry = m_Peers.find(Peer);
  if (Entry == m_Peers.end() || Sequence > Entry->second.m_LastSentSequence)
    return std::nullopt;
  Entry->second.m_MissedResponses = 0;
  if (Sequence != Entry->second.m_LastSentSequence ||
      Sequence == Entry->second.m_LastAnsweredSequence)
    return std::nullopt;
  Entry->second.m_LastAnsweredSequence = Sequence;
  return Entry->second.m_SentAt;
}

void FailureDetector::setSuspected(const std::string &Member, bool IsSuspected,
                                   MonotonicTime Now) {
  if (IsSuspected) {
    m_SuspicionDeadlines.emplace(Member, Now + SuspicionTimeout);
    return;
  }
  m_SuspicionDeadlines.erase(Member);
  // After a refutation, counting of missed responses starts again at zero.
  if (const auto Entry = m_Peers.find(Member); Entry != m_Peers.end())
    Entry->second.m_MissedResponses = 0;
}

std::vector<DetectorAction> FailureDetector::tick(MonotonicTime Now) {
  std::vector<DetectorAction> Actions;
  for (auto &[Id, State] : m_Peers) {
    if (Now < State.m_NextPingAt)
      continue;
    // At most one missed response is counted per tick: after a pause of this
    // process, the pings that it did not send during the pause are not counted
    // as missed.
    if (State.m_LastSentSequence != State.m_LastAnsweredSequence &&
        ++State.m_MissedResponses == MissedResponseLimit)
      Actions.emplace_back(PeerSuspected{Id});
    State.m_LastSentSequence = ++m_LastSequence;
    State.m_SentAt = Now;
    State.m_NextPingAt = Now + PingInterval;
    Actions.emplace_back(PingDue{Id, State.m_LastSentSequence});
  }
  for (auto Entry = m_SuspicionDeadlines.begin();
       Entry != m_SuspicionDeadlines.end();) {
    if (Now < Entry->second) {
      ++Entry;
      continue;
    }
    Actions.emplace_back(SuspicionExpired{Entry->first});
    Entry = m_SuspicionDeadlines.erase(Entry);
  }
  return Actions;
}

} // namespace fulmarwinch
