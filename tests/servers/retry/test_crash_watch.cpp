#include "servers/retry/crash_watch.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::seconds;

/// Requests that crash servers, told apart from lost connections.
class CrashWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashWatchTest);
  CPPUNIT_TEST(requestIsRefusedAfterThreeCrashes);
  CPPUNIT_TEST(lostConnectionsBlameNobody);
  CPPUNIT_TEST(restartUnderTheSameIdIsAnotherCrash);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ContentHash Hash = 7;
  MonotonicTime m_Now{seconds(1000)};

  void sendAndLose(PoisonDetector &Detector, CrashWatch &Watch,
                   const std::string &Server, std::int64_t Start) {
    Detector.onDispatch(Hash, CrashWatch::life(Server, Start));
    Watch.onConnectionLost(Hash, Server, Start, m_Now);
  }

  /// Guards against a request that takes one server after the other down.
  void requestIsRefusedAfterThreeCrashes() {
    PoisonDetector Detector({3, seconds(60), 100});
    CrashWatch Watch(Detector);
    for (const char *Server : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) == PoisonVerdict::Run);
      sendAndLose(Detector, Watch, Server, 1);
      m_Now += seconds(1);
      CPPUNIT_ASSERT(Watch.onServerChanged(Server, 0, m_Now));
    }
    CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) != PoisonVerdict::Run);
  }

  /// Guards against refusing requests because connections were reset.
  void lostConnectionsBlameNobody() {
    PoisonDetector Detector({3, seconds(60), 100});
    CrashWatch Watch(Detector);
    for (const char *Server : {"a", "b", "c", "d"}) {
      sendAndLose(Detector, Watch, Server, 1);
      // The server's entry changes, but not its start.
      CPPUNIT_ASSERT(!Watch.onServerChanged(Server, 1, m_Now));
      m_Now += CrashWatch::DecisionTime;
      Watch.removeExpired(m_Now);
      // It ends for another reason later.
      CPPUNIT_ASSERT(!Watch.onServerChanged(Server, 0, m_Now));
    }
    CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) == PoisonVerdict::Run);
  }

  void restartUnderTheSameIdIsAnotherCrash() {
    PoisonDetector Detector({3, seconds(60), 100});
    CrashWatch Watch(Detector);
    for (std::int64_t Start = 1; Start <= 3; ++Start) {
      sendAndLose(Detector, Watch, "a", Start);
      CPPUNIT_ASSERT(Watch.onServerChanged("a", Start + 1, m_Now));
    }
    CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) != PoisonVerdict::Run);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWatchTest);

} // namespace fulmarwinch
