#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_MEMBERSHIP_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_MEMBERSHIP_H

#include "servers/membership/failure_detector.h"
#include "servers/membership/gossip_queue.h"
#include "servers/membership/member_table.h"
#include "servers/membership/peer_message.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Send bytes to a node; the driver keeps or opens the link.
struct SendToPeer {
  std::string m_Address;
  std::string m_Bytes;
};
/// A topic of another subsystem arrived. For a response, m_AskedAt is the own
/// time just before the ping was sent.
struct TopicReceived {
  std::string m_From;
  std::string m_Topic;
  Json m_Value;
  std::optional<MonotonicTime> m_AskedAt;
};
struct MemberChanged {
  MemberRecord m_Record;
};

struct MembershipEffects {
  std::vector<SendToPeer> m_Messages;
  std::vector<TopicReceived> m_Topics;
  std::vector<MemberChanged> m_Changes;
};

/// Returns the object of one topic for a ping or response to \p Peer, or null
/// if there is nothing to tell.
using TopicSource =
    std::function<Json(const std::string &Peer, MonotonicTime Now)>;

/// Membership of one node: table, neighbours, failure detection and gossip.
class Membership {
public:
  /// Peers beyond the own choice that are pinged because they ping this node.
  /// Without them nobody would watch a node that no other node chose.
  static constexpr std::size_t MaxInboundPeers = 16;

  /// \p Seeds are addresses; the own address among them is ignored.
  Membership(MemberRecord Self, std::vector<std::string> Seeds,
             std::uint64_t RandomSeed);

  void setTopic(const std::string &Topic, TopicSource Source);
  void onMessage(std::string_view Bytes, MonotonicTime Now,
                 MembershipEffects &Effects);
  void tick(MonotonicTime Now, MembershipEffects &Effects);
  /// Announces a graceful leave to all peers.
  void leave(MonotonicTime Now, MembershipEffects &Effects);

  const MemberTable &table() const { return m_Table; }
  std::set<std::string> peers() const;

private:
  void apply(const MemberRecord &Record, MonotonicTime Now,
             MembershipEffects &Effects);
  void answer(const PeerMessage &Ping, MonotonicTime Now,
              MembershipEffects &Effects);
  void compareDigest(const PeerMessage &Response, MonotonicTime Now,
                     MembershipEffects &Effects);
  void sendRecords(const PeerMessage &Request, MembershipEffects &Effects);
  void contactUnreachable(MonotonicTime Now, MembershipEffects &Effects);
  void contactSeed(const PeerMessage &Message, MembershipEffects &Effects);
  void refreshPeers(MonotonicTime Now);
  void mark(const std::string &Id, MemberState State, MonotonicTime Now,
            MembershipEffects &Effects);
  PeerMessage makeMessage(PeerMessageKind Kind, const std::string &Peer,
                          std::uint64_t Sequence, MonotonicTime Now);
  void send(const std::string &Peer, const PeerMessage &Message,
            MembershipEffects &Effects) const;

  MemberTable m_Table;
  std::vector<std::string> m_Seeds;
  std::mt19937_64 m_Random;
  FailureDetector m_Detector;
  GossipQueue m_Gossip;
  std::map<std::string, TopicSource> m_TopicSources;
  std::set<std::string> m_Neighbours;
  /// Last ping of each peer that pings this node.
  std::map<std::string, MonotonicTime> m_Inbound;
  /// Responses in a row whose digest differed, per peer.
  std::map<std::string, unsigned> m_Differing;
  /// Time since which a member is dead or has left.
  std::map<std::string, MonotonicTime> m_Unreachable;
  MonotonicTime m_NextSync;
  MonotonicTime m_NextContact;
  bool m_HasNewMembers = true;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_MEMBERSHIP_H
