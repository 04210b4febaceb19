#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H

#include "servers/membership/member_record.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Updates that wait to be sent with pings and responses.
class GossipQueue {
public:
  /// Links are reliable, so an update needs about one transmission per link;
  /// differences that remain are found by the digests.
  static constexpr unsigned MaxTransmissions = 8;
  /// Bytes of updates in one message.
  static constexpr std::size_t MessageBudget = 256;

  /// Adds the newest record of a member; replaces an older one.
  void add(const MemberRecord &Record);
  /// Returns the updates for one message, least transmitted first.
  std::vector<MemberRecord> take(std::size_t Budget = MessageBudget);
  std::size_t size() const { return m_Entries.size(); }

private:
  struct Entry {
    MemberRecord m_Record;
    unsigned m_Transmissions = 0;
  };
  std::map<std::string, Entry> m_Entries;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_GOSSIP_QUEUE_H
