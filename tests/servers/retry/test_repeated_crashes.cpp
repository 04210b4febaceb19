#include "core/json.h"
#include "servers/retry/crash_detector.h"
#include "servers/retry/poison_codec.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One request that its clients repeat at any node, and that crashes each
/// backend server that begins to run it.
class RepeatedCrashesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepeatedCrashesTest);
  CPPUNIT_TEST(crashesOfOnePeerMessageCountOneByOne);
  CPPUNIT_TEST(crashesInQuickSuccessionCountSeparately);
  CPPUNIT_TEST(crashCountsFromTheLossOfItsConnection);
  CPPUNIT_TEST(lossOfALargeDomainLeavesRoomForLaterCrashes);
  CPPUNIT_TEST(outputOfAPeerDoesNotEraseLaterCrashes);
  CPPUNIT_TEST(quarantineLastsByCausesNotByServers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ContentHash Deadly = 2;
  MonotonicTime m_Now{seconds(1000)};
  int m_NextServer = 0;

  static PoisonDetector newNode() {
    return PoisonDetector(poisonSettingsWithoutIsolation());
  }

  void crashServer(PoisonDetector &Node, ContentHash Content) {
    const std::string Server = "s" + std::to_string(++m_NextServer);
    Node.onDispatch(Content, Server);
    Node.onServerCrash(Server, m_Now);
  }

  /// The records of \p Node as a peer receives them.
  std::vector<PoisonRecord> receivedRecords(const PoisonDetector &Node) const {
    return parsePoisonRecords(toJson(Node.records(m_Now)));
  }

  bool runs(const PoisonDetector &Node) const {
    return Node.verdict(Deadly, m_Now) == PoisonVerdict::Run;
  }

  /// Guards against a request that crashes a server at node after node, because
  /// each counts the crashes in one message of a peer as one.
  void crashesOfOnePeerMessageCountOneByOne() {
    PoisonDetector First = newNode();
    PoisonDetector Second = newNode();
    for (int I = 0; I < 2; ++I) {
      crashServer(First, Deadly);
      m_Now += seconds(1);
    }
    Second.merge(receivedRecords(First), m_Now);
    CPPUNIT_ASSERT(runs(Second));
    crashServer(Second, Deadly);
    CPPUNIT_ASSERT(!runs(Second));

    PoisonDetector Third = newNode();
    Third.merge(receivedRecords(Second), m_Now);
    CPPUNIT_ASSERT(!runs(Third));
  }

  /// Guards against a request that is never refused because each of its crashes
  /// follows the one before it within the time of a common cause.
  void crashesInQuickSuccessionCountSeparately() {
    PoisonDetector Node = newNode();
    int Crashes = 0;
    for (; Crashes < 20 && runs(Node); ++Crashes) {
      crashServer(Node, Deadly);
      m_Now += milliseconds(60);
    }
    CPPUNIT_ASSERT_EQUAL(5, Crashes);
  }

  /// The servers of a domain end at once, and their loss is confirmed one after
  /// the other. Guards against a request that is blamed for it.
  void crashCountsFromTheLossOfItsConnection() {
    PoisonDetector Node = newNode();
    CrashDetector Watch(Node);
    const std::vector<std::string> Domain{"a", "b", "c", "d"};
    for (const std::string &Server : Domain) {
      Node.onDispatch(Deadly, CrashDetector::processName(Server, 1));
      Watch.onConnectionLost({Deadly}, Server, 1, m_Now);
    }
    for (const std::string &Server : Domain) {
      m_Now += milliseconds(150);
      CPPUNIT_ASSERT(Watch.onServerEntryChanged(Server, 0));
    }
    CPPUNIT_ASSERT(runs(Node));
  }

  /// A record holds a limited number of servers. Guards against a request whose
  /// crashes are no longer recorded because it was in flight in a domain that
  /// was lost.
  void lossOfALargeDomainLeavesRoomForLaterCrashes() {
    PoisonDetector Node = newNode();
    for (int I = 0; I < 40; ++I)
      crashServer(Node, Deadly);
    for (int I = 0; I < 2; ++I) {
      CPPUNIT_ASSERT(runs(Node));
      m_Now += seconds(1);
      crashServer(Node, Deadly);
    }
    CPPUNIT_ASSERT(!runs(Node));
  }

  /// Guards against crashes that a node forgets because a peer has seen output
  /// of the content before them.
  void outputOfAPeerDoesNotEraseLaterCrashes() {
    PoisonDetector First = newNode();
    PoisonDetector Second = newNode();
    crashServer(First, Deadly);
    First.onDispatch(Deadly, "answering");
    First.onCompleted(Deadly, "answering", m_Now);
    CPPUNIT_ASSERT(First.records(m_Now).front().m_CrashedServers.empty());
    for (int I = 0; I < 2; ++I) {
      m_Now += seconds(1);
      crashServer(Second, Deadly);
    }
    Second.merge(receivedRecords(First), m_Now);
    m_Now += seconds(1);
    crashServer(Second, Deadly);
    CPPUNIT_ASSERT(!runs(Second));
  }

  /// Guards against a request that is refused for an hour because one of its
  /// three crashes was the loss of a domain.
  void quarantineLastsByCausesNotByServers() {
    PoisonDetector Node = newNode();
    for (int I = 0; I < 12; ++I)
      crashServer(Node, Deadly);
    for (int I = 0; I < 2; ++I) {
      m_Now += seconds(1);
      crashServer(Node, Deadly);
    }
    CPPUNIT_ASSERT(!runs(Node));
    m_Now += seconds(61);
    CPPUNIT_ASSERT(runs(Node));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedCrashesTest);

} // namespace fulmarwinch
