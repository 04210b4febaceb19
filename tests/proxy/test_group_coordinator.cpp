#include "proxy/group_coordinator.h"
#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Orders of a node whose lease on group formation expires while it waits for
/// the store.
class GroupCoordinatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupCoordinatorTest);
  CPPUNIT_TEST(ordersFollowTheStoredQuarantine);
  CPPUNIT_TEST(ordersOfAnExpiredLeaseAreNotSent);
  CPPUNIT_TEST(orderOfALeaseThatExpiresBeforeTheFirstByteIsNotSent);
  CPPUNIT_TEST(ordersWaitUntilTheStoreNamesTheLaterHead);
  CPPUNIT_TEST(headThatFailsAfterItsProbeIsProbedAgain);
  CPPUNIT_TEST(probeShowsThatAServerLeaves);
  CPPUNIT_TEST(leaseThatReturnsWithItsEpochRepeatsNoGroupKey);
  CPPUNIT_TEST(quarantineThatTheCopyLacksIsWrittenAgain);
  CPPUNIT_TEST(quarantineOfALostHolderIsOutwaited);
  CPPUNIT_TEST_SUITE_END();

  /// Longer than the lease on group formation.
  static constexpr Duration PauseTime = milliseconds(2000);

  /// One group of two members, whose head loses its entry, and a store that
  /// answers all calls but the write of the quarantine.
  struct World {
    RelayFixture m_Fixture;
    PlatformBinding m_Platform;
    /// Content of the quarantine object that a new lease holder reads; without
    /// one there is no object.
    std::string m_StoredQuarantine;
    std::string m_WrittenQuarantine;
    std::function<void(StoreCompletion)> m_AnswerQuarantineWrite;
    /// True if the store answers writes of the lease only when
    /// m_AnswerLeaseWrite is called.
    bool m_DelaysLeaseWrites = false;
    std::function<void()> m_AnswerLeaseWrite;
    /// Era that the store names; 0 if it names none.
    StoreEra m_Era = 0;
    std::optional<GroupCoordinator> m_Coordinator;

    explicit World(FrontSettings Settings = {}) {
      m_Fixture.configureGroups();
      TrafficConfiguration Configuration =
          m_Fixture.m_Context.m_RouteTable->configuration();
      Configuration.m_Services.front().m_Engine.m_Models.front().m_GroupSize =
          2;
      m_Fixture.m_Context.m_RouteTable =
          std::make_shared<RouteTable>(std::move(Configuration));
      m_Platform.m_OrderPath = "/order";
      m_Platform.m_LoadReportPath = "/report";
      m_Platform.m_EncodeOrder = [](const MemberOrder &) {
        return std::string("{}");
      };
      m_Platform.m_DecodeOrderState = [](const std::string &) {
        return std::make_optional<OrderState>();
      };
      m_Platform.m_StartStoreCall =
          [this](const StoreAction &Action,
                 std::function<void(StoreCompletion)> Done) {
            startStoreCall(Action, std::move(Done));
          };
      Settings.m_NodeName = "n1";
      m_Coordinator.emplace(m_Fixture.m_Context, m_Platform, Settings, "n1-1");
      setMember("s1", 0, GroupMemberState::Open);
      setMember("s2", 1, GroupMemberState::Ready);
    }

    void startStoreCall(const StoreAction &Action,
                        std::function<void(StoreCompletion)> Done) {
      if (const auto *Get = std::get_if<GetObject>(&Action)) {
        GetCompleted Result;
        Result.m_Id = Get->m_Id;
        Result.m_Era = m_Era;
        Result.m_Outcome = StoreOutcome::NotFound;
        if (Get->m_Key.find("quarantine") != std::string::npos &&
            !m_StoredQuarantine.empty()) {
          Result.m_Outcome = StoreOutcome::Succeeded;
          Result.m_Value = m_StoredQuarantine;
        }
        asio::post(m_Fixture.m_Loop,
                   [Done = std::move(Done), Result] { Done(Result); });
        return;
      }
      const auto &Put = std::get<PutObject>(Action);
      if (Put.m_Key.find("quarantine") != std::string::npos) {
        m_AnswerQuarantineWrite = std::move(Done);
        m_WrittenQuarantine = Put.m_Value;
        return;
      }
      auto Answer = [Done = std::move(Done), Id = Put.m_Id] {
        Done(WriteCompleted{Id, StoreOutcome::Succeeded, 7});
      };
      if (m_DelaysLeaseWrites)
        m_AnswerLeaseWrite = std::move(Answer);
      else
        asio::post(m_Fixture.m_Loop, std::move(Answer));
    }

    void setMember(const std::string &Id, unsigned Rank,
                   GroupMemberState State) {
      BackendServer Server = *m_Fixture.m_Fleet.find(Id);
      Server.m_FabricDomain = "d1";
      Server.m_StartedAtMs = 1000;
      Server.m_Membership = GroupMembership{{"m.1.1", 100001}, Rank, State};
      Server.m_Position.m_Revision += 100;
      m_Fixture.m_Fleet.update(Server, monotonicNow());
    }

    /// Adds a server that can join a group without a load.
    void addFreeServer(const std::string &Id) {
      BackendServer Server = *m_Fixture.m_Fleet.find("s1");
      Server.m_Id = Id;
      Server.m_Membership.reset();
      Server.m_StagedModels = {"m"};
      m_Fixture.m_Fleet.update(Server, monotonicNow());
    }

    void runFor(Duration Time) {
      const MonotonicTime End = monotonicNow() + Time;
      while (monotonicNow() < End) {
        m_Coordinator->tick(monotonicNow());
        m_Fixture.runFor(milliseconds(10));
      }
    }

    /// Both servers answer requests for their states.
    void answerStateRequests() {
      for (ScriptedServer *Server :
           {m_Fixture.m_FirstServer.get(), m_Fixture.m_SecondServer.get()})
        Server->setFixedResponse(
            "/report", {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    }

    /// Runs until the orders to the members wait for the quarantine.
    void loseHead() {
      answerStateRequests();
      runFor(milliseconds(300));
      CPPUNIT_ASSERT(m_Coordinator->holdsLease());
      m_Fixture.m_Fleet.remove("s1", 100000);
      for (int I = 0; I < 200 && !m_AnswerQuarantineWrite; ++I)
        runFor(milliseconds(10));
      CPPUNIT_ASSERT(m_AnswerQuarantineWrite != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ordersToTheMember());
    }

    void answerQuarantineWrite() {
      m_AnswerQuarantineWrite(WriteCompleted{0, StoreOutcome::Succeeded, 8});
      m_Fixture.runFor(milliseconds(200));
    }

    std::size_t ordersToTheMember() const {
      return m_Fixture.m_SecondServer->requests().size();
    }
  };

  void ordersFollowTheStoredQuarantine() {
    World Test;
    Test.loseHead();
    Test.answerQuarantineWrite();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Test.ordersToTheMember());
  }

  /// The process is paused while it waits for the store and wakes after its
  /// lease has expired; the answer is the first thing that it processes. Guards
  /// against orders of two lease holders at the same time.
  void ordersOfAnExpiredLeaseAreNotSent() {
    World Test;
    Test.loseHead();
    std::this_thread::sleep_for(PauseTime);
    Test.answerQuarantineWrite();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Test.ordersToTheMember());
  }

  /// The process is paused while it connects to the member. Guards against an
  /// order that was decided under a lease and is sent after its end.
  void orderOfALeaseThatExpiresBeforeTheFirstByteIsNotSent() {
    World Test;
    Test.loseHead();
    Test.m_Platform.m_EncodeOrder = [](const MemberOrder &) {
      std::this_thread::sleep_for(PauseTime);
      return std::string("{}");
    };
    Test.answerQuarantineWrite();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Test.ordersToTheMember());
  }

  /// The store returns from a copy that was made before a server was
  /// quarantined. Guards against the next lease holder taking the server into a
  /// group while the head of its last one may serve.
  void quarantineThatTheCopyLacksIsWrittenAgain() {
    World Test;
    Test.loseHead();
    Test.answerQuarantineWrite();
    Test.m_AnswerQuarantineWrite = nullptr;
    Test.m_WrittenQuarantine.clear();
    Test.m_StoredQuarantine =
        toJson({{"s9", {"i-old", {"127.0.0.1", 1}, 5}}}).dump();
    Test.m_Coordinator->onStoreRestored(1);
    Test.runFor(milliseconds(100));
    CPPUNIT_ASSERT(!Test.m_Coordinator->holdsLease());
    CPPUNIT_ASSERT(Test.m_AnswerQuarantineWrite != nullptr);
    const QuarantineRecord Written = parseQuarantineRecord(
        *parseJson(Test.m_WrittenQuarantine, "quarantine record"));
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), Written.at("s2").m_Id);
    CPPUNIT_ASSERT_EQUAL(std::string("i-old"), Written.at("s9").m_Id);

    // A write that failed is repeated, one that succeeded is not.
    const auto FailedWrite = std::exchange(Test.m_AnswerQuarantineWrite, {});
    FailedWrite(WriteCompleted{0, StoreOutcome::Unknown, {}});
    Test.runFor(milliseconds(300));
    CPPUNIT_ASSERT(Test.m_AnswerQuarantineWrite != nullptr);
    const auto Write = std::exchange(Test.m_AnswerQuarantineWrite, {});
    Write(WriteCompleted{0, StoreOutcome::Succeeded, 9});
    Test.runFor(milliseconds(300));
    CPPUNIT_ASSERT(Test.m_AnswerQuarantineWrite == nullptr);
  }

  /// The store has returned from a copy, and the holder that had quarantined a
  /// server is lost as well, so nobody writes the quarantine again. Guards
  /// against a next holder that gives the server to another group while the
  /// head of its last one may still serve.
  void quarantineOfALostHolderIsOutwaited() {
    FrontSettings Settings;
    Settings.m_ServerReportPeriod = milliseconds(10);
    Settings.m_GroupBreakDelay = milliseconds(1000);
    const Duration QuarantineTime = milliseconds(2500);
    World Test(Settings);
    Test.m_Era = 2;
    const MonotonicTime Start = monotonicNow();
    while (!Test.m_Coordinator->holdsLease() &&
           monotonicNow() < Start + std::chrono::seconds(20))
      Test.runFor(milliseconds(20));
    CPPUNIT_ASSERT(Test.m_Coordinator->holdsLease());
    CPPUNIT_ASSERT(monotonicNow() >= Start + QuarantineTime);
  }

  /// The member waited for an earlier head when it was taken into this group.
  /// Guards against a record that names the earlier head, which would let the
  /// next lease holder release the member while this head may serve.
  void ordersWaitUntilTheStoreNamesTheLaterHead() {
    World Test;
    Test.m_StoredQuarantine =
        toJson({{"s2", {"i-old", {"127.0.0.1", 1}, 5}}}).dump();
    Test.loseHead();
    const QuarantineRecord Written = parseQuarantineRecord(
        *parseJson(Test.m_WrittenQuarantine, "quarantine record"));
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), Written.at("s2").m_Id);
    Test.answerQuarantineWrite();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Test.ordersToTheMember());
  }

  /// The head of a group crashes just after a round of probes, and no stream is
  /// left that could report it again. Guards against a group that is replaced
  /// only when the head's entry disappears from the store.
  void headThatFailsAfterItsProbeIsProbedAgain() {
    World Test;
    bool IsConfirmed = false;
    Test.m_Coordinator->setOnStallConfirmed(
        [&](const StallReport &) { IsConfirmed = true; });
    Test.runFor(milliseconds(300));
    const ScriptedServer::Response Alive{
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    Test.m_Fixture.m_FirstServer->addResponse(Alive);
    Test.m_Fixture.m_SecondServer->addResponse(Alive);
    const StallReport Report{"s1", {"m.1.1", 100001}, false};
    Test.m_Coordinator->onGroupStalled(Report);
    Test.runFor(milliseconds(100));
    CPPUNIT_ASSERT(!IsConfirmed);

    Test.m_Coordinator->onGroupStalled(Report);
    Test.runFor(milliseconds(1000));
    CPPUNIT_ASSERT(IsConfirmed);
  }

  /// A member says that it leaves in its answer to a probe. Guards against new
  /// requests to its group until the store says so as well.
  void probeShowsThatAServerLeaves() {
    World Test;
    Test.runFor(milliseconds(300));
    Test.m_Fixture.m_FirstServer->addResponse(
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    Test.m_Fixture.m_SecondServer->addResponse(
        {"HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"});
    Test.m_Coordinator->onGroupStalled({"s1", {"m.1.1", 100001}, false});
    Test.runFor(milliseconds(100));
    CPPUNIT_ASSERT(!Test.m_Fixture.m_Fleet.find("s1")->m_Draining);
    CPPUNIT_ASSERT(Test.m_Fixture.m_Fleet.find("s2")->m_Draining);
  }

  /// The store answers a renewal after the lease before it has run out. Guards
  /// against a second group with the name and epoch of one that exists, which
  /// would count as ready as soon as the other one is.
  void leaseThatReturnsWithItsEpochRepeatsNoGroupKey() {
    World Test;
    std::set<std::pair<GroupKey, std::string>> Joins;
    std::size_t RepeatedJoins = 0;
    Test.m_Platform.m_EncodeOrder = [&](const MemberOrder &Order) {
      if (Order.m_Kind == MemberOrderKind::Join)
        RepeatedJoins +=
            Joins.emplace(Order.m_Group, Order.m_Server).second ? 0 : 1;
      return std::string("{}");
    };
    Test.answerStateRequests();
    // A join that is not answered is repeated for the same group.
    Test.m_Fixture.m_FirstServer->setFixedResponse(
        "/order", {"HTTP/1.1 202 Any\r\nContent-Length: 0\r\n\r\n"});
    Test.addFreeServer("s3");
    Test.addFreeServer("s4");
    Test.runFor(milliseconds(300));
    CPPUNIT_ASSERT(Test.m_Coordinator->holdsLease());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Joins.size());

    Test.m_DelaysLeaseWrites = true;
    for (int I = 0; I < 300 && Test.m_Coordinator->holdsLease(); ++I)
      Test.runFor(milliseconds(10));
    CPPUNIT_ASSERT(!Test.m_Coordinator->holdsLease());
    CPPUNIT_ASSERT(Test.m_AnswerLeaseWrite != nullptr);
    Test.m_DelaysLeaseWrites = false;
    Test.m_AnswerLeaseWrite();
    Test.runFor(milliseconds(100));
    CPPUNIT_ASSERT(Test.m_Coordinator->holdsLease());
    // The servers do not report the group, so it is given up.
    Test.runFor(milliseconds(5000));
    CPPUNIT_ASSERT(Joins.size() > 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RepeatedJoins);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupCoordinatorTest);

} // namespace fulmarwinch
