#include "servers/membership/membership.h"
#include "servers/membership/neighbour_selector.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr MonotonicTime Zero{};

MemberRecord makeMember(const std::string &Id, const std::string &Zone,
                        const std::string &Region,
                        std::uint64_t Incarnation = 1) {
  return {Id, Incarnation, MemberState::Alive, Zone, Region, Id + ":1"};
}

} // namespace

/// One failure each of the parts of membership.
class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(restartSupersedesFormerSelf);
  CPPUNIT_TEST(ownNodeRefutes);
  CPPUNIT_TEST(choosesOtherZoneAndRegion);
  CPPUNIT_TEST(suspectsAfterFourMissedResponses);
  CPPUNIT_TEST(lateResponseHasNoTime);
  CPPUNIT_TEST(gossipIsBounded);
  CPPUNIT_TEST(codecKeepsEveryField);
  CPPUNIT_TEST(carriesTopics);
  CPPUNIT_TEST(contactsSeedThatIsNoMember);
  CPPUNIT_TEST_SUITE_END();

  void restartSupersedesFormerSelf() {
    MemberTable Table(makeMember("a", "z", "r"));
    CPPUNIT_ASSERT(Table.merge(makeMember("b", "z", "r", 5)));
    CPPUNIT_ASSERT(Table.mark("b", MemberState::Dead));
    CPPUNIT_ASSERT(!Table.merge(makeMember("b", "z", "r", 5)));
    CPPUNIT_ASSERT(Table.merge(makeMember("b", "z", "r", 6)));
    CPPUNIT_ASSERT(Table.find("b")->isReachable());
  }

  void ownNodeRefutes() {
    MemberTable Table(makeMember("a", "z", "r", 3));
    MemberRecord Claim = makeMember("a", "z", "r", 3);
    Claim.m_State = MemberState::Dead;
    CPPUNIT_ASSERT(Table.merge(Claim));
    CPPUNIT_ASSERT(Table.self().m_State == MemberState::Alive);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Table.self().m_Incarnation);
    Table.leave();
    CPPUNIT_ASSERT(Table.self().m_State == MemberState::Left);
  }

  void choosesOtherZoneAndRegion() {
    MemberTable Table(makeMember("self", "z0", "r0"));
    for (int Index = 0; Index < 50; ++Index)
      Table.merge(makeMember("near" + std::to_string(Index), "z0", "r0"));
    Table.merge(makeMember("zone", "z1", "r0"));
    Table.merge(makeMember("region", "z9", "r1"));
    const auto Chosen = NeighbourSelector::select(Table);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Chosen.size());
    for (const char *Id : {"zone", "region"})
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1),
                           std::count(Chosen.begin(), Chosen.end(), Id));
  }

  void suspectsAfterFourMissedResponses() {
    FailureDetector Detector;
    Detector.setPeers({"b"}, Zero);
    int Suspicions = 0;
    for (int Tick = 0; Tick <= 4; ++Tick)
      for (const DetectorAction &Action :
           Detector.tick(Zero + Tick * FailureDetector::PingInterval)) {
        if (!std::holds_alternative<PeerSuspected>(Action))
          continue;
        ++Suspicions;
        CPPUNIT_ASSERT_EQUAL(4, Tick);
      }
    CPPUNIT_ASSERT_EQUAL(1, Suspicions);
  }

  /// Guards against a late response that is taken for the answer to the
  /// newest ping and makes a configuration look newer than it is.
  void lateResponseHasNoTime() {
    FailureDetector Detector;
    Detector.setPeers({"b"}, Zero);
    const auto First = std::get<PingDue>(Detector.tick(Zero)[0]);
    const MonotonicTime Later = Zero + FailureDetector::PingInterval;
    const auto Second = std::get<PingDue>(Detector.tick(Later)[0]);
    CPPUNIT_ASSERT(!Detector.onResponse("b", First.m_Sequence));
    CPPUNIT_ASSERT(Detector.onResponse("b", Second.m_Sequence) == Later);
    CPPUNIT_ASSERT(!Detector.onResponse("b", Second.m_Sequence));
  }

  void gossipIsBounded() {
    GossipQueue Queue;
    for (int Index = 0; Index < 100; ++Index)
      Queue.add(makeMember("n" + std::to_string(Index), "z", "r"));
    std::size_t Sent = 0;
    while (Queue.size() != 0) {
      const auto Taken = Queue.take();
      Sent += Taken.size();
      CPPUNIT_ASSERT(!Taken.empty());
      CPPUNIT_ASSERT(Taken.size() * 20 <= GossipQueue::MessageBudget);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(100) * GossipQueue::MaxTransmissions,
                         Sent);
  }

  void codecKeepsEveryField() {
    PeerMessage Message;
    Message.m_Kind = PeerMessageKind::Digests;
    Message.m_From = "a";
    Message.m_Sequence = 7;
    Message.m_Digest = ~std::uint64_t(0);
    Message.m_Updates.push_back(makeMember("b", "z", "r", 9));
    Message.m_Digests.emplace().fill(3);
    Message.m_Topics["configuration"] = {{"revision", 5}};
    const std::string Bytes = encodePeerMessage(Message);
    const auto Read = decodePeerMessage(Bytes);
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT_EQUAL(Bytes, encodePeerMessage(*Read));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Read->m_Updates[0].m_Incarnation);
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CPPUNIT_ASSERT(!decodePeerMessage(Bytes.substr(0, Length)).ok());
  }

  void carriesTopics() {
    Membership First(makeMember("a", "z", "r"), {"b:1"}, 1);
    Membership Second(makeMember("b", "z", "r"), {}, 2);
    Second.setTopic("configuration", [](const std::string &, MonotonicTime) {
      return Json{{"revision", 12}};
    });
    std::optional<TopicReceived> Received;
    MonotonicTime SentAt;
    for (int Round = 0; Round < 60 && !Received; ++Round) {
      const MonotonicTime Now = Zero + Round * std::chrono::milliseconds(200);
      MembershipEffects Sent;
      First.tick(Now, Sent);
      for (const SendToPeer &Message : Sent.m_Messages) {
        MembershipEffects Answered;
        Second.onMessage(Message.m_Bytes, Now, Answered);
        for (const SendToPeer &Answer : Answered.m_Messages) {
          MembershipEffects Events;
          First.onMessage(Answer.m_Bytes, Now, Events);
          for (const TopicReceived &Topic : Events.m_Topics)
            Received = Topic;
          SentAt = Now;
        }
      }
    }
    CPPUNIT_ASSERT(Received && Received->m_AskedAt == SentAt);
    CPPUNIT_ASSERT_EQUAL(12, Received->m_Value.at("revision").get<int>());
  }

  /// Guards against two sides that formed at a simultaneous start and did not
  /// know each other for 30 s, because a node with neighbours hardly ever
  /// contacted a seed.
  void contactsSeedThatIsNoMember() {
    Membership Node(makeMember("a", "z", "r"), {"b1:1", "other:1"}, 1);
    PeerMessage Known;
    Known.m_Kind = PeerMessageKind::Records;
    Known.m_From = "b1";
    for (int Index = 0; Index < 50; ++Index)
      Known.m_Updates.push_back(
          makeMember("b" + std::to_string(Index), "z", "r"));
    MembershipEffects Effects;
    Node.onMessage(encodePeerMessage(Known), Zero, Effects);
    Node.tick(Zero + std::chrono::seconds(6), Effects);
    CPPUNIT_ASSERT(std::any_of(
        Effects.m_Messages.begin(), Effects.m_Messages.end(),
        [](const SendToPeer &Each) { return Each.m_Address == "other:1"; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace fulmarwinch
