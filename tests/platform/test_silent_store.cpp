#include "platform/object_store_client.h"
#include "proxy/object_watcher.h"

#include "asio.hpp"
#include "cppunit/extensions/HelperMacros.h"

#include <fcntl.h>
#include <thread>

namespace fulmarwinch {

using std::chrono::milliseconds;

/// A store that takes a watch call and stays silent, and answers the next one.
class SilentStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentStoreTest);
  CPPUNIT_TEST(unansweredWatchEndsBeforeTheNodeCountsAsInTouch);
  CPPUNIT_TEST(backoffCountsFromTheUnansweredCall);
  CPPUNIT_TEST_SUITE_END();

  /// Store whose listings succeed at once and whose watch calls end when the
  /// test ends them.
  class HeldFeed : public ObjectFeed {
  public:
    explicit HeldFeed(asio::io_context &Loop) : m_Loop(Loop) {}

    void list(const std::string &,
              std::function<void(ObjectsListed)> Done) override {
      ObjectsListed Result;
      Result.m_Outcome = StoreOutcome::Succeeded;
      asio::post(m_Loop, [Done = std::move(Done), Result] { Done(Result); });
    }
    void watch(const std::string &, StorePosition, Duration,
               std::function<void(ObjectsWatched)> Done) override {
      ++m_WatchCalls;
      m_OnWatched = std::move(Done);
    }

    int m_WatchCalls = 0;
    std::function<void(ObjectsWatched)> m_OnWatched;

  private:
    asio::io_context &m_Loop;
  };

  /// Guards against a node that acts on an old configuration three seconds
  /// after a silent outage, because it still waits for a watch that was sent at
  /// the end of it, or for the backoff after that.
  void unansweredWatchEndsBeforeTheNodeCountsAsInTouch() {
    constexpr Duration ContactTime = std::chrono::seconds(3);
    const ObjectWatcherSettings Settings;
    CPPUNIT_ASSERT(Settings.m_WatchTimeout +
                       platform::ObjectStoreClient::WatchMargin +
                       Settings.m_InitialBackoff <
                   ContactTime);
  }

  /// Guards against a backoff that is added to the time for which a call waited
  /// in vain, and against calls in close succession to a store that refuses
  /// them.
  void backoffCountsFromTheUnansweredCall() {
    asio::io_context Loop;
    EventLog Log(open("/dev/null", O_WRONLY));
    Metrics Counters;
    HeldFeed Store(Loop);
    ObjectWatcher::Handlers Handlers;
    Handlers.m_OnListed = [](const std::vector<StoredObject> &) {};
    Handlers.m_OnChange = [](const ObjectChange &) {};
    Handlers.m_OnBatchApplied = [] {};
    ObjectWatcherSettings Settings;
    Settings.m_InitialBackoff = Settings.m_MaxBackoff = milliseconds(600);
    ObjectWatcher Watcher(Loop, Store, Log, Counters, "config", Handlers,
                          Settings);
    Watcher.start();
    // With a random factor, the backoff is 300 to 600 ms.
    Loop.run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1, Store.m_WatchCalls);
    std::this_thread::sleep_for(milliseconds(700));
    Store.m_OnWatched(ObjectsWatched());
    Loop.restart();
    Loop.run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(2, Store.m_WatchCalls);
    // This call is refused at once.
    Store.m_OnWatched(ObjectsWatched());
    Loop.restart();
    Loop.run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(2, Store.m_WatchCalls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentStoreTest);

} // namespace fulmarwinch
