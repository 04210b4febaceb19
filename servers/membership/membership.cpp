#include "servers/membership/membership.h"
#include "servers/membership/neighbour_selector.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// A peer that stopped pinging for this time no longer uses the link.
constexpr Duration InboundTime = std::chrono::seconds(10);
/// Pause between contacts to members that are held to be dead. Without these
/// contacts the two sides of a partition would never meet again.
constexpr Duration ContactInterval = std::chrono::seconds(5);
/// Regions may be partitioned for an hour; a dead member is kept longer.
constexpr Duration ForgetTime = std::chrono::hours(2);
/// Pause between two requests for differing records.
constexpr Duration SyncInterval = std::chrono::seconds(5);
constexpr unsigned DifferingLimit = 4;
/// About 6 KB per message.
constexpr std::size_t RecordsPerMessage = 100;

} // namespace

Membership::Membership(MemberRecord Self, std::vector<std::string> Seeds,
                       std::uint64_t RandomSeed)
    : m_Table(std::move(Self)), m_Seeds(std::move(Seeds)),
      m_Random(RandomSeed) {
  const std::string &Own = m_Table.self().m_Address;
  m_Seeds.erase(std::remove(m_Seeds.begin(), m_Seeds.end(), Own),
                m_Seeds.end());
  m_Gossip.add(m_Table.self());
}

void Membership::setTopic(const std::string &Topic, TopicSource Source) {
  m_TopicSources[Topic] = std::move(Source);
}

void Membership::onMessage(std::string_view Bytes, MonotonicTime Now,
                           MembershipEffects &Effects) {
  const absl::StatusOr<PeerMessage> Message = decodePeerMessage(Bytes);
  if (!Message.ok() || Message->m_From == m_Table.self().m_Id)
    return;
  for (const MemberRecord &Record : Message->m_Updates)
    apply(Record, Now, Effects);
  std::optional<MonotonicTime> AskedAt;
  if (Message->m_Kind == PeerMessageKind::Response) {
    AskedAt = m_Detector.onResponse(Message->m_From, Message->m_Sequence);
    compareDigest(*Message, Now, Effects);
  }
  // A response that is late or repeated has no known time of its question.
  if (AskedAt || Message->m_Kind == PeerMessageKind::Ping)
    for (const auto &[Topic, Value] : Message->m_Topics)
      Effects.m_Topics.push_back({Message->m_From, Topic, Value, AskedAt});
  if (Message->m_Kind == PeerMessageKind::Ping)
    answer(*Message, Now, Effects);
  if (Message->m_Kind == PeerMessageKind::Digests && Message->m_Digests)
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
      mark(Suspected->m_Peer, MemberState::Suspected, Now, Effects);
    if (const auto *Expired = std::get_if<SuspicionExpired>(&Action))
      mark(Expired->m_Member, MemberState::Dead, Now, Effects);
  }
  if (Now >= m_NextContact)
    contactUnreachable(Now, Effects);
}

void Membership::leave(MonotonicTime Now, MembershipEffects &Effects) {
  refreshPeers(Now);
  m_Table.leave();
  for (const std::string &Peer : peers()) {
    PeerMessage Message;
    Message.m_Kind = PeerMessageKind::Records;
    Message.m_From = m_Table.self().m_Id;
    Message.m_Updates.push_back(m_Table.self());
    send(Peer, Message, Effects);
  }
}

std::set<std::string> Membership::peers() const {
  std::set<std::string> Peers = m_Neighbours;
  std::size_t Inbound = 0;
  for (const auto &Entry : m_Inbound)
    if (Peers.insert(Entry.first).second && ++Inbound == MaxInboundPeers)
      break;
  return Peers;
}

void Membership::apply(const MemberRecord &Record, MonotonicTime Now,
                       MembershipEffects &Effects) {
  const MemberRecord *Known = m_Table.find(Record.m_Id);
  const bool WasReachable = Known && Known->isReachable();
  if (!m_Table.merge(Record))
    return;
  const MemberRecord Stored = *m_Table.find(Record.m_Id);
  m_Gossip.add(Stored);
  if (Stored.isReachable() != WasReachable)
    m_HasNewMembers = true;
  if (Stored.m_Id == m_Table.self().m_Id)
    return;
  m_Detector.setSuspected(Stored.m_Id, false, Now);
  if (Stored.m_State == MemberState::Suspected)
    m_Detector.setSuspected(Stored.m_Id, true, Now);
  if (Stored.isReachable())
    m_Unreachable.erase(Stored.m_Id);
  else
    m_Unreachable.emplace(Stored.m_Id, Now);
  Effects.m_Changes.push_back({Stored});
}

void Membership::mark(const std::string &Id, MemberState State,
                      MonotonicTime Now, MembershipEffects &Effects) {
  const MemberRecord *Known = m_Table.find(Id);
  if (!Known)
    return;
  MemberRecord Record = *Known;
  Record.m_State = State;
  apply(Record, Now, Effects);
}

void Membership::answer(const PeerMessage &Ping, MonotonicTime Now,
                        MembershipEffects &Effects) {
  if (!m_Table.find(Ping.m_From))
    return;
  PeerMessage Response =
      makeMessage(PeerMessageKind::Response, Ping.m_From, Ping.m_Sequence, Now);
  // Sequence 0 marks a single contact, which starts no link. Its sender may
  // hold this node to be dead and needs the present incarnation.
  if (Ping.m_Sequence == 0)
    Response.m_Updates.push_back(m_Table.self());
  else if (m_Inbound.insert_or_assign(Ping.m_From, Now).second)
    m_HasNewMembers = true;
  send(Ping.m_From, Response, Effects);
}

void Membership::compareDigest(const PeerMessage &Response, MonotonicTime Now,
                               MembershipEffects &Effects) {
  unsigned &Differing = m_Differing[Response.m_From];
  Differing = Response.m_Digest == m_Table.digest() ? 0 : Differing + 1;
  // A node that just started does not wait: it knows few members.
  const bool IsNew =
      m_Table.members().size() <= NeighbourSelector::NeighbourCount;
  if (Differing == 0 || (!IsNew && Differing < DifferingLimit) ||
      Now < m_NextSync)
    return;
  Differing = 0;
  m_NextSync = Now + (IsNew ? FailureDetector::PingInterval : SyncInterval);
  PeerMessage Request;
  Request.m_Kind = PeerMessageKind::Digests;
  Request.m_From = m_Table.self().m_Id;
  Request.m_Digests = m_Table.digests();
  Request.m_Updates.push_back(m_Table.self());
  send(Response.m_From, Request, Effects);
}

void Membership::sendRecords(const PeerMessage &Request,
                             MembershipEffects &Effects) {
  const std::vector<MemberRecord> Records =
      m_Table.differing(*Request.m_Digests, m_Table.members().size());
  for (std::size_t First = 0; First < Records.size();
       First += RecordsPerMessage) {
    const std::size_t Last =
        std::min(First + RecordsPerMessage, Records.size());
    PeerMessage Answer;
    Answer.m_Kind = PeerMessageKind::Records;
    Answer.m_From = m_Table.self().m_Id;
    Answer.m_Updates.assign(Records.begin() + std::ptrdiff_t(First),
                            Records.begin() + std::ptrdiff_t(Last));
    send(Request.m_From, Answer, Effects);
  }
}

void Membership::contactUnreachable(MonotonicTime Now,
                                    MembershipEffects &Effects) {
  m_NextContact = Now + ContactInterval;
  for (auto Entry = m_Unreachable.begin(); Entry != m_Unreachable.end();) {
    if (Now - Entry->second < ForgetTime) {
      ++Entry;
      continue;
    }
    m_Table.forget(Entry->first);
    Entry = m_Unreachable.erase(Entry);
  }
  PeerMessage Message;
  Message.m_Kind = PeerMessageKind::Ping;
  Message.m_From = m_Table.self().m_Id;
  Message.m_Updates.push_back(m_Table.self());
  std::vector<const MemberRecord *> Dead;
  for (const auto &Entry : m_Unreachable)
    if (const MemberRecord *Record = m_Table.find(Entry.first);
        Record && Record->m_State == MemberState::Dead)
      Dead.push_back(Record);
  if (!Dead.empty()) {
    const MemberRecord &Chosen = *Dead[m_Random() % Dead.size()];
    // The member learns that it is held to be dead, and refutes.
    Message.m_Updates.push_back(Chosen);
    Effects.m_Messages.push_back(
        {Chosen.m_Address, encodePeerMessage(Message)});
  }
  contactSeed(Message, Effects);
}

void Membership::contactSeed(const PeerMessage &Message,
                             MembershipEffects &Effects) {
  if (m_Seeds.empty())
    return;
  std::set<std::string> Reachable{m_Table.self().m_Address};
  for (const auto &[Id, Record] : m_Table.members())
    if (Record.isReachable())
      Reachable.insert(Record.m_Address);
  std::vector<std::string> Unknown;
  for (const std::string &Seed : m_Seeds)
    if (Reachable.count(Seed) == 0)
      Unknown.push_back(Seed);
  // Nodes that start at the same time can form two sides that do not know each
  // other. A seed that is not a member may belong to the other side.
  if (!Unknown.empty()) {
    Effects.m_Messages.push_back(
        {Unknown[m_Random() % Unknown.size()], encodePeerMessage(Message)});
    return;
  }
  // Rare contacts to a seed join two sides that have forgotten each other;
  // all nodes together make about one per interval.
  if (m_Neighbours.empty() || m_Random() % m_Table.members().size() == 0)
    Effects.m_Messages.push_back(
        {m_Seeds[m_Random() % m_Seeds.size()], encodePeerMessage(Message)});
}

void Membership::refreshPeers(MonotonicTime Now) {
  for (auto Entry = m_Inbound.begin(); Entry != m_Inbound.end();) {
    const MemberRecord *Record = m_Table.find(Entry->first);
    if (Record && Record->isReachable() && Now - Entry->second < InboundTime) {
      ++Entry;
      continue;
    }
    m_Differing.erase(Entry->first);
    Entry = m_Inbound.erase(Entry);
    m_HasNewMembers = true;
  }
  if (!m_HasNewMembers)
    return;
  m_HasNewMembers = false;
  const std::vector<std::string> Chosen = NeighbourSelector::select(m_Table);
  m_Neighbours = std::set<std::string>(Chosen.begin(), Chosen.end());
  m_Detector.setPeers(peers(), Now);
}

PeerMessage Membership::makeMessage(PeerMessageKind Kind,
                                    const std::string &Peer,
                                    std::uint64_t Sequence, MonotonicTime Now) {
  PeerMessage Message;
  Message.m_Kind = Kind;
  Message.m_From = m_Table.self().m_Id;
  Message.m_Sequence = Sequence;
  Message.m_Digest = m_Table.digest();
  Message.m_Updates = m_Gossip.take();
  // A peer that does not ping back may not know this node yet, and a peer
  // that is suspected or dead has to hear of it to refute.
  if (m_Inbound.count(Peer) == 0)
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
