#include "servers/retry/crash_detector.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::seconds;

/// Distinguishes requests that crash backend servers from lost connections.
class CrashDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashDetectorTest);
  CPPUNIT_TEST(requestIsRestrictedAfterThreeCrashes);
  CPPUNIT_TEST(lostConnectionsDoNotCountAsCrashes);
  CPPUNIT_TEST(restartUnderTheSameIdCountsAsNewCrash);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ContentHash Hash = 7;
  MonotonicTime m_Now{seconds(1000)};

  void sendAndLoseConnection(PoisonDetector &Detector, CrashDetector &Watch,
                             const std::string &Server,
                             std::int64_t StartedAtMs) {
    Detector.onDispatch(Hash, CrashDetector::processName(Server, StartedAtMs));
    Watch.onConnectionLost({Hash}, Server, StartedAtMs, m_Now);
  }

  /// Guards against a request that crashes one server after the other.
  void requestIsRestrictedAfterThreeCrashes() {
    PoisonDetector Detector({3, seconds(60), 100});
    CrashDetector Watch(Detector);
    for (const char *Server : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) == PoisonVerdict::Run);
      sendAndLoseConnection(Detector, Watch, Server, 1);
      m_Now += seconds(1);
      CPPUNIT_ASSERT(Watch.onServerEntryChanged(Server, 0));
    }
    CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) != PoisonVerdict::Run);
  }

  /// Guards against restricting a request because its connections were reset.
  void lostConnectionsDoNotCountAsCrashes() {
    PoisonDetector Detector({3, seconds(60), 100});
    CrashDetector Watch(Detector);
    for (const char *Server : {"a", "b", "c", "d"}) {
      sendAndLoseConnection(Detector, Watch, Server, 1);
      // The server's entry changes, but not the start time of its process.
      CPPUNIT_ASSERT(!Watch.onServerEntryChanged(Server, 1));
      m_Now += CrashDetector::DetectionTimeout;
      Watch.removeExpired(m_Now);
      // The server stops later, for another reason.
      CPPUNIT_ASSERT(!Watch.onServerEntryChanged(Server, 0));
    }
    CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) == PoisonVerdict::Run);
  }

  /// Guards against counting only one crash of a server that restarts under the
  /// same ID.
  void restartUnderTheSameIdCountsAsNewCrash() {
    PoisonDetector Detector({3, seconds(60), 100});
    CrashDetector Watch(Detector);
    for (std::int64_t StartedAtMs = 1; StartedAtMs <= 3; ++StartedAtMs) {
      sendAndLoseConnection(Detector, Watch, "a", StartedAtMs);
      CPPUNIT_ASSERT(Watch.onServerEntryChanged("a", StartedAtMs + 1));
    }
    CPPUNIT_ASSERT(Detector.verdict(Hash, m_Now) != PoisonVerdict::Run);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);

} // namespace fulmarwinch
