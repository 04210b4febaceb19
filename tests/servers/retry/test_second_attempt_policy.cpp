#include "servers/retry/second_attempt_policy.h"

#include "cppunit/extensions/HelperMacros.h"

#include <functional>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Decisions of one node about second attempts for its late requests.
class SecondAttemptPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SecondAttemptPolicyTest);
  CPPUNIT_TEST(delayFollowsTheRecentLatencies);
  CPPUNIT_TEST(delayIsAtLeastHalfOfTheObjective);
  CPPUNIT_TEST(modelsAndServicesHaveTheirOwnLatencies);
  CPPUNIT_TEST(oldLatenciesAreForgotten);
  CPPUNIT_TEST(eachConditionForbidsTheSecondAttempt);
  CPPUNIT_TEST(slowFleetGetsNoSecondAttempts);
  CPPUNIT_TEST(fleetThatBecomesSlowGetsFewSecondAttempts);
  CPPUNIT_TEST(slowServerOfTwoGetsSecondAttempts);
  CPPUNIT_TEST(cancelledAttemptsCountAsSlow);
  CPPUNIT_TEST(secondAttemptsStayWithinTheShare);
  CPPUNIT_TEST(noSecondAttemptWithoutAShare);
  CPPUNIT_TEST_SUITE_END();

  using Verdict = SecondAttemptVerdict;

  const LatencyKey m_Key{"service", "model"};
  MonotonicTime m_Now{seconds(1000)};

  static SecondAttemptPolicy policy(double MaxShare = 0.1) {
    SecondAttemptSettings Settings;
    Settings.m_MaxShare = MaxShare;
    return SecondAttemptPolicy(Settings);
  }

  /// Sends \p Count requests, one each 50 ms, that are answered after the times
  /// that \p Latency returns.
  void serve(SecondAttemptPolicy &Policy, int Count,
             const std::function<Duration(int)> &Latency) {
    for (int I = 0; I < Count; ++I) {
      m_Now += milliseconds(50);
      Policy.onRequest(m_Key.first, m_Now);
      Policy.onAnswer(m_Key, Latency(I), m_Now);
    }
  }

  static std::function<Duration(int)> always(Duration Latency) {
    return [Latency](int) { return Latency; };
  }

  Duration delay(const SecondAttemptPolicy &Policy,
                 Duration Objective = milliseconds(300)) const {
    return Policy.knowledge(m_Key, Objective, m_Now).m_Delay;
  }

  /// An attempt that nothing but its time forbids to be repeated.
  WaitingAttempt waiting(Duration Waited) const {
    WaitingAttempt Result;
    Result.m_Key = m_Key;
    Result.m_LatencyObjective = milliseconds(300);
    Result.m_Waited = Waited;
    Result.m_TimeLeft = seconds(5);
    Result.m_MayRunMoreThanOnce = true;
    Result.m_MaxAttempts = 2;
    Result.m_RetriesLeft = 100.0;
    return Result;
  }

  void assertVerdict(Verdict Expected, SecondAttemptPolicy &Policy,
                     const WaitingAttempt &Attempt) const {
    CPPUNIT_ASSERT_EQUAL(
        std::string(nameOf(SecondAttemptVerdictNames, Expected)),
        std::string(
            nameOf(SecondAttemptVerdictNames, Policy.decide(Attempt, m_Now))));
  }

  /// Guards against a delay that is fixed, and sends too many second attempts
  /// for slow models and too late ones for fast models.
  void delayFollowsTheRecentLatencies() {
    SecondAttemptPolicy Policy = policy();
    CPPUNIT_ASSERT(delay(Policy) == milliseconds(300));
    serve(Policy, 10, always(milliseconds(900)));
    CPPUNIT_ASSERT_MESSAGE("too few latencies are known",
                           delay(Policy) == milliseconds(300));
    serve(Policy, 400, always(milliseconds(200)));
    CPPUNIT_ASSERT(delay(Policy) >= milliseconds(200));
    CPPUNIT_ASSERT(delay(Policy) <= milliseconds(240));
    // A twentieth of the responses is slow: the delay ignores them, so that
    // they get second attempts.
    serve(Policy, 400,
          [](int I) { return milliseconds(I % 20 == 0 ? 2500 : 200); });
    CPPUNIT_ASSERT(delay(Policy) <= milliseconds(240));
    serve(Policy, 400,
          [](int I) { return milliseconds(I % 5 == 0 ? 800 : 200); });
    CPPUNIT_ASSERT(delay(Policy) >= milliseconds(800));
    CPPUNIT_ASSERT(delay(Policy) <= milliseconds(960));
  }

  /// Guards against second attempts for responses that are far from late.
  void delayIsAtLeastHalfOfTheObjective() {
    SecondAttemptPolicy Policy = policy();
    serve(Policy, 400, always(milliseconds(8)));
    CPPUNIT_ASSERT(delay(Policy) == milliseconds(150));
    assertVerdict(Verdict::NotDue, Policy, waiting(milliseconds(149)));
    assertVerdict(Verdict::Send, Policy, waiting(milliseconds(150)));
    CPPUNIT_ASSERT(!Policy.isLate(m_Key, Duration::zero(), seconds(9), m_Now));
  }

  /// Guards against a fast model whose latencies cause second attempts for all
  /// requests of a slow one.
  void modelsAndServicesHaveTheirOwnLatencies() {
    SecondAttemptPolicy Policy = policy();
    serve(Policy, 400, always(milliseconds(8)));
    for (const LatencyKey &Other :
         {LatencyKey{"service", "other"}, LatencyKey{"other", "model"}})
      CPPUNIT_ASSERT(
          Policy.knowledge(Other, milliseconds(300), m_Now).m_Delay ==
          milliseconds(300));
  }

  /// Guards against a delay that stays long after the fleet has recovered, and
  /// against one that rests on latencies of another time.
  void oldLatenciesAreForgotten() {
    SecondAttemptPolicy Policy = policy();
    serve(Policy, 200, always(seconds(2)));
    CPPUNIT_ASSERT(delay(Policy) >= seconds(2));
    serve(Policy, 800, always(milliseconds(200)));
    CPPUNIT_ASSERT(delay(Policy) <= milliseconds(240));
    CPPUNIT_ASSERT(Policy.knowledge(m_Key, milliseconds(300), m_Now).m_Age ==
                   Duration::zero());
    m_Now += seconds(60);
    CPPUNIT_ASSERT(delay(Policy) == milliseconds(300));
  }

  /// Guards against a second attempt that would execute a payout twice, reach
  /// more servers than allowed, spread a crash or add to an overload.
  void eachConditionForbidsTheSecondAttempt() {
    SecondAttemptPolicy Policy = policy();
    serve(Policy, 400, always(milliseconds(100)));
    const WaitingAttempt Late = waiting(milliseconds(500));
    assertVerdict(Verdict::Send, Policy, Late);
    const auto AssertForbidden = [&](Verdict Expected, auto Change) {
      WaitingAttempt Changed = Late;
      Change(Changed);
      assertVerdict(Expected, Policy, Changed);
    };
    AssertForbidden(Verdict::NotRepeatable, [](WaitingAttempt &Attempt) {
      Attempt.m_MayRunMoreThanOnce = false;
    });
    AssertForbidden(Verdict::Answered, [](WaitingAttempt &Attempt) {
      Attempt.m_HasAnswer = true;
    });
    AssertForbidden(Verdict::Stopping, [](WaitingAttempt &Attempt) {
      Attempt.m_IsStopping = true;
    });
    AssertForbidden(Verdict::SuspectedContent, [](WaitingAttempt &Attempt) {
      Attempt.m_IsContentSuspected = true;
    });
    AssertForbidden(Verdict::MaxAttempts, [](WaitingAttempt &Attempt) {
      Attempt.m_ReachedServers = 2;
    });
    AssertForbidden(Verdict::Overloaded, [](WaitingAttempt &Attempt) {
      Attempt.m_IsOverloaded = true;
    });
    AssertForbidden(Verdict::TooLittleTime, [](WaitingAttempt &Attempt) {
      Attempt.m_TimeLeft = milliseconds(90);
    });
    // Two retries stay for streams that break.
    AssertForbidden(Verdict::NoRetryBudget, [](WaitingAttempt &Attempt) {
      Attempt.m_RetriesLeft = 2.9;
    });
  }

  /// All servers have been slow for some time. Guards against second attempts
  /// that make them slower.
  void slowFleetGetsNoSecondAttempts() {
    SecondAttemptPolicy Policy = policy(0.2);
    serve(Policy, 400, always(milliseconds(100)));
    serve(Policy, 100, [](int I) { return milliseconds(1500 + I * 5); });
    for (const int WaitedMs : {150, 300, 1000, 1500})
      assertVerdict(Verdict::NotDue, Policy, waiting(milliseconds(WaitedMs)));
  }

  /// All servers become slow at once, and no slow request has been answered
  /// yet. Guards against second attempts for a whole window of the share.
  void fleetThatBecomesSlowGetsFewSecondAttempts() {
    SecondAttemptPolicy Policy = policy(0.2);
    serve(Policy, 400, always(milliseconds(100)));
    int SecondAttempts = 0;
    for (int I = 0; I < 100; ++I) {
      m_Now += milliseconds(50);
      Policy.onRequest(m_Key.first, m_Now);
      Policy.onLate(m_Key, m_Now);
      if (Policy.decide(waiting(milliseconds(200)), m_Now) != Verdict::Send)
        continue;
      Policy.onSecondAttempt(m_Key.first, m_Now);
      ++SecondAttempts;
    }
    CPPUNIT_ASSERT(SecondAttempts > 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(SecondAttempts),
                           SecondAttempts <= 25);
    assertVerdict(Verdict::SlowFleet, Policy, waiting(milliseconds(200)));
  }

  /// Guards against a fleet that counts as slow because of one server of two.
  void slowServerOfTwoGetsSecondAttempts() {
    SecondAttemptPolicy Policy = policy(0.2);
    serve(Policy, 400, always(milliseconds(100)));
    for (int I = 0; I < 20; ++I) {
      serve(Policy, 1, always(milliseconds(100)));
      m_Now += milliseconds(50);
      // The second attempt answers for the late first one.
      Policy.onLate(m_Key, m_Now);
      Policy.onAnswer(m_Key, milliseconds(100), m_Now);
    }
    assertVerdict(Verdict::Send, Policy, waiting(milliseconds(200)));
  }

  /// Guards against a delay that becomes shorter because the attempts that were
  /// slow are cancelled, and against early cancellations that shorten it.
  void cancelledAttemptsCountAsSlow() {
    SecondAttemptPolicy Policy = policy();
    serve(Policy, 400, always(milliseconds(200)));
    for (int I = 0; I < 400; ++I)
      Policy.onNoAnswer(m_Key, milliseconds(300), milliseconds(2), m_Now);
    CPPUNIT_ASSERT(delay(Policy) >= milliseconds(200));
    for (int I = 0; I < 200; ++I)
      Policy.onNoAnswer(m_Key, milliseconds(300), milliseconds(600), m_Now);
    CPPUNIT_ASSERT(delay(Policy) >= milliseconds(600));
  }

  /// Each request is late. Guards against more second attempts than the
  /// operator allows in any 10 s, and against a share that is not used.
  void secondAttemptsStayWithinTheShare() {
    SecondAttemptPolicy Policy = policy(0.05);
    serve(Policy, 400, always(milliseconds(100)));
    int SecondAttempts = 0;
    for (int I = 0; I < 400; ++I) {
      serve(Policy, 1, always(milliseconds(100)));
      if (Policy.decide(waiting(milliseconds(200)), m_Now) != Verdict::Send)
        continue;
      Policy.onSecondAttempt(m_Key.first, m_Now);
      ++SecondAttempts;
    }
    // 20 requests a second in a window of 10 s allow 10, and 20 s pass.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(SecondAttempts),
                           SecondAttempts >= 15 && SecondAttempts <= 30);
    assertVerdict(Verdict::ShareUsed, Policy, waiting(milliseconds(200)));
  }

  void noSecondAttemptWithoutAShare() {
    SecondAttemptPolicy Policy;
    CPPUNIT_ASSERT(!Policy.isEnabled());
    serve(Policy, 400, always(milliseconds(100)));
    Policy.onLate(m_Key, m_Now);
    assertVerdict(Verdict::Off, Policy, waiting(seconds(2)));
    CPPUNIT_ASSERT_EQUAL(
        0.0, Policy.knowledge(m_Key, milliseconds(300), m_Now).m_Latencies);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondAttemptPolicyTest);

} // namespace fulmarwinch
