#include "proxy/store_session.h"

#include "asio.hpp"
#include "cppunit/extensions/HelperMacros.h"

#include <fcntl.h>
#include <optional>

namespace fulmarwinch {

/// Calls of a process to a store that returns from a copy.
class StoreSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreSessionTest);
  CPPUNIT_TEST(restorationIsNoticedOnce);
  CPPUNIT_TEST(answerOfAnEarlierEraCountsAsMissing);
  CPPUNIT_TEST(conditionOfAnEarlierEraIsNotSent);
  CPPUNIT_TEST(writeThatCrossedARestorationHasNoKnownOutcome);
  CPPUNIT_TEST_SUITE_END();

  /// Store whose answers the test sends.
  class ManualStore : public ObjectFeed {
  public:
    void list(const std::string &,
              std::function<void(ObjectsListed)> Done) override {
      m_OnListed = std::move(Done);
    }
    void watch(const std::string &, StorePosition, Duration,
               std::function<void(ObjectsWatched)>) override {}

    std::function<void(ObjectsListed)> m_OnListed;
    std::function<void(StoreCompletion)> m_OnCompleted;
    int m_Calls = 0;
  };

  asio::io_context m_Loop;
  EventLog m_Log{open("/dev/null", O_WRONLY)};
  Metrics m_Metrics;
  ManualStore m_Store;
  PlatformBinding m_Platform;
  std::optional<StoreSession> m_Session;
  std::vector<StoreEra> m_Restorations;
  std::optional<WriteCompleted> m_Written;

public:
  void setUp() override {
    m_Platform.m_ObjectFeed = &m_Store;
    m_Platform.m_StartStoreCall =
        [this](const StoreAction &, std::function<void(StoreCompletion)> Done) {
          ++m_Store.m_Calls;
          m_Store.m_OnCompleted = std::move(Done);
        };
    m_Session.emplace(m_Loop, m_Platform, m_Log, m_Metrics);
    m_Session->setOnRestored(
        [this](StoreEra Era) { m_Restorations.push_back(Era); });
  }

private:
  /// Lets the store answer a call in \p Era.
  void answerInEra(StoreEra Era) {
    m_Session->list("config", [](const ObjectsListed &) {});
    m_Store.m_OnListed({StoreOutcome::Succeeded, {Era, 1}, {}, Era});
  }

  void startWrite(ObjectVersion Expected) {
    m_Session->start(PutObject{5, "lease/groups", Expected, "{}"},
                     [this](const StoreCompletion &Result) {
                       m_Written = std::get<WriteCompleted>(Result);
                     });
    m_Loop.restart();
    m_Loop.poll();
  }

  /// Guards against a node that takes the first answer after its start, or a
  /// late one, for a restoration.
  void restorationIsNoticedOnce() {
    answerInEra(4);
    CPPUNIT_ASSERT(m_Restorations.empty());
    answerInEra(5);
    answerInEra(5);
    answerInEra(4);
    answerInEra(0);
    CPPUNIT_ASSERT(m_Restorations == std::vector<StoreEra>{5});
    CPPUNIT_ASSERT_EQUAL(StoreEra{5}, m_Session->era());
  }

  /// Guards against a listing from before the restoration that replaces the
  /// state after it.
  void answerOfAnEarlierEraCountsAsMissing() {
    answerInEra(5);
    StoreOutcome Outcome = StoreOutcome::Succeeded;
    m_Session->list("config", [&](const ObjectsListed &Result) {
      Outcome = Result.m_Outcome;
    });
    m_Store.m_OnListed({StoreOutcome::Succeeded, {4, 90}, {}, 4});
    CPPUNIT_ASSERT(Outcome == StoreOutcome::Unavailable);
  }

  /// Version numbers are given out again. Guards against a conditional write
  /// that succeeds against an object which its writer has never read.
  void conditionOfAnEarlierEraIsNotSent() {
    answerInEra(5);
    startWrite({4, 37});
    CPPUNIT_ASSERT_EQUAL(0, m_Store.m_Calls);
    CPPUNIT_ASSERT(m_Written->m_Outcome == StoreOutcome::Conflict);
    CPPUNIT_ASSERT_EQUAL(StoreCallId{5}, m_Written->m_Id);
    startWrite({5, 37});
    CPPUNIT_ASSERT_EQUAL(1, m_Store.m_Calls);
  }

  /// The store returns from a copy between the call and its execution. Guards
  /// against a writer that believes it has replaced the object that it read.
  void writeThatCrossedARestorationHasNoKnownOutcome() {
    answerInEra(4);
    startWrite({4, 37});
    m_Store.m_OnCompleted(
        WriteCompleted{5, StoreOutcome::Succeeded, {5, 38}, 5});
    CPPUNIT_ASSERT(m_Written->m_Outcome == StoreOutcome::Unknown);
    CPPUNIT_ASSERT(m_Restorations == std::vector<StoreEra>{5});
    // An answer from before the restoration arrives after it was noticed.
    startWrite({});
    m_Store.m_OnCompleted(
        WriteCompleted{5, StoreOutcome::Succeeded, {4, 39}, 4});
    CPPUNIT_ASSERT(m_Written->m_Outcome == StoreOutcome::Unknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreSessionTest);

} // namespace fulmarwinch
