#include "servers/dispatch/overload_admission.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <vector>

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Shares of the requests that are admitted when the groups of a model cannot
/// serve all of them.
class OverloadAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadAdmissionTest);
  CPPUNIT_TEST(nothingIsRejectedBelowCapacity);
  CPPUNIT_TEST(surplusIsRejectedAboveCapacity);
  CPPUNIT_TEST(firstAttemptsGoBeforeReturningClients);
  CPPUNIT_TEST(returningClientsAreNoReasonToRejectFirstAttempts);
  CPPUNIT_TEST(rejectionsEndOnlyOnceQueuesAreShort);
  CPPUNIT_TEST(idleGroupsAreNeverProtected);
  CPPUNIT_TEST(lostZoneLeavesMostRequestsInTime);
  CPPUNIT_TEST(latencyIsTheMeanOfAllNodes);
  CPPUNIT_TEST(returningClientsHaveLessTimeLeft);
  CPPUNIT_TEST_SUITE_END();

  /// Mean latencies of first events, relative to their objective.
  static constexpr RelativeLatency AtTarget{80.0, 100.0};
  static constexpr RelativeLatency Late{160.0, 100.0};

  void nothingIsRejectedBelowCapacity() {
    CPPUNIT_ASSERT(
        admittedShares({11.9, 0.0}, {12, 0.9}, Late, true).admitsAll());
    CPPUNIT_ASSERT(
        admittedShares({9.0, 3.0}, {12, 0.9}, AtTarget, true).admitsAll());
    CPPUNIT_ASSERT(
        admittedShares({4.0, 0.0}, {0, 0.0}, Late, true).admitsAll());
  }

  void surplusIsRejectedAboveCapacity() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.5,
        admittedShares({16.0, 0.0}, {8, 0.9}, AtTarget, true).m_FirstAttempts,
        0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.25, admittedShares({16.0, 0.0}, {8, 0.9}, Late, true).m_FirstAttempts,
        0.001);
    CPPUNIT_ASSERT(
        admittedShares({1000.0, 0.0}, {8, 0.9}, Late, true).m_FirstAttempts >
        0.0);
  }

  /// Guards against a service that makes new clients late in order to serve
  /// those that are late already.
  void firstAttemptsGoBeforeReturningClients() {
    const AdmittedShares Some =
        admittedShares({6.0, 4.0}, {8, 0.9}, AtTarget, true);
    CPPUNIT_ASSERT_EQUAL(1.0, Some.m_FirstAttempts);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Some.m_Returning, 0.001);
    const AdmittedShares None =
        admittedShares({9.0, 4.0}, {8, 0.9}, AtTarget, true);
    CPPUNIT_ASSERT(None.m_FirstAttempts > 0.8);
    CPPUNIT_ASSERT(None.m_Returning > 0.0 && None.m_Returning < 0.2);
  }

  /// Guards against rejections that cause further ones: clients that were
  /// rejected return and are counted once more.
  void returningClientsAreNoReasonToRejectFirstAttempts() {
    const AdmittedShares Shares =
        admittedShares({3.0, 2.0}, {3, 0.9}, Late, true);
    CPPUNIT_ASSERT_EQUAL(1.0, Shares.m_FirstAttempts);
    CPPUNIT_ASSERT(Shares.m_Returning < 1.0);
  }

  /// Guards against rejections that begin and end several times a second.
  void rejectionsEndOnlyOnceQueuesAreShort() {
    const auto AdmitsAll = [](double MeanLatency, bool WasOverloaded) {
      return admittedShares({16.0, 0.0}, {8, 0.9}, {MeanLatency * 100.0, 100.0},
                            WasOverloaded)
          .admitsAll();
    };
    CPPUNIT_ASSERT(AdmitsAll(1.2, false));
    CPPUNIT_ASSERT(!AdmitsAll(1.6, false));
    CPPUNIT_ASSERT(!AdmitsAll(1.2, true));
    CPPUNIT_ASSERT(AdmitsAll(0.6, true));
  }

  /// Guards against rejections that a wrong demand estimate causes while groups
  /// are idle or answer in time.
  void idleGroupsAreNeverProtected() {
    CPPUNIT_ASSERT(
        admittedShares({16.0, 0.0}, {8, 0.3}, Late, true).admitsAll());
    CPPUNIT_ASSERT(
        admittedShares({16.0, 0.0}, {8, 0.9}, {50.0, 100.0}, true).admitsAll());
    CPPUNIT_ASSERT(
        admittedShares({16.0, 0.0}, {8, 0.9}, {3.0, 1.0}, true).admitsAll());
  }

  /// Load pattern: a zone of three is evacuated for 30 s while 315 requests per
  /// second arrive for a model whose eight remaining groups serve 200. A
  /// rejected client returns once after two seconds. Guards against a queue in
  /// which every admitted request waits for longer than its objective.
  void lostZoneLeavesMostRequestsInTime() {
    CPPUNIT_ASSERT(shareInTime(false) < 0.2);
    CPPUNIT_ASSERT(shareInTime(true) > 0.5);
  }

  /// Returns the share of the clients whose first attempt is answered within
  /// the objective, with or without the limit.
  static double shareInTime(bool IsLimited) {
    constexpr double StepSeconds = 0.02;
    constexpr std::size_t Steps = 1500;
    constexpr std::size_t ReturnSteps = 100;
    constexpr double Arrivals = 315.0 * StepSeconds;
    constexpr double Capacity = 200.0 * StepSeconds;
    constexpr double ObjectiveSeconds = 0.3;
    constexpr double ServiceSeconds = 0.15;
    constexpr std::size_t Groups = 8;
    // The nodes see each other's load late, so the queues grow to this length
    // before all groups count as full.
    constexpr double MaxQueue = 200.0;
    std::vector<double> Returning(Steps + ReturnSteps, 0.0);
    double Latency = 0.0;
    double Queue = 0.0;
    double InTime = 0.0;
    AdmittedShares Shares;
    for (std::size_t Step = 0; Step < Steps; ++Step) {
      if (IsLimited)
        Shares = admittedShares(
            {Arrivals / Capacity * Groups, Returning[Step] / Capacity * Groups},
            {Groups, 0.9}, {Latency * 100.0, 100.0}, !Shares.admitsAll());
      const double Wanted = Arrivals * Shares.m_FirstAttempts +
                            Returning[Step] * Shares.m_Returning;
      const double Admitted = std::min(Wanted, MaxQueue + Capacity - Queue);
      const double FirstAttempts =
          Arrivals * Shares.m_FirstAttempts * Admitted / Wanted;
      Returning[Step + ReturnSteps] = Arrivals - FirstAttempts;
      Queue = std::max(0.0, Queue + Admitted - Capacity);
      const double Wait = ServiceSeconds + Queue / Capacity * StepSeconds;
      Latency = Latency * 0.99 + Wait / ObjectiveSeconds * 0.01;
      if (Wait <= ObjectiveSeconds)
        InTime += FirstAttempts;
    }
    return InTime / (Arrivals * static_cast<double>(Steps));
  }

  /// Guards against judging the groups of a model by the few streams of one
  /// node, by one stream that waited for a failed server, or by a peer that has
  /// gone.
  void latencyIsTheMeanOfAllNodes() {
    FirstEventLatency Latency;
    const MonotonicTime Now{std::chrono::seconds(1000)};
    CPPUNIT_ASSERT_EQUAL(0.0, Latency.total("big", Now).m_Count);
    Latency.record("big", milliseconds(9000), milliseconds(300), Now);
    Latency.setPeerReport("n2", {{"big", {4.0, 8.0}}}, Now);
    const RelativeLatency Total = Latency.total("big", Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0, Total.m_Count, 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, Total.m_Sum, 0.001);
    const MonotonicTime Later = Now + std::chrono::seconds(10);
    CPPUNIT_ASSERT(Latency.total("big", Later).m_Count < 0.01);
  }

  /// Guards against counting the same client twice as demand for groups.
  void returningClientsHaveLessTimeLeft() {
    ReturningClients Clients;
    for (int I = 0; I < 100; ++I) {
      CPPUNIT_ASSERT(!Clients.isReturning("r", milliseconds(7990 + I % 10)));
      CPPUNIT_ASSERT(!Clients.isReturning("short", milliseconds(3000)));
    }
    CPPUNIT_ASSERT(Clients.isReturning("r", milliseconds(6200)));
    // Under overload, four in ten requests are returning.
    for (int I = 0; I < 300; ++I)
      Clients.isReturning("r", milliseconds(I % 10 < 4 ? 6000 : 8000));
    CPPUNIT_ASSERT(Clients.isReturning("r", milliseconds(6000)));
    CPPUNIT_ASSERT(!Clients.isReturning("r", milliseconds(8000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadAdmissionTest);

} // namespace fulmarwinch
