#include "servers/membership/membership.h"
#include "servers/membership/neighbour_selector.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// An inbound peer that has sent no ping for this time is removed.
constexpr Duration InboundPeerTimeout = std::chrono::seconds(10);
/// Interval at which one random dead member is pinged. Without these pings, the
/// two sides of a partition would not merge after it has healed.
constexpr Duration DeadMemberContactInterval = std::chrono::seconds(5);
/// Retention time of dead members. It is longer than a partition between
/// regions, which may last for an hour.
constexpr Duration DeadMemberRetention = std::chrono::hours(2);
/// Minimum interval between two requests for differing records.
constexpr Duration MinSyncInterval = std::chrono::seconds(5);
constexpr unsigned MismatchesBeforeSync = 4;
/// Maximum number of records in a message; the message then has about 6 KB.
constexpr std::size_t MaxRecordsPerMessage = 100;

} // namespace

Membership::Membership(MemberRecord Self, std::vector<std::string> Seeds,
                       std::uint64_t RandomSeed)
    : m_Table(std::move(Self)), m_Seeds(std::move(Seeds)),
      m_Random(RandomSeed) {
  const std::string &Own = m_Table.self().m_Address;
  m_Seeds.erase(std::remove(m_Seeds.begin(), m_Seeds.end(), Own),
                m_Seeds.end());
  m_GossipQueue.add(m_Table.self());
}

void Membership::setTopic(const std::string &Topic, TopicSource Source) {
  m_TopicSources[Topic] = std::move(Source);
}

void Membership::onMessage(std::string_view Bytes, MonotonicTime Now,
                           MembershipEffects &Effects) {
  const absl::StatusOr<PeerMessage> Message = decodePeerMessage(Bytes);
  if (!Message.ok() || Message->m_SenderId == m_Table.self().m_NodeId)
    return;
  for (const MemberRecord &Record : Message->m_Updates)
    mergeRecord(Record, Now, Effects);
  std::optional<MonotonicTime> PingSentAt;
  if (Message->m_Kind == PeerMessageKind::Response) {
    PingSentAt =
        m_Detector.onResponse(Message->m_SenderId, Message->m_Sequence);
    compareDigest(*Message, Now, Effects);
  }
  // The topics of a late or duplicate response are ignored, because the time of
  // its ping is not known.
  if (PingSentAt || Message->m_Kind == PeerMessageKind::Ping)
    for (const auto &[Topic, Value] : Message->m_Topics)
      Effects.m_ReceivedTopics.push_back(
          {Message->m_SenderId, Topic, Value, PingSentAt});
  if (Message->m_Kind == PeerMessageKind::Ping)
    sendResponse(*Message, Now, Effects);
  if (Message->m_Kind == PeerMessageKind::RecordRequest &&
      Message->m_BucketDigests)
    sendRecords(*Message, Effects);
}

void Membership::tick(MonotonicTime Now, MembershipEffects &Effects) {
  if (m_Table.self().m_State == MemberState::Left)
    return;
  refreshPeers(Now);
  for (const DetectorAction &Action : m_Detector.tick(Now)) {
    if (const auto *Ping = std::get_if<PingDue>(&Action))
      send(Ping->m_Peer,
           makeMessage(PeerMessageKind::Ping, Ping->m_Peer, Ping->m_Sequence,
                       Now),
           Effects);
    if (const auto *Suspected = std::get_if<PeerSuspected>(&Action))
      markMember(Suspected->m_Peer, MemberState::Suspected, Now, Effects);
    if (const auto *Expired = std::get_if<SuspicionExpired>(&Action))
      markMember(Expired->m_Member, MemberState::Dead, Now, Effects);
  }
  if (Now >= m_NextContactAt)
    contactDeadMember(Now, Effects);
}

void Membership::leave(MonotonicTime Now, MembershipEffects &Effects) {
  refreshPeers(Now);
  m_Table.leave();
  for (const std::string &Peer : peers()) {
    PeerMessage Message;
    Message.m_Kind = PeerMessageKind::Records;
    Message.m_SenderId = m_Table.self().m_NodeId;
    Message.m_Updates.push_back(m_Table.self());
    send(Peer, Message, Effects);
  }
}

std::set<std::string> Membership::peers() const {
  std::set<std::string> Peers = m_Neighbours;
  std::size_t Inbound = 0;
  for (const auto &Entry : m_InboundPeers)
    if (Peers.insert(Entry.first).second && ++Inbound == MaxInboundPeers)
      break;
  return Peers;
}

void Membership::mergeRecord(const MemberRecord &Record, MonotonicTime Now,
                             MembershipEffects &Effects) {
  const MemberRecord *Known = m_Table.find(Record.m_NodeId);
  const bool WasReachable = Known && Known->isReachable();
  if (!m_Table.merge(Record))
    return;
  const MemberRecord Stored = *m_Table.find(Record.m_NodeId);
  m_GossipQueue.add(Stored);
  if (Stored.isReachable() != WasReachable)
    m_MustRefreshPeers = true;
  if (Stored.m_NodeId == m_Table.self().m_NodeId)
    return;
  m_Detector.setSuspected(Stored.m_NodeId, false, Now);
  if (Stored.m_State == MemberState::Suspected)
    m_Detector.setSuspected(Stored.m_NodeId, true, Now);
  if (Stored.isReachable())
    m_UnreachableSince.erase(Stored.m_NodeId);
  else
    m_UnreachableSince.emplace(Stored.m_NodeId, Now);
  Effects.m_MemberChanges.push_back({Stored});
}

void Membership::markMember(const std::string &Id, MemberState State,
                            MonotonicTime Now, MembershipEffects &Effects) {
  const MemberRecord *Known = m_Table.find(Id);
  if (!Known)
    return;
  MemberRecord Record = *Known;
  Record.m_State = State;
  mergeRecord(Record, Now, Effects);
}

void Membership::sendResponse(const PeerMessage &Ping, MonotonicTime Now,
                              MembershipEffects &Effects) {
  if (!m_Table.find(Ping.m_SenderId))
    return;
  PeerMessage Response = makeMessage(PeerMessageKind::Response, Ping.m_SenderId,
                                     Ping.m_Sequence, Now);
  // Sequence number 0 marks a ping from contactDeadMember(), whose sender does
  // not become an inbound peer. The sender may consider this node dead, so the
  // response contains this node's record.
  if (Ping.m_Sequence == 0)
    Response.m_Updates.push_back(m_Table.self());
  else if (m_InboundPeers.insert_or_assign(Ping.m_SenderId, Now).second)
    m_MustRefreshPeers = true;
  send(Ping.m_SenderId, Response, Effects);
}

void Membership::compareDigest(const PeerMessage &Response, MonotonicTime Now,
                               MembershipEffects &Effects) {
  unsigned &Mismatches = m_DigestMismatches[Response.m_SenderId];
  Mismatches =
      Response.m_TableDigest == m_Table.tableDigest() ? 0 : Mismatches + 1;
  // A node that has just started has few members in its table. It requests
  // records after the first response with a different digest.
  const bool HasFewMembers =
      m_Table.members().size() <= NeighbourSelector::NeighbourCount;
  if (Mismatches == 0 ||
      (!HasFewMembers && Mismatches < MismatchesBeforeSync) ||
      Now < m_NextSyncAt)
    return;
  Mismatches = 0;
  m_NextSyncAt =
      Now + (HasFewMembers ? FailureDetector::PingInterval : MinSyncInterval);
  PeerMessage Request;
  Request.m_Kind = PeerMessageKind::RecordRequest;
  Request.m_SenderId = m_Table.self().m_NodeId;
  Request.m_BucketDigests = m_Table.bucketDigests();
  Request.m_Updates.push_back(m_Table.self());
  send(Response.m_SenderId, Request, Effects);
}

void Membership::sendRecords(const PeerMessage &Request,
                             MembershipEffects &Effects) {
  const std::vector<MemberRecord> Records = m_Table.recordsInDifferentBuckets(
      *Request.m_BucketDigests, m_Table.members().size());
  for (std::size_t First = 0; First < Records.size();
       First += MaxRecordsPerMessage) {
    const std::size_t Last =
        std::min(First + MaxRecordsPerMessage, Records.size());
    PeerMessage Message;
    Message.m_Kind = PeerMessageKind::Records;
    Message.m_SenderId = m_Table.self().m_NodeId;
    Message.m_Updates.assign(Records.begin() + std::ptrdiff_t(First),
                             Records.begin() + std::ptrdiff_t(Last));
    send(Request.m_SenderId, Message, Effects);
  }
}

void Membership::contactDeadMember(MonotonicTime Now,
                                   MembershipEffects &Effects) {
  m_NextContactAt = Now + DeadMemberContactInterval;
  for (auto Entry = m_UnreachableSince.begin();
       Entry != m_UnreachableSince.end();) {
    if (Now - Entry->second < DeadMemberRetention) {
      ++Entry;
      continue;
    }
    m_Table.remove(Entry->first);
    Entry = m_UnreachableSince.erase(Entry);
  }
  PeerMessage Message;
  Message.m_Kind = PeerMessageKind::Ping;
  Message.m_SenderId = m_Table.self().m_NodeId;
  Message.m_Updates.push_back(m_Table.self());
  std::vector<const MemberRecord *> DeadMembers;
  for (const auto &Entry : m_UnreachableSince)
    if (const MemberRecord *Record = m_Table.find(Entry.first);
        Record && Record->m_State == MemberState::Dead)
      DeadMembers.push_back(Record);
  if (!DeadMembers.empty()) {
    const MemberRecord &Target = *DeadMembers[m_Random() % DeadMembers.size()];
    // The message contains the record that marks the member as dead, so that
    // the member refutes it if it is alive.
    Message.m_Updates.push_back(Target);
    Effects.m_Messages.push_back(
        {Target.m_Address, encodePeerMessage(Message)});
  }
  contactSeedNode(Message, Effects);
}

void Membership::contactSeedNode(const PeerMessage &Message,
                                 MembershipEffects &Effects) {
  if (m_Seeds.empty())
    return;
  std::set<std::string> ReachableAddresses{m_Table.self().m_Address};
  for (const auto &[Id, Record] : m_Table.members())
    if (Record.isReachable())
      ReachableAddresses.insert(Record.m_Address);
  std::vector<std::string> NonMemberSeeds;
  for (const std::string &Seed : m_Seeds)
    if (ReachableAddresses.count(Seed) == 0)
      NonMemberSeeds.push_back(Seed);
  // Nodes that start at the same time can form two separate clusters. A seed
  // that is not a member may belong to the other cluster.
  if (!NonMemberSeeds.empty()) {
    Effects.m_Messages.push_back(
        {NonMemberSeeds[m_Random() % NonMemberSeeds.size()],
         encodePeerMessage(Message)});
    return;
  }
  // Rare pings to a seed merge two partitions that have removed each other from
  // their tables. All nodes together send about one such ping per interval.
  if (m_Neighbours.empty() || m_Random() % m_Table.members().size() == 0)
    Effects.m_Messages.push_back(
        {m_Seeds[m_Random() % m_Seeds.size()], encodePeerMessage(Message)});
}

void Membership::refreshPeers(MonotonicTime Now) {
  for (auto Entry = m_InboundPeers.begin(); Entry != m_InboundPeers.end();) {
    const MemberRecord *Record = m_Table.find(Entry->first);
    if (Record && Record->isReachable() &&
        Now - Entry->second < InboundPeerTimeout) {
      ++Entry;
      continue;
    }
    m_DigestMismatches.erase(Entry->first);
    Entry = m_InboundPeers.erase(Entry);
    m_MustRefreshPeers = true;
  }
  if (!m_MustRefreshPeers)
    return;
  m_MustRefreshPeers = false;
  const std::vector<std::string> Neighbours =
      NeighbourSelector::select(m_Table);
  m_Neighbours = std::set<std::string>(Neighbours.begin(), Neighbours.end());
  m_Detector.setPeers(peers(), Now);
}

PeerMessage Membership::makeMessage(PeerMessageKind Kind,
                                    const std::string &Peer,
                                    std::uint64_t Sequence, MonotonicTime Now) {
  PeerMessage Message;
  Message.m_Kind = Kind;
  Message.m_SenderId = m_Table.self().m_NodeId;
  Message.m_Sequence = Sequence;
  Message.m_TableDigest = m_Table.tableDigest();
  Message.m_Updates = m_GossipQueue.nextUpdates();
  // A peer that does not ping this node may not have its record yet. A peer
  // that is suspected or dead has to receive its own record to refute it.
  if (m_InboundPeers.count(Peer) == 0)
    Message.m_Updates.push_back(m_Table.self());
  const MemberRecord *Record = m_Table.find(Peer);
  if (Record && Record->m_State != MemberState::Alive)
    Message.m_Updates.push_back(*Record);
  for (const auto &[Topic, Source] : m_TopicSources)
    if (Json Value = Source(Peer, Now); !Value.is_null())
      Message.m_Topics[Topic] = std::move(Value);
  return Message;
}

void Membership::send(const std::string &Peer, const PeerMessage &Message,
                      MembershipEffects &Effects) const {
  if (const MemberRecord *Record = m_Table.find(Peer))
    Effects.m_Messages.push_back(
        {Record->m_Address, encodePeerMessage(Message)});
}

} // namespace fulmarwinch
