#ifndef FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_LIMITER_H
#define FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_LIMITER_H

#include "core/time.h"

namespace fulmarwinch {

/// Token bucket that limits calls to a rate. Its size is the number of calls in
/// a tenth of a second, at least one.
class CallRateLimiter {
public:
  /// Starts with a full bucket that is refilled at \p CallsPerSecond.
  explicit CallRateLimiter(double CallsPerSecond);

  /// Consumes one token and returns true, or returns false if there is none.
  bool tryAcquire(MonotonicTime Now);

private:
  double m_CallsPerSecond;
  double m_AvailableTokens;
  MonotonicTime m_RefilledAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_LIMITER_H
