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
  CPPUNIT_TEST(readsOfManyNodesStayFewWhileTheHolderRenews);
  CPPUNIT_TEST(nodeOfLowRankTakesOverWhenAllBeforeItAreCutOff);
  CPPUNIT_TEST(restoredStoreGrantsNoEpochTwice);
  CPPUNIT_TEST(holderOfTheLostSpanActsAlone);
  CPPUNIT_TEST(lateWriteOfTheEraBeforeTakesNoLease);
  CPPUNIT_TEST(newProcessWaitsOnlyWhereTheCopyMayLackALease);
  CPPUNIT_TEST(promisesOfALostHolderOutlastTheRestoration);
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

  /// Executes the due calls of \p Lease until \p Until and returns the time at
  /// which it held the lease; \p Until if it never did.
  MonotonicTime runUntilHeld(ShardLease &Lease, FakeStore &Store,
                             MonotonicTime From, MonotonicTime Until) {
    for (MonotonicTime Now = From; Now < Until;
         Now += std::chrono::milliseconds(50)) {
      executeDueCalls(Lease, Store, Now);
      if (Lease.isHeld(Now))
        return Now;
    }
    return Until;
  }

  /// The store returns from a copy that was made before the last change of the
  /// holder. Guards against an epoch that two processes hold, whose groups then
  /// have the same keys.
  void restoredStoreGrantsNoEpochTwice() {
    FakeStore Store;
    ShardLease First({}, "r.0", "a#1");
    ShardLease Second({}, "r.0", "b#1");
    ShardLease Third({}, "r.0", "c#1");
    executeDueCalls(First, Store, at(0));
    First.stop();
    executeDueCalls(First, Store, at(100));
    const FakeStore Copy = Store;
    runUntilHeld(Second, Store, at(200), at(10000));
    CPPUNIT_ASSERT(Second.isHeld(at(200)));

    Store.returnFrom(Copy);
    runUntilHeld(Third, Store, at(300), at(30000));
    CPPUNIT_ASSERT(Third.epoch() > Second.epoch());
    // A second restoration loses that lease as well.
    Store.returnFrom(Copy);
    ShardLease Fourth({}, "r.0", "d#1");
    runUntilHeld(Fourth, Store, at(30000), at(60000));
    CPPUNIT_ASSERT(Fourth.epoch() > Third.epoch());
  }

  /// The copy names no holder, while the one of the lost span acts until its
  /// lease ends by its clock. Guards against a second holder beside it.
  void holderOfTheLostSpanActsAlone() {
    FakeStore Store;
    ShardLease First({}, "r.0", "a#1");
    executeDueCalls(First, Store, at(0));
    First.stop();
    executeDueCalls(First, Store, at(100));
    const FakeStore Copy = Store;
    ShardLease Holder({}, "r.0", "b#1");
    ShardLease Next({}, "r.0", "c#1");
    executeDueCalls(Holder, Store, at(200));
    executeDueCalls(Next, Store, at(210));
    CPPUNIT_ASSERT(Holder.isHeld(at(210)));

    Store.returnFrom(Copy);
    const MonotonicTime HeldAt = runUntilHeld(Next, Store, at(250), at(30000));
    CPPUNIT_ASSERT(HeldAt < at(30000));
    CPPUNIT_ASSERT(!Holder.isHeld(HeldAt));

    // A holder that hears of the restoration acts no longer.
    FakeStore Later = Store;
    Store.returnFrom(Later);
    CPPUNIT_ASSERT(Next.isHeld(HeldAt));
    Next.onStoreEra(Store.era(), HeldAt);
    CPPUNIT_ASSERT(!Next.isHeld(HeldAt));
    CPPUNIT_ASSERT(!Next.ownsLease());
  }

  /// A write whose answer was lost is executed after the restoration, since the
  /// version that it expects was given out again. Guards against its writer
  /// taking the lease of a holder that it never read for its own.
  void lateWriteOfTheEraBeforeTakesNoLease() {
    FakeStore Store;
    ShardLease First({}, "r.0", "a#1");
    executeDueCalls(First, Store, at(0));
    const FakeStore Copy = Store;
    executeDueCalls(First, Store, at(2000));
    const StoreAction Late = dueCall(First, at(4000));
    First.onWriteCompleted({m_NextId, StoreOutcome::Unknown, {}}, at(4100));

    Store.returnFrom(Copy);
    ShardLease Second({}, "r.0", "b#1");
    const MonotonicTime HeldAt =
        runUntilHeld(Second, Store, at(4100), at(30000));
    CPPUNIT_ASSERT(Second.isHeld(HeldAt));
    Store.execute(Late);
    const MonotonicTime Later = HeldAt + std::chrono::milliseconds(10);
    executeDueCalls(First, Store, Later);
    CPPUNIT_ASSERT(!First.isHeld(Later));
    // The holder finds the record of another era in place of its own.
    const MonotonicTime Renewal = HeldAt + std::chrono::milliseconds(2100);
    executeDueCalls(Second, Store, Renewal);
    CPPUNIT_ASSERT(!Second.isHeld(Renewal));
    CPPUNIT_ASSERT(runUntilHeld(Second, Store, Renewal, at(60000)) < at(60000));
  }

  /// A process that starts does not know when the store returned. Guards
  /// against one that takes the lease at once, and against a wait at each start
  /// of a process.
  void newProcessWaitsOnlyWhereTheCopyMayLackALease() {
    FakeStore Store;
    Store.returnFrom(FakeStore());
    LeaseSettings Settings;
    Settings.m_RestorationDelay = std::chrono::seconds(9);
    ShardLease First(Settings, "r.0", "a#1");
    CPPUNIT_ASSERT(runUntilHeld(First, Store, at(0), at(30000)) >= at(9000));
    First.stop();
    executeDueCalls(First, Store, at(30000));
    ShardLease Second(Settings, "r.0", "b#1");
    executeDueCalls(Second, Store, at(31000));
    CPPUNIT_ASSERT(Second.isHeld(at(31000)));

    FakeStore Empty;
    Empty.returnFrom(FakeStore());
    Settings.m_IsFirstStart = true;
    ShardLease OfTheFirstStart(Settings, "r.0", "c#1");
    executeDueCalls(OfTheFirstStart, Empty, at(0));
    CPPUNIT_ASSERT(OfTheFirstStart.isHeld(at(0)));
  }

  /// The holder is lost together with the last seconds of the store. Guards
  /// against a next holder that acts before the promises of the lost one have
  /// ended, and against the same wait for a holder that remembers its promises.
  void promisesOfALostHolderOutlastTheRestoration() {
    LeaseSettings Settings;
    Settings.m_LeaseDuration = std::chrono::milliseconds(1600);
    Settings.m_RenewPeriod = std::chrono::milliseconds(500);
    Settings.m_RestorationDelay = std::chrono::milliseconds(4300);
    Settings.m_LostHolderDelay = std::chrono::milliseconds(6500);
    const auto HeldAfterReturn = [&](bool IsHolder, MonotonicTime ReturnedAt) {
      FakeStore Store;
      ShardLease Holder(Settings, "r.0", "a#1");
      ShardLease Other(Settings, "r.0", "b#1");
      executeDueCalls(Holder, Store, at(0));
      executeDueCalls(Other, Store, at(10));
      Store.returnFrom(FakeStore(Store));
      ShardLease &Next = IsHolder ? Holder : Other;
      Next.onStoreEra(Store.era(), ReturnedAt);
      return runUntilHeld(Next, Store, ReturnedAt, at(30000));
    };
    CPPUNIT_ASSERT(HeldAfterReturn(false, at(1000)) >= at(7500));
    CPPUNIT_ASSERT(HeldAfterReturn(false, at(1000)) < at(30000));
    CPPUNIT_ASSERT(HeldAfterReturn(true, at(1000)) >= at(5300));
    CPPUNIT_ASSERT(HeldAfterReturn(true, at(1000)) < at(7500));
    // Another process may have held the lease after it had expired.
    CPPUNIT_ASSERT(HeldAfterReturn(true, at(3000)) >= at(9500));
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

  static LeaseSettings shortLease() {
    LeaseSettings Settings;
    Settings.m_LeaseDuration = std::chrono::milliseconds(1600);
    Settings.m_RenewPeriod = std::chrono::milliseconds(500);
    Settings.m_PreferredPollPeriod = std::chrono::milliseconds(500);
    Settings.m_BackupPollPeriod = std::chrono::milliseconds(2000);
    Settings.m_ChallengeDelayPerRank = std::chrono::milliseconds(400);
    return Settings;
  }

  /// Load pattern: 95 nodes start at the same time and stay idle while one of
  /// them holds the lease. Guards against store reads that grow with the number
  /// of nodes: each read shows a renewed lease, which must not lead to the next
  /// read after the challenge delay.
  void readsOfManyNodesStayFewWhileTheHolderRenews() {
    constexpr std::size_t NodeCount = 95;
    constexpr int RunMs = 60000;
    FakeStore Store;
    std::vector<ShardLease> Leases;
    for (std::size_t I = 0; I < NodeCount; ++I) {
      Leases.emplace_back(shortLease(), "groups", "n" + std::to_string(I));
      Leases.back().setRank(I, NodeCount);
    }
    std::size_t Reads = 0;
    for (int Time = 0; Time < RunMs; Time += 20)
      for (ShardLease &Lease : Leases)
        while (const auto Call = Lease.nextCall(at(Time), ++m_NextId)) {
          Reads += std::holds_alternative<GetObject>(*Call);
          deliver(Lease, Store.execute(*Call), at(Time));
        }
    CPPUNIT_ASSERT(Leases[0].isHeld(at(RunMs - 20)));
    // Without a limit, 95 nodes make 30 reads a second.
    constexpr std::size_t MaxReadsPerSecond = 10;
    CPPUNIT_ASSERT(Reads <= MaxReadsPerSecond * RunMs / 1000);
  }

  /// The store turns away the holder and the three nodes that rank before the
  /// fifth. Guards against a lease that nobody acquires then.
  void nodeOfLowRankTakesOverWhenAllBeforeItAreCutOff() {
    constexpr std::size_t NodeCount = 95;
    constexpr std::size_t FirstConnected = 4;
    constexpr int CutAt = 20000;
    FakeStore Store;
    std::vector<ShardLease> Leases;
    for (std::size_t I = 0; I < NodeCount; ++I) {
      Leases.emplace_back(shortLease(), "groups", "n" + std::to_string(I));
      Leases.back().setRank(I, NodeCount);
    }
    int HeldAt = 0;
    for (int Time = 0; Time < CutAt + 30000 && HeldAt == 0; Time += 20)
      for (std::size_t I = 0; I < NodeCount; ++I) {
        const bool IsCutOff = Time >= CutAt && I < FirstConnected;
        while (const auto Call = Leases[I].nextCall(at(Time), ++m_NextId)) {
          if (!IsCutOff)
            deliver(Leases[I], Store.execute(*Call), at(Time));
          else if (std::holds_alternative<GetObject>(*Call))
            Leases[I].onGetCompleted(
                {m_NextId, StoreOutcome::Unavailable, 0, ""}, at(Time));
          else
            Leases[I].onWriteCompleted({m_NextId, StoreOutcome::Unavailable, 0},
                                       at(Time));
        }
        if (Time >= CutAt && I >= FirstConnected && Leases[I].isHeld(at(Time)))
          HeldAt = Time;
      }
    CPPUNIT_ASSERT(HeldAt > CutAt);
    CPPUNIT_ASSERT(HeldAt < CutAt + 15000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardLeaseTest);

} // namespace fulmarwinch
