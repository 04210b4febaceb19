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

/// Bytes to send to a node. The driver opens a link to the address if there is
/// none.
struct SendToPeer {
  std::string m_Address;
  std::string m_Bytes;
};
/// Data of another subsystem that arrived in a ping or response. For a
/// response, m_PingSentAt is the local time just before the ping was sent; it
/// is empty for a ping.
struct TopicReceived {
  std::string m_SenderId;
  std::string m_Topic;
  Json m_Value;
  std::optional<MonotonicTime> m_PingSentAt;
};
/// A member record that was added or changed.
struct MemberChanged {
  MemberRecord m_Record;
};

/// Messages to send and events to deliver that result from a call.
struct MembershipEffects {
  std::vector<SendToPeer> m_Messages;
  std::vector<TopicReceived> m_ReceivedTopics;
  std::vector<MemberChanged> m_MemberChanges;
};

/// Returns the data of one topic for a ping or response to \p Peer, or null if
/// the topic has none.
using TopicSource =
    std::function<Json(const std::string &Peer, MonotonicTime Now)>;

/// Cluster membership of one node: member table, choice of neighbours, failure
/// detection and gossip.
class Membership {
public:
  /// Maximum number of peers that are pinged because they ping this node, in
  /// addition to the neighbours that this node selected. Without such peers, a
  /// node that no other node selected would not be monitored.
  static constexpr std::size_t MaxInboundPeers = 16;

  /// \p Seeds are the addresses of the seed nodes; the address of this node
  /// among them is ignored.
  Membership(MemberRecord Self, std::vector<std::string> Seeds,
             std::uint64_t RandomSeed);

  /// Registers the source of the data of \p Topic for pings and responses.
  void setTopic(const std::string &Topic, TopicSource Source);
  /// Processes a received message. A malformed message is ignored.
  void onMessage(std::string_view Bytes, MonotonicTime Now,
                 MembershipEffects &Effects);
  /// Sends the pings that are due and sets the states of members to Suspected
  /// or Dead.
  void tick(MonotonicTime Now, MembershipEffects &Effects);
  /// Sets the state of this node to Left and announces it to all peers, for a
  /// graceful shutdown.
  void leave(MonotonicTime Now, MembershipEffects &Effects);

  const MemberTable &table() const { return m_Table; }
  /// Returns the IDs of the members that this node pings: its neighbours and a
  /// limited number of inbound peers.
  std::set<std::string> peers() const;

private:
  void mergeRecord(const MemberRecord &Record, MonotonicTime Now,
                   MembershipEffects &Effects);
  void sendResponse(const PeerMessage &Ping, MonotonicTime Now,
                    MembershipEffects &Effects);
  /// Requests the records that differ if the table digest of the peer differed
  /// in several consecutive responses.
  void compareDigest(const PeerMessage &Response, MonotonicTime Now,
                     MembershipEffects &Effects);
  /// Sends the records of all buckets whose digest differs from the request.
  void sendRecords(const PeerMessage &Request, MembershipEffects &Effects);
  /// Removes members that were unreachable for the retention time, and sends a
  /// ping to one random dead member and possibly to a seed.
  void contactDeadMember(MonotonicTime Now, MembershipEffects &Effects);
  void contactSeedNode(const PeerMessage &Message, MembershipEffects &Effects);
  /// Removes inbound peers that stopped pinging, and selects the neighbours
  /// again if the members changed.
  void refreshPeers(MonotonicTime Now);
  void markMember(const std::string &Id, MemberState State, MonotonicTime Now,
                  MembershipEffects &Effects);
  PeerMessage makeMessage(PeerMessageKind Kind, const std::string &Peer,
                          std::uint64_t Sequence, MonotonicTime Now);
  void send(const std::string &Peer, const PeerMessage &Message,
            MembershipEffects &Effects) const;

  MemberTable m_Table;
  std::vector<std::string> m_Seeds;
  std::mt19937_64 m_Random;
  FailureDetector m_Detector;
  GossipQueue m_GossipQueue;
  std::map<std::string, TopicSource> m_TopicSources;
  std::set<std::string> m_Neighbours;
  /// Arrival time of the last ping of each peer that pings this node.
  std::map<std::string, MonotonicTime> m_InboundPeers;
  /// Number of consecutive responses with a different table digest, by peer.
  std::map<std::string, unsigned> m_DigestMismatches;
  /// Time at which each unreachable member was marked as dead or left.
  std::map<std::string, MonotonicTime> m_UnreachableSince;
  MonotonicTime m_NextSyncAt;
  MonotonicTime m_NextContactAt;
  bool m_MustRefreshPeers = true;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_MEMBERSHIP_H
