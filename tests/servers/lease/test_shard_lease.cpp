#include "randomised/fake_store.h"
#include "servers/lease/lease_manager.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Failures during the use of one shard lease: lost responses, pauses, races
/// and shutdown.
class ShardLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardLeaseTest);
  CPPUNIT_TEST(pausedHolderLosesItsLease);
  CPPUNIT_TEST(leaseDurationCountsFromBeforeTheSend);
  CPPUNIT_TEST(ownWriteIsRecognisedAfterLostResponse);
  CPPUNIT_TEST(delayedWriteIsFenced);
  CPPUNIT_TEST(onlyOneOfTwoChallengersAcquiresTheLease);
  CPPUNIT_TEST(releaseFencesDelayedRenewal);
  CPPUNIT_TEST(leasesSpreadOverAllNodes);
  CPPUNIT_TEST_SUITE_END();

  static MonotonicTime at(std::int64_t Milliseconds) {
    return MonotonicTime(std::chrono::milliseconds(100000 + Milliseconds));
  }

  static void deliver(ShardLease &Lease, const StoreResponse &Answer,
                      MonotonicTime Now) {
    if (const auto *Get = std::get_if<GetCompleted>(&Answer))
      Lease.onGetCompleted(*Get, Now);
    else
      Lease.onWriteCompleted(std::get<WriteCompleted>(Answer), Now);
  }

  StoreCallId m_NextId = 0;

  /// Executes all store calls that are due at \p Now.
  void executeDueCalls(ShardLease &Lease, FakeStore &Store, MonotonicTime Now) {
    while (auto Call = Lease.nextCall(Now, ++m_NextId))
      deliver(Lease, Store.execute(*Call), Now);
  }

  /// Returns the store call that is due at \p Now, without executing it.
  StoreAction dueCall(ShardLease &Lease, MonotonicTime Now) {
    auto Call = Lease.nextCall(Now, ++m_NextId);
    CPPUNIT_ASSERT(Call.has_value());
    return *Call;
  }

  /// Guards against a paused holder that resumes and acts after another node
  /// has acquired the lease.
  void pausedHolderLosesItsLease() {
    FakeStore Store;
    ShardLease First({}, "r.0", "a#1");
    ShardLease Second({}, "r.0", "b#1");
    executeDueCalls(First, Store, at(0));
    CPPUNIT_ASSERT(First.isHeld(at(0)));
    executeDueCalls(Second, Store, at(1));
    for (int Time = 100; Time <= 6000; Time += 100) {
      executeDueCalls(Second, Store, at(Time));
      CPPUNIT_ASSERT(!Second.isHeld(at(Time)));
    }
    CPPUNIT_ASSERT(!First.isHeld(at(5994)));
    for (int Time = 6007; Time <= 9000; Time += 100)
      executeDueCalls(Second, Store, at(Time));
    CPPUNIT_ASSERT(Second.isHeld(at(9000)));
    CPPUNIT_ASSERT(Second.epoch() > First.epoch());
    executeDueCalls(First, Store, at(9001));
    CPPUNIT_ASSERT(!First.isHeld(at(9001)));
  }

  /// Guards against counting the lease duration from a slow response: another
  /// node may have acquired the lease by then.
  void leaseDurationCountsFromBeforeTheSend() {
    FakeStore Store;
    ShardLease Lease({}, "r.0", "a#1");
    deliver(Lease, Store.execute(dueCall(Lease, at(0))), at(0));
    const StoreResponse Answer = Store.execute(dueCall(Lease, at(0)));
    deliver(Lease, Answer, at(5000));
    CPPUNIT_ASSERT(Lease.isHeld(at(5993)));
    CPPUNIT_ASSERT(!Lease.isHeld(at(5994)));
  }

  /// Guards against a node that does not recognise its own write after a lost
  /// response, and waits until that lease expires.
  void ownWriteIsRecognisedAfterLostResponse() {
    FakeStore Store;
    ShardLease Lease({}, "r.0", "a#1");
    deliver(Lease, Store.execute(dueCall(Lease, at(0))), at(0));
    Store.execute(dueCall(Lease, at(0)));
    Lease.onWriteCompleted({m_NextId, StoreOutcome::Unknown, 0}, at(1000));
    executeDueCalls(Lease, Store, at(1500));
    CPPUNIT_ASSERT(Lease.isHeld(at(1500)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Lease.epoch());
  }

  /// Guards against a delayed write that takes effect after a later one.
  void delayedWriteIsFenced() {
    FakeStore Store;
    ShardLease Lease({}, "r.0", "a#1");
    deliver(Lease, Store.execute(dueCall(Lease, at(0))), at(0));
    const StoreAction DelayedWrite = dueCall(Lease, at(0));
    Lease.onWriteCompleted({m_NextId, StoreOutcome::Unknown, 0}, at(1000));
    executeDueCalls(Lease, Store, at(1500));
    CPPUNIT_ASSERT(Lease.isHeld(at(1500)));
    const auto Answer = std::get<WriteCompleted>(Store.execute(DelayedWrite));
    CPPUNIT_ASSERT(Answer.m_Outcome == StoreOutcome::Conflict);
  }

  /// Guards against two holders after two nodes challenge at the same time.
  void onlyOneOfTwoChallengersAcquiresTheLease() {
    FakeStore Store;
    ShardLease First({}, "r.0", "a#1");
    ShardLease Second({}, "r.0", "b#1");
    deliver(First, Store.execute(dueCall(First, at(0))), at(0));
    deliver(Second, Store.execute(dueCall(Second, at(0))), at(0));
    const StoreAction PutFirst = dueCall(First, at(0));
    const StoreCallId FirstId = m_NextId;
    const StoreAction PutSecond = dueCall(Second, at(0));
    deliver(Second, Store.execute(PutSecond), at(10));
    const StoreResponse Rejected = Store.execute(PutFirst);
    CPPUNIT_ASSERT_EQUAL(FirstId, std::get<WriteCompleted>(Rejected).m_Id);
    deliver(First, Rejected, at(10));
    executeDueCalls(First, Store, at(20));
    CPPUNIT_ASSERT(Second.isHeld(at(20)));
    CPPUNIT_ASSERT(!First.isHeld(at(20)));
  }

  /// Guards against a late renewal that acquires a released lease again.
  void releaseFencesDelayedRenewal() {
    FakeStore Store;
    ShardLease Lease({}, "r.0", "a#1");
    executeDueCalls(Lease, Store, at(0));
    const StoreAction Renewal = dueCall(Lease, at(2000));
    Lease.stop();
    CPPUNIT_ASSERT(!Lease.isHeld(at(2000)));
    Lease.onWriteCompleted({m_NextId, StoreOutcome::Unknown, 0}, at(2100));
    CPPUNIT_ASSERT(!Lease.isStopped(at(2100)));
    executeDueCalls(Lease, Store, at(2700));
    CPPUNIT_ASSERT(Lease.isStopped(at(2700)));
    const auto Answer = std::get<WriteCompleted>(Store.execute(Renewal));
    CPPUNIT_ASSERT(Answer.m_Outcome == StoreOutcome::Conflict);
    ShardLease Next({}, "r.0", "b#1");
    executeDueCalls(Next, Store, at(2800));
    CPPUNIT_ASSERT(Next.isHeld(at(2800)));
  }

  /// Guards against one node that holds the leases of all shards after other
  /// nodes have started.
  void leasesSpreadOverAllNodes() {
    FakeStore Store;
    const std::vector<std::string> Names{"a", "b", "c", "d"};
    std::vector<LeaseManager> Nodes;
    for (const std::string &Name : Names)
      Nodes.emplace_back(LeaseSettings{}, "r", Name, Name + "#1");
    for (int Time = 0; Time < 120000; Time += 100) {
      for (LeaseManager &Node : Nodes) {
        if (Time == 10000)
          Node.setLiveNodes(Names);
        std::vector<StoreAction> Calls = Node.tick(at(Time));
        while (!Calls.empty()) {
          const StoreResponse Answer = Store.execute(Calls.back());
          Calls.pop_back();
          const auto *Get = std::get_if<GetCompleted>(&Answer);
          for (StoreAction &Next :
               Get != nullptr ? Node.onGetCompleted(*Get, at(Time))
                              : Node.onWriteCompleted(
                                    std::get<WriteCompleted>(Answer), at(Time)))
            Calls.push_back(std::move(Next));
        }
      }
    }
    std::size_t HeldCount = 0;
    for (const LeaseManager &Node : Nodes) {
      CPPUNIT_ASSERT(Node.heldShards(at(120000)).size() < 12);
      HeldCount += Node.heldShards(at(120000)).size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, HeldCount);
    // 16 leases renewed every 2 s for 120 s, plus the handovers.
    CPPUNIT_ASSERT(Store.writeCount() < 1200);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardLeaseTest);

} // namespace fulmarwinch
