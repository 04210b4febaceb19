#ifndef FULMARWINCH_SERVERS_RETRY_RETRY_BUDGET_H
#define FULMARWINCH_SERVERS_RETRY_RETRY_BUDGET_H

#include "core/time.h"

namespace fulmarwinch {

/// Limits of a retry budget.
struct RetryBudgetSettings {
  /// Retries earned by each success.
  double m_ShareOfSuccesses = 0.1;
  /// Retries per second that are allowed without any success, so that a
  /// deployment with little traffic can still leave a broken group.
  double m_FloorPerSecond = 1.0;
  /// Most retries that can be saved up. It bounds the burst of retries when
  /// many streams break together.
  double m_Burst = 50.0;
  /// Retries available at the start.
  double m_Initial = 5.0;
};

/// Token bucket that bounds the retries of one deployment to a share of its
/// successes, so that retries cannot multiply the load in an overload. The
/// caller serialises access.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings = {});

  /// Records a request that succeeded at its first attempt or a later one.
  void onSuccess();

  /// Takes one retry from the budget. Returns false if none is left; the
  /// caller then answers with the outcome it has.
  bool tryRetry(MonotonicTime Now);

  /// Retries that are left now.
  double available(MonotonicTime Now);

private:
  void refill(MonotonicTime Now);

  RetryBudgetSettings m_Settings;
  double m_Tokens;
  bool m_Started = false;
  MonotonicTime m_LastRefill{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_RETRY_BUDGET_H
