#include "servers/feed/follow_state.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A node that learns the store's changes from another node of its zone.
class FollowStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowStateTest);
  CPPUNIT_TEST(followerIdlesWhileItsRelayVouches);
  CPPUNIT_TEST(silentOrCutOffRelayIsLeftInTime);
  CPPUNIT_TEST(lostMessageLeadsToTheStore);
  CPPUNIT_TEST(lateMessageChangesNothing);
  CPPUNIT_TEST(oneNodeOfAZoneRelays);
  CPPUNIT_TEST_SUITE_END();

  const MonotonicTime m_Start{seconds(100)};

  FollowState following(std::uint64_t Revision) const {
    FollowState State(milliseconds(1200));
    State.setFollowing(true);
    State.onStoreAnswer(Revision, true, m_Start);
    return State;
  }

  /// Guards against calls of every node for what one node could pass on.
  void followerIdlesWhileItsRelayVouches() {
    FollowState State = following(7);
    MonotonicTime Now = m_Start;
    for (int I = 0; I < 50; ++I) {
      Now += milliseconds(200);
      State.onVouch(7, 7 + I, milliseconds(600), Now);
      CPPUNIT_ASSERT(State.mayIdle(Now + milliseconds(199)));
    }
    // Other kinds have changed meanwhile.
    CPPUNIT_ASSERT(State.onChanges(7, 90));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{90}, State.revision());
    CPPUNIT_ASSERT(State.mayIdle(Now));
  }

  /// Pattern: a relay dies, or lives on without its way to the store, just
  /// before a server starts to leave. Guards against followers that go on
  /// sending to that server.
  void silentOrCutOffRelayIsLeftInTime() {
    FollowState Silent = following(7);
    CPPUNIT_ASSERT(!Silent.mayIdle(m_Start + milliseconds(1200)));
    FollowState CutOff = following(7);
    for (int I = 1; I <= 6; ++I)
      CutOff.onVouch(7, 7, milliseconds(200) * I,
                     m_Start + milliseconds(200) * I);
    CPPUNIT_ASSERT(!CutOff.mayIdle(m_Start + milliseconds(1200)));
  }

  /// Guards against a change that is never noticed because the datagram with
  /// it was lost.
  void lostMessageLeadsToTheStore() {
    FollowState State = following(7);
    State.onVouch(8, 8, milliseconds(10), m_Start);
    CPPUNIT_ASSERT(!State.mayIdle(m_Start));
    CPPUNIT_ASSERT(!State.onChanges(8, 9));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, State.revision());
    State.onStoreAnswer(9, true, m_Start);
    CPPUNIT_ASSERT(State.mayIdle(m_Start));
  }

  /// Guards against a return to an older state.
  void lateMessageChangesNothing() {
    FollowState State = following(7);
    CPPUNIT_ASSERT(!State.onChanges(3, 6));
    CPPUNIT_ASSERT(!State.onChanges(3, 7));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, State.revision());
    CPPUNIT_ASSERT(State.mayIdle(m_Start));
  }

  /// Guards against zones without a relay and against several of them.
  void oneNodeOfAZoneRelays() {
    const std::vector<std::string> Nodes{"n1", "n2", "n3"};
    const auto Relay = relayOf("a", Nodes);
    CPPUNIT_ASSERT(Relay.has_value());
    CPPUNIT_ASSERT(Relay == relayOf("a", {"n3", "n1", "n2"}));
    CPPUNIT_ASSERT(!relayOf("a", {"n1"}).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowStateTest);

} // namespace fulmarwinch
