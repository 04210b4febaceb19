#include "servers/membership/membership.h"
#include "servers/membership/neighbour_selector.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr MonotonicTime StartTime{};

MemberRecord makeMember(const std::string &Id, const std::string &Zone,
                        const std::string &Region,
                        std::uint64_t Incarnation = 1) {
  return {Id, Incarnation, MemberState::Alive, Zone, Region, Id + ":1"};
}

} // namespace

/// Tests the member table, neighbour choice, failure detector, gossip and
/// message codec against one failure at a time.
class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(restartedMemberSupersedesItsDeadRecord);
  CPPUNIT_TEST(nodeRefutesItsOwnDeadRecord);
  CPPUNIT_TEST(neighboursCoverOtherZoneAndRegion);
  CPPUNIT_TEST(peerIsSuspectedOnceAfterFourMissedResponses);
  CPPUNIT_TEST(lateResponseReturnsNoPingTime);
  CPPUNIT_TEST(gossipMessagesAndTransmissionsAreBounded);
  CPPUNIT_TEST(peerMessageCodecPreservesEveryField);
  CPPUNIT_TEST(responseCarriesTopicWithPingTime);
  CPPUNIT_TEST(nodeContactsSeedThatIsNotAMember);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a restarted member that stays dead for others, and against
  /// a dead member that an old record makes alive again.
  void restartedMemberSupersedesItsDeadRecord() {
    MemberTable Table(makeMember("a", "z", "r"));
    CPPUNIT_ASSERT(Table.merge(makeMember("b", "z", "r", 5)));
    CPPUNIT_ASSERT(Table.setMemberState("b", MemberState::Dead));
    CPPUNIT_ASSERT(!Table.merge(makeMember("b", "z", "r", 5)));
    CPPUNIT_ASSERT(Table.merge(makeMember("b", "z", "r", 6)));
    CPPUNIT_ASSERT(Table.find("b")->isReachable());
  }

  /// Guards against a live node that does not refute a record of its own death,
  /// and against a graceful leave that is not recorded.
  void nodeRefutesItsOwnDeadRecord() {
    MemberTable Table(makeMember("a", "z", "r", 3));
    MemberRecord DeadRecord = makeMember("a", "z", "r", 3);
    DeadRecord.m_State = MemberState::Dead;
    CPPUNIT_ASSERT(Table.merge(DeadRecord));
    CPPUNIT_ASSERT(Table.self().m_State == MemberState::Alive);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Table.self().m_Incarnation);
    Table.leave();
    CPPUNIT_ASSERT(Table.self().m_State == MemberState::Left);
  }

  /// Guards against a cluster that splits because all neighbours of a node are
  /// in its own availability zone.
  void neighboursCoverOtherZoneAndRegion() {
    MemberTable Table(makeMember("self", "z0", "r0"));
    for (int Index = 0; Index < 50; ++Index)
      Table.merge(makeMember("near" + std::to_string(Index), "z0", "r0"));
    Table.merge(makeMember("zone", "z1", "r0"));
    Table.merge(makeMember("region", "z9", "r1"));
    const auto Neighbours = NeighbourSelector::select(Table);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Neighbours.size());
    for (const char *Id : {"zone", "region"})
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::count(Neighbours.begin(),
                                                         Neighbours.end(), Id));
  }

  /// Guards against a failure detector that suspects a peer too early or more
  /// than once.
  void peerIsSuspectedOnceAfterFourMissedResponses() {
    FailureDetector Detector;
    Detector.setPeers({"b"}, StartTime);
    int Suspicions = 0;
    for (int Pings = 0; Pings <= 4; ++Pings)
      for (const DetectorAction &Action :
           Detector.tick(StartTime + Pings * FailureDetector::PingInterval)) {
        if (!std::holds_alternative<PeerSuspected>(Action))
          continue;
        ++Suspicions;
        CPPUNIT_ASSERT_EQUAL(4, Pings);
      }
    CPPUNIT_ASSERT_EQUAL(1, Suspicions);
  }

  /// Guards against a late response that is matched with the newest ping, so
  /// that the configuration in it seems newer than it is.
  void lateResponseReturnsNoPingTime() {
    FailureDetector Detector;
    Detector.setPeers({"b"}, StartTime);
    const auto First = std::get<PingDue>(Detector.tick(StartTime)[0]);
    const MonotonicTime SecondPingAt =
        StartTime + FailureDetector::PingInterval;
    const auto Second = std::get<PingDue>(Detector.tick(SecondPingAt)[0]);
    CPPUNIT_ASSERT(!Detector.onResponse("b", First.m_Sequence));
    CPPUNIT_ASSERT(Detector.onResponse("b", Second.m_Sequence) == SecondPingAt);
    CPPUNIT_ASSERT(!Detector.onResponse("b", Second.m_Sequence));
  }

  /// Guards against messages that exceed the size limit, and against updates
  /// that are sent too often or not often enough.
  void gossipMessagesAndTransmissionsAreBounded() {
    GossipQueue Queue;
    for (int Index = 0; Index < 100; ++Index)
      Queue.add(makeMember("n" + std::to_string(Index), "z", "r"));
    std::size_t SentUpdates = 0;
    while (Queue.size() != 0) {
      const auto Updates = Queue.nextUpdates();
      SentUpdates += Updates.size();
      CPPUNIT_ASSERT(!Updates.empty());
      CPPUNIT_ASSERT(Updates.size() * 20 <= GossipQueue::MaxMessageBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(100) * GossipQueue::MaxTransmissions,
                         SentUpdates);
  }

  /// Guards against fields that get lost in the encoding, and against truncated
  /// messages that are accepted.
  void peerMessageCodecPreservesEveryField() {
    PeerMessage Message;
    Message.m_Kind = PeerMessageKind::RecordRequest;
    Message.m_SenderId = "a";
    Message.m_Sequence = 7;
    Message.m_TableDigest = ~std::uint64_t(0);
    Message.m_Updates.push_back(makeMember("b", "z", "r", 9));
    Message.m_BucketDigests.emplace().fill(3);
    Message.m_Topics["configuration"] = {{"revision", 5}};
    const std::string Bytes = encodePeerMessage(Message);
    const auto Decoded = decodePeerMessage(Bytes);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(Bytes, encodePeerMessage(*Decoded));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Decoded->m_Updates[0].m_Incarnation);
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CPPUNIT_ASSERT(!decodePeerMessage(Bytes.substr(0, Length)).ok());
  }

  /// Guards against topic data of another subsystem that does not arrive, or
  /// arrives with the wrong time of its ping.
  void responseCarriesTopicWithPingTime() {
    Membership PingingNode(makeMember("a", "z", "r"), {"b:1"}, 1);
    Membership RespondingNode(makeMember("b", "z", "r"), {}, 2);
    RespondingNode.setTopic("configuration",
                            [](const std::string &, MonotonicTime) {
                              return Json{{"revision", 12}};
                            });
    std::optional<TopicReceived> Received;
    MonotonicTime PingSentAt;
    for (int Round = 0; Round < 60 && !Received; ++Round) {
      const MonotonicTime Now =
          StartTime + Round * std::chrono::milliseconds(200);
      MembershipEffects PingEffects;
      PingingNode.tick(Now, PingEffects);
      for (const SendToPeer &Message : PingEffects.m_Messages) {
        MembershipEffects ResponseEffects;
        RespondingNode.onMessage(Message.m_Bytes, Now, ResponseEffects);
        for (const SendToPeer &Response : ResponseEffects.m_Messages) {
          MembershipEffects ReceivedEffects;
          PingingNode.onMessage(Response.m_Bytes, Now, ReceivedEffects);
          for (const TopicReceived &Topic : ReceivedEffects.m_ReceivedTopics)
            Received = Topic;
          PingSentAt = Now;
        }
      }
    }
    CPPUNIT_ASSERT(Received && Received->m_PingSentAt == PingSentAt);
    CPPUNIT_ASSERT_EQUAL(12, Received->m_Value.at("revision").get<int>());
  }

  /// Guards against two clusters that form when nodes start at the same time
  /// and stay separate for 30 s, because a node with neighbours rarely contacts
  /// a seed.
  void nodeContactsSeedThatIsNotAMember() {
    Membership Node(makeMember("a", "z", "r"), {"b1:1", "other:1"}, 1);
    PeerMessage Records;
    Records.m_Kind = PeerMessageKind::Records;
    Records.m_SenderId = "b1";
    for (int Index = 0; Index < 50; ++Index)
      Records.m_Updates.push_back(
          makeMember("b" + std::to_string(Index), "z", "r"));
    MembershipEffects Effects;
    Node.onMessage(encodePeerMessage(Records), StartTime, Effects);
    Node.tick(StartTime + std::chrono::seconds(6), Effects);
    CPPUNIT_ASSERT(std::any_of(
        Effects.m_Messages.begin(), Effects.m_Messages.end(),
        [](const SendToPeer &Sent) { return Sent.m_Address == "other:1"; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace fulmarwinch
