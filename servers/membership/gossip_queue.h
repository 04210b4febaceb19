#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H

#include "servers/membership/member_record.h"

#include <array>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarwinch {

/// Queue of member updates that are sent with pings and responses. There is one
/// list per number of transmissions, so that the time to fill a message is
/// proportional to the updates in the message and not to the length of the
/// queue.
class GossipQueue {
public:
  /// Number of times that an update is sent. Links are reliable, so about one
  /// transmission per link is enough; remaining differences between tables are
  /// found by comparing digests.
  static constexpr unsigned MaxTransmissions = 8;
  /// Maximum size of the updates in one message, in bytes.
  static constexpr std::size_t MaxMessageBytes = 256;

  /// Adds the newest record of a member. Replaces a queued record of the same
  /// member.
  void add(const MemberRecord &Record);
  /// Returns updates of at most \p ByteBudget for one message and counts their
  /// transmission. Updates with the fewest transmissions come first, and among
  /// these the one that has been queued longest.
  std::vector<MemberRecord>
  nextUpdates(std::size_t ByteBudget = MaxMessageBytes);
  /// Number of queued updates.
  std::size_t size() const { return m_Positions.size(); }

private:
  using Records = std::list<MemberRecord>;
  struct QueuePosition {
    unsigned m_Transmissions = 0;
    Records::iterator m_Record;
  };

  /// Moves the first record of \p Sent, which has been sent \p Transmissions
  /// times before, to the list of the next transmission count, or removes it
  /// after MaxTransmissions.
  void countTransmission(Records &Sent, unsigned Transmissions);

  std::array<Records, MaxTransmissions> m_RecordsByTransmissions;
  /// Queue position of each update, by member ID.
  std::unordered_map<std::string, QueuePosition> m_Positions;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H
