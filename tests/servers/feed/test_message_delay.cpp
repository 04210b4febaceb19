#include "servers/feed/message_delay.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The messages of a sender whose clock is an hour behind the receiver's.
class MessageDelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageDelayTest);
  CPPUNIT_TEST(messageThatWaitedIsOlderThanItSays);
  CPPUNIT_TEST(restartedSenderHasAnotherClock);
  CPPUNIT_TEST(clocksMayDrift);
  CPPUNIT_TEST_SUITE_END();

  const MonotonicTime m_Start{seconds(7200)};
  const Duration m_Offset = seconds(3600);
  MessageDelay m_Delay;

  /// Records a message of process \p Process that was sent at \p SentAt of the
  /// receiver's clock and received \p Transit later.
  Duration receive(std::uint64_t Process, MonotonicTime SentAt,
                   Duration Transit) {
    return m_Delay.onMessage({Process, SentAt - m_Offset}, SentAt + Transit);
  }

  /// Guards against a message from the queue of a slow process that counts as
  /// just sent.
  void messageThatWaitedIsOlderThanItSays() {
    for (int I = 0; I < 10; ++I)
      receive(1, m_Start + milliseconds(200) * I, milliseconds(2 + I % 3));
    CPPUNIT_ASSERT(receive(1, m_Start + seconds(3), milliseconds(2502)) ==
                   milliseconds(2500));
    CPPUNIT_ASSERT(receive(1, m_Start + seconds(6), milliseconds(3)) ==
                   milliseconds(1));
  }

  /// Guards against a node that is ignored after its restart because its clock
  /// started anew.
  void restartedSenderHasAnotherClock() {
    receive(1, m_Start, milliseconds(2));
    CPPUNIT_ASSERT(m_Delay.onMessage({2, MonotonicTime(seconds(1))},
                                     m_Start + seconds(5)) == Duration::zero());
    CPPUNIT_ASSERT(m_Delay.onMessage({2, MonotonicTime(seconds(2))},
                                     m_Start + seconds(7)) == seconds(1));
  }

  /// Guards against a delay that grows without end although the messages
  /// arrive at once, because one clock runs faster.
  void clocksMayDrift() {
    Duration Worst{0};
    for (int I = 0; I < 3600; ++I) {
      const MonotonicTime Now = m_Start + seconds(I);
      const Duration Drift =
          Duration((Now - m_Start).count() * MaxClockDriftPpm / 1000000);
      Worst =
          std::max(Worst, m_Delay.onMessage({1, Now - m_Offset - Drift}, Now));
    }
    CPPUNIT_ASSERT(Worst <= milliseconds(70));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageDelayTest);

} // namespace fulmarwinch
