#include "servers/feed/relay_follower.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A node that receives the changes of the store from a relay in its zone.
class RelayFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayFollowerTest);
  CPPUNIT_TEST(noStoreCallsWhileTheRelayConfirmsItsState);
  CPPUNIT_TEST(silentOrPartitionedRelayIsNotReliedOn);
  CPPUNIT_TEST(lostMessageCausesAStoreCall);
  CPPUNIT_TEST(lateMessageIsIgnored);
  CPPUNIT_TEST(positionsOfALaterEraFollowAllOfTheEraBefore);
  CPPUNIT_TEST_SUITE_END();

  const MonotonicTime m_Start{seconds(100)};

  RelayFollower followerAt(std::uint64_t Revision) const {
    RelayFollower State(milliseconds(1200));
    State.setFollowing(true);
    State.onStoreResponse(Revision, true, m_Start);
    return State;
  }

  /// Guards against store calls of every node for changes that one node could
  /// forward.
  void noStoreCallsWhileTheRelayConfirmsItsState() {
    RelayFollower State = followerAt(7);
    MonotonicTime Now = m_Start;
    for (int I = 0; I < 50; ++I) {
      Now += milliseconds(200);
      State.onRelayConfirmation(7, 7 + I, milliseconds(600), Now);
      CPPUNIT_ASSERT(State.needsNoStoreCall(Now + milliseconds(199)));
    }
    // Entries of other kinds have changed meanwhile.
    CPPUNIT_ASSERT(State.onRelayedChanges(7, 90));
    CPPUNIT_ASSERT_EQUAL(StorePosition(90), State.position());
    CPPUNIT_ASSERT(State.needsNoStoreCall(Now));
  }

  /// A relay fails, or is partitioned from the store, just before a backend
  /// server starts to drain. Guards against followers that continue to send
  /// requests to that server.
  void silentOrPartitionedRelayIsNotReliedOn() {
    RelayFollower SilentRelay = followerAt(7);
    CPPUNIT_ASSERT(!SilentRelay.needsNoStoreCall(m_Start + milliseconds(1200)));
    RelayFollower PartitionedRelay = followerAt(7);
    for (int I = 1; I <= 6; ++I)
      PartitionedRelay.onRelayConfirmation(7, 7, milliseconds(200) * I,
                                           m_Start + milliseconds(200) * I);
    CPPUNIT_ASSERT(
        !PartitionedRelay.needsNoStoreCall(m_Start + milliseconds(1200)));
  }

  /// Guards against a change that is never received because its datagram was
  /// lost.
  void lostMessageCausesAStoreCall() {
    RelayFollower State = followerAt(7);
    State.onRelayConfirmation(8, 8, milliseconds(10), m_Start);
    CPPUNIT_ASSERT(!State.needsNoStoreCall(m_Start));
    CPPUNIT_ASSERT(!State.onRelayedChanges(8, 9));
    CPPUNIT_ASSERT_EQUAL(StorePosition(7), State.position());
    State.onStoreResponse(9, true, m_Start);
    CPPUNIT_ASSERT(State.needsNoStoreCall(m_Start));
  }

  /// Guards against a late message that replaces the state by an older one.
  void lateMessageIsIgnored() {
    RelayFollower State = followerAt(7);
    CPPUNIT_ASSERT(!State.onRelayedChanges(3, 6));
    CPPUNIT_ASSERT(!State.onRelayedChanges(3, 7));
    CPPUNIT_ASSERT_EQUAL(StorePosition(7), State.position());
    CPPUNIT_ASSERT(State.needsNoStoreCall(m_Start));
  }

  /// The store returns from a copy, and its revisions go back. Guards against a
  /// node that keeps the highest revision it has seen and misses all changes up
  /// to it.
  void positionsOfALaterEraFollowAllOfTheEraBefore() {
    RelayFollower State(milliseconds(1200));
    State.setFollowing(true);
    State.onStoreResponse({1, 90}, true, m_Start);
    // The relay has listed the restored store.
    State.onRelayConfirmation({2, 40}, {2, 41}, milliseconds(10), m_Start);
    CPPUNIT_ASSERT(!State.needsNoStoreCall(m_Start));
    CPPUNIT_ASSERT(State.storeCallReason() == StoreCallReason::Restored);
    CPPUNIT_ASSERT(!State.onRelayedChanges({2, 41}, {2, 42}));

    State.onStoreResponse({2, 42}, true, m_Start);
    CPPUNIT_ASSERT_EQUAL(StorePosition(2, 42), State.position());
    CPPUNIT_ASSERT(State.onRelayedChanges({2, 42}, {2, 44}));
    // Messages from before the restoration.
    CPPUNIT_ASSERT(!State.onRelayedChanges({1, 90}, {1, 95}));
    State.onRelayConfirmation({1, 95}, {1, 99}, milliseconds(10), m_Start);
    CPPUNIT_ASSERT_EQUAL(StorePosition(2, 44), State.position());
    CPPUNIT_ASSERT(State.needsNoStoreCall(m_Start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayFollowerTest);

} // namespace fulmarwinch
