#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_FAILURE_DETECTOR_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_FAILURE_DETECTOR_H

#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fulmarwinch {

/// A ping with this sequence number has to be sent to the peer now.
struct PingDue {
  std::string m_Peer;
  std::uint64_t m_Sequence = 0;
};
/// The peer has not responded to MissedResponseLimit pings in a row.
struct PeerSuspected {
  std::string m_Peer;
};
/// The member has been suspected for SuspicionTimeout without refuting it.
struct SuspicionExpired {
  std::string m_Member;
};
/// Result of FailureDetector::tick().
using DetectorAction = std::variant<PingDue, PeerSuspected, SuspicionExpired>;

/// Ping-based failure detector. Suspects peers that miss several responses in a
/// row, and reports members as dead whose suspicion was not refuted in time.
class FailureDetector {
public:
  static constexpr Duration PingInterval = std::chrono::milliseconds(500);
  static constexpr unsigned MissedResponseLimit = 4;
  static constexpr Duration SuspicionTimeout = std::chrono::seconds(5);

  /// Sets the peers to ping. The ping state of peers that were set before is
  /// kept.
  void setPeers(const std::set<std::string> &Peers, MonotonicTime Now);

  /// Records a response. Returns the time just before the answered ping was
  /// sent, or nothing if the response is a duplicate, answers an older ping or
  /// is from an unknown peer. A response to an older ping still shows that the
  /// peer is alive.
  std::optional<MonotonicTime> onResponse(const std::string &Peer,
                                          std::uint64_t Sequence);

  /// Starts or ends the suspicion timer of \p Member, which need not be a peer.
  void setSuspected(const std::string &Member, bool IsSuspected,
                    MonotonicTime Now);

  /// Returns the pings that are due, new suspicions and expired suspicions.
  std::vector<DetectorAction> tick(MonotonicTime Now);

private:
  struct Peer {
    MonotonicTime m_NextPingAt;
    MonotonicTime m_SentAt;
    std::uint64_t m_LastSentSequence = 0;
    std::uint64_t m_LastAnsweredSequence = 0;
    unsigned m_MissedResponses = 0;
  };

  std::map<std::string, Peer> m_Peers;
  std::map<std::string, MonotonicTime> m_SuspicionDeadlines;
  std::uint64_t m_LastSequence = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_FAILURE_DETECTOR_H
