#ifndef FULMARWINCH_SERVERS_FEED_MESSAGE_DELAY_H
#define FULMARWINCH_SERVERS_FEED_MESSAGE_DELAY_H

#include "core/time.h"

#include <cstdint>

namespace fulmarwinch {

/// Clock reading that a node puts into its messages.
struct SendTime {
  /// Random number of the sender's process. The clock of another process, for
  /// example after a restart, is not comparable.
  std::uint64_t m_Process = 0;
  /// The sender's monotonic clock when the message was sent.
  MonotonicTime m_At{};
};

/// Measures for how long the messages of one sender were on the way: in the
/// queue of a link, or in the socket of a receiver that was paused or slow.
///
/// The two clocks have an unknown offset. The smallest difference between
/// receive and send time that was seen recently belongs to a message that was
/// hardly delayed; what another message took longer is its delay.
class MessageDelay {
public:
  /// Records a message and returns its delay compared to the fastest one.
  Duration onMessage(const SendTime &Sent, MonotonicTime Now);

private:
  std::uint64_t m_Process = 0;
  bool m_HasOffset = false;
  /// Smallest differences in the current period and in the one before.
  Duration m_CurrentMin{0};
  Duration m_PreviousMin{0};
  MonotonicTime m_PeriodEndsAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FEED_MESSAGE_DELAY_H
