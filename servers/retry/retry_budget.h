#ifndef FULMARWINCH_SERVERS_RETRY_RETRY_BUDGET_H
#define FULMARWINCH_SERVERS_RETRY_RETRY_BUDGET_H

#include "core/time.h"

namespace fulmarwinch {

/// Limits of a retry budget.
struct RetryBudgetSettings {
  /// Retries added to the budget by each successful request.
  double m_RetriesPerSuccess = 0.1;
  /// Retries per second that are added without any success, so that a
  /// deployment with little traffic can still retry the requests of a broken
  /// group.
  double m_MinRetriesPerSecond = 1.0;
  /// Capacity of the token bucket. It limits the burst of retries when many
  /// streams break at the same time.
  double m_MaxTokens = 50.0;
  /// Retries available at the start.
  double m_InitialTokens = 5.0;
};

/// Token bucket that limits the retries of one deployment to a share of its
/// successful requests, so that retries cannot multiply the load during an
/// overload. Not thread-safe: the caller serialises access.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings = {});

  /// Records a request that succeeded, at its first or a later attempt.
  void onSuccess();

  /// Removes one retry from the budget. Returns false if none is available; the
  /// caller then responds with the outcome of the last attempt.
  bool tryAcquire(MonotonicTime Now);

  /// Returns the number of retries available at \p Now. It may be fractional.
  double available(MonotonicTime Now);

private:
  void refill(MonotonicTime Now);

  RetryBudgetSettings m_Settings;
  double m_Tokens;
  bool m_HasRefilled = false;
  MonotonicTime m_LastRefill{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_RETRY_BUDGET_H
