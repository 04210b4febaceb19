#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H

#include "servers/membership/member_record.h"

#include <array>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarwinch {

/// Updates that wait to be sent with pings and responses. Updates are kept in
/// one list per transmission count, so that a message costs time in proportion
/// to the updates it takes and not to the updates that wait.
class GossipQueue {
public:
  /// Links are reliable, so an update needs about one transmission per link;
  /// differences that remain are found by the digests.
  static constexpr unsigned MaxTransmissions = 8;
  /// Bytes of updates in one message.
  static constexpr std::size_t MessageBudget = 256;

  /// Adds the newest record of a member; replaces an older one.
  void add(const MemberRecord &Record);
  /// Returns the updates for one message, least transmitted first and among
  /// equals the longest waiting first.
  std::vector<MemberRecord> take(std::size_t Budget = MessageBudget);
  std::size_t size() const { return m_Places.size(); }

private:
  using Records = std::list<MemberRecord>;
  struct Place {
    unsigned m_Transmissions = 0;
    Records::iterator m_Record;
  };

  /// Moves the first record of \p From to the end of its next list.
  void advance(Records &From, unsigned Transmissions);

  std::array<Records, MaxTransmissions> m_Waiting;
  std::unordered_map<std::string, Place> m_Places;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H
