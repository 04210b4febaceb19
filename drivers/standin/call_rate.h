#ifndef FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_H
#define FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_H

#include "core/time.h"

namespace fulmarwinch {

/// Token bucket that limits calls to a rate. Its size is the number of calls in
/// a tenth of a second, at least one.
class CallRateLimiter {
public:
  /// Starts with a full bucket that is refilled at \p PerSecond calls.
  explicit CallRateLimiter(double PerSecond);

  /// Consumes one token and returns true, or returns false if there is none.
  bool tryAcquire(MonotonicTime Now);

private:
  double m_PerSecond;
  double m_Tokens;
  MonotonicTime m_RefilledAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_H
