#ifndef FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_H
#define FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_H

#include "core/time.h"

namespace fulmarwinch {

/// Token bucket that holds a tenth of a second's calls, at least one.
class CallRate {
public:
  explicit CallRate(double PerSecond);

  /// Takes one token if there is one.
  bool tryTake(MonotonicTime Now);

private:
  double m_PerSecond;
  double m_Tokens;
  MonotonicTime m_Updated{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_CALL_RATE_H
