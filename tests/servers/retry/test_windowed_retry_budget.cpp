#include "servers/retry/windowed_retry_budget.h"

#include "cppunit/extensions/HelperMacros.h"

#include <vector>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Retries that nodes may make within their parts of a shared bound.
class WindowedRetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WindowedRetryBudgetTest);
  CPPUNIT_TEST(brokenStreamsOfOneNodeMoveTogether);
  CPPUNIT_TEST(sumOfNodesStaysWithinTheBoundInEveryWindow);
  CPPUNIT_TEST(restartedNodesDoNotGetTheSlackAgain);
  CPPUNIT_TEST_SUITE_END();

  static int take(WindowedRetryBudget &Budget, int Most, MonotonicTime Now) {
    int Taken = 0;
    while (Taken < Most && Budget.tryRetry(Now))
      ++Taken;
    return Taken;
  }

  /// Pattern: 62 nodes with nine requests a second each; a group breaks and 15
  /// of its streams belong to one node. Guards against cutting them because
  /// the node could save no more than its part of the slack.
  void brokenStreamsOfOneNodeMoveTogether() {
    WindowedRetryBudget Budget({0.18, 233.0 * 0.9 / 62.0, seconds(10), {}});
    MonotonicTime Now{seconds(100)};
    for (int I = 0; I < 90; ++I)
      Budget.onRequest(Now += milliseconds(111));
    CPPUNIT_ASSERT_EQUAL(15, take(Budget, 15, Now));
  }

  /// Pattern: nodes with unequal traffic use up whatever they have, again and
  /// again. Guards against a sum above the bound in some window.
  void sumOfNodesStaysWithinTheBoundInEveryWindow() {
    constexpr int Nodes = 9;
    constexpr double Ratio = 0.2;
    constexpr double Slack = 136.0;
    std::vector<WindowedRetryBudget> Budgets(
        Nodes, WindowedRetryBudget({Ratio, Slack / Nodes, seconds(10), {}}));
    constexpr int Steps = 600;
    std::vector<int> Requests(Steps, 0);
    std::vector<int> Retries(Steps, 0);
    for (int Step = 0; Step < Steps; ++Step) {
      const MonotonicTime Now{seconds(100) + milliseconds(100) * Step};
      for (int Node = 0; Node < Nodes; ++Node) {
        for (int I = 0; I < Node % 4; ++I, ++Requests[Step])
          Budgets[Node].onRequest(Now);
        if (Step % 70 > 60)
          Retries[Step] += take(Budgets[Node], 1000, Now);
      }
    }
    constexpr int Window = 100;
    for (int From = Window; From + Window <= Steps; ++From) {
      int Used = 0;
      int Now = 0;
      int Before = 0;
      for (int I = From; I < From + Window; ++I) {
        Used += Retries[I];
        Now += Requests[I];
        Before += Requests[I - Window];
      }
      CPPUNIT_ASSERT(Used <= Ratio * std::max(Now, Before) + Slack);
    }
  }

  /// Guards against a kill of all processes that doubles the slack within one
  /// window.
  void restartedNodesDoNotGetTheSlackAgain() {
    const MonotonicTime Start{seconds(100)};
    WindowedRetryBudget Budget({0.2, 100.0, seconds(10), Start});
    CPPUNIT_ASSERT_EQUAL(0, take(Budget, 1000, Start));
    CPPUNIT_ASSERT_EQUAL(50, take(Budget, 1000, Start + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(50, take(Budget, 1000, Start + seconds(10)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WindowedRetryBudgetTest);

} // namespace fulmarwinch
