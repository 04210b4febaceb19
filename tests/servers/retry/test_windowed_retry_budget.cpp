#include "servers/retry/windowed_retry_budget.h"

#include "cppunit/extensions/HelperMacros.h"

#include <vector>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Shares of several nodes in a common limit on retries.
class WindowedRetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WindowedRetryBudgetTest);
  CPPUNIT_TEST(streamsOfOneNodeMayRetryTogether);
  CPPUNIT_TEST(sumOverNodesStaysWithinTheLimitInEveryWindow);
  CPPUNIT_TEST(restartedNodesAreNotGrantedTheSlackAgain);
  CPPUNIT_TEST_SUITE_END();

  static int useRetries(WindowedRetryBudget &Budget, int MaxRetries,
                        MonotonicTime Now) {
    int Used = 0;
    while (Used < MaxRetries && Budget.tryAcquire(Now))
      ++Used;
    return Used;
  }

  /// Each of 62 nodes has nine requests per second; a group breaks and 15 of
  /// its streams belong to one node. Guards against ending these streams
  /// because the node may retry no more than its m_FixedRetriesPerWindow.
  void streamsOfOneNodeMayRetryTogether() {
    WindowedRetryBudget Budget({0.18, 233.0 * 0.9 / 62.0, seconds(10), {}});
    MonotonicTime Now{seconds(100)};
    for (int I = 0; I < 90; ++I)
      Budget.onRequest(Now += milliseconds(111));
    CPPUNIT_ASSERT_EQUAL(15, useRetries(Budget, 15, Now));
  }

  /// Nodes with unequal traffic repeatedly use all retries they are allowed.
  /// Guards against a sum above the common limit in any window.
  void sumOverNodesStaysWithinTheLimitInEveryWindow() {
    constexpr int NodeCount = 9;
    constexpr double RetriesPerRequest = 0.2;
    constexpr double Slack = 136.0;
    std::vector<WindowedRetryBudget> Budgets(
        NodeCount,
        WindowedRetryBudget(
            {RetriesPerRequest, Slack / NodeCount, seconds(10), {}}));
    constexpr int StepCount = 600;
    std::vector<int> Requests(StepCount, 0);
    std::vector<int> Retries(StepCount, 0);
    for (int Step = 0; Step < StepCount; ++Step) {
      const MonotonicTime Now{seconds(100) + milliseconds(100) * Step};
      for (int Node = 0; Node < NodeCount; ++Node) {
        for (int I = 0; I < Node % 4; ++I, ++Requests[Step])
          Budgets[Node].onRequest(Now);
        if (Step % 70 > 60)
          Retries[Step] += useRetries(Budgets[Node], 1000, Now);
      }
    }
    constexpr int StepsPerWindow = 100;
    for (int WindowBegin = StepsPerWindow;
         WindowBegin + StepsPerWindow <= StepCount; ++WindowBegin) {
      int RetriesInWindow = 0;
      int RequestsInWindow = 0;
      int RequestsInWindowBefore = 0;
      for (int I = WindowBegin; I < WindowBegin + StepsPerWindow; ++I) {
        RetriesInWindow += Retries[I];
        RequestsInWindow += Requests[I];
        RequestsInWindowBefore += Requests[I - StepsPerWindow];
      }
      CPPUNIT_ASSERT(RetriesInWindow <=
                     RetriesPerRequest * std::max(RequestsInWindow,
                                                  RequestsInWindowBefore) +
                         Slack);
    }
  }

  /// All processes are killed and restart. Guards against granting
  /// m_FixedRetriesPerWindow twice within one window.
  void restartedNodesAreNotGrantedTheSlackAgain() {
    const MonotonicTime Start{seconds(100)};
    WindowedRetryBudget Budget({0.2, 100.0, seconds(10), Start});
    CPPUNIT_ASSERT_EQUAL(0, useRetries(Budget, 1000, Start));
    CPPUNIT_ASSERT_EQUAL(50, useRetries(Budget, 1000, Start + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(50, useRetries(Budget, 1000, Start + seconds(10)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WindowedRetryBudgetTest);

} // namespace fulmarwinch
