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

/// A ping is due; it has to carry the sequence number.
struct PingDue {
  std::string m_Peer;
  std::uint64_t m_Sequence = 0;
};
/// The peer missed too many responses in a row.
struct PeerSuspected {
  std::string m_Peer;
};
/// A suspicion was not refuted in time.
struct SuspicionExpired {
  std::string m_Member;
};
using DetectorAction = std::variant<PingDue, PeerSuspected, SuspicionExpired>;

/// Decides from responses which peers are suspected and when a suspected
/// member is dead.
class FailureDetector {
public:
  static constexpr Duration PingInterval = std::chrono::milliseconds(500);
  static constexpr unsigned MissedLimit = 4;
  static constexpr Duration SuspicionTime = std::chrono::seconds(5);

  /// Sets the peers to ping. Peers that stay keep their history.
  void setPeers(const std::set<std::string> &Peers, MonotonicTime Now);

  /// Returns the time just before the answered ping was sent. A response to
  /// an older ping shows that the peer lives, but returns no time.
  std::optional<MonotonicTime> onResponse(const std::string &Peer,
                                          std::uint64_t Sequence);

  /// Starts or ends the suspicion of any member.
  void setSuspected(const std::string &Member, bool IsSuspected,
                    MonotonicTime Now);

  std::vector<DetectorAction> tick(MonotonicTime Now);

private:
  struct Peer {
    MonotonicTime m_NextPing;
    MonotonicTime m_SentAt;
    std::uint64_t m_Sequence = 0;
    std::uint64_t m_Answered = 0;
    unsigned m_Missed = 0;
  };

  std::map<std::string, Peer> m_Peers;
  std::map<std::string, MonotonicTime> m_Suspicions;
  std::uint64_t m_LastSequence = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_FAILURE_DETECTOR_H
