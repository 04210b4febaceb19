#include "servers/dispatch/connection_shedding.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Which client connections a node closes when it runs out of memory or
/// descriptors.
class ConnectionSheddingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionSheddingTest);
  CPPUNIT_TEST(largestAndLongestStalledIsClosedFirst);
  CPPUNIT_TEST(readingClientIsNeverClosed);
  CPPUNIT_TEST(clientThatWouldReadForMinutesIsClosedLast);
  CPPUNIT_TEST(timeToReadFollowsTheSpeedSoFar);
  CPPUNIT_TEST(clientThatReadsSingleBytesCountsAsStalled);
  CPPUNIT_TEST(longestIdleIsClosedFirst);
  CPPUNIT_TEST_SUITE_END();

  using Activity = ConnectionState::Activity;
  using Indices = std::vector<std::size_t>;

  const MonotonicTime m_Now{seconds(100)};

  ConnectionState state(Activity State, std::size_t HeldBytes,
                        Duration Age) const {
    return {State, HeldBytes, m_Now - Age};
  }

  /// Guards against closing many small connections where one holds the memory,
  /// and against closing more than is needed.
  void largestAndLongestStalledIsClosedFirst() {
    const std::vector<ConnectionState> Connections{
        state(Activity::Sending, 1000, seconds(9)),
        state(Activity::Sending, 4000, seconds(3)),
        state(Activity::Sending, 4000, seconds(2)),
        state(Activity::Sending, 100, seconds(20)),
    };
    CPPUNIT_ASSERT(chooseByMemory(Connections, 0, m_Now).empty());
    CPPUNIT_ASSERT(chooseByMemory(Connections, 1, m_Now) == Indices{1});
    CPPUNIT_ASSERT(chooseByMemory(Connections, 4500, m_Now) == (Indices{1, 0}));
    CPPUNIT_ASSERT(chooseByMemory(Connections, 100000, m_Now) ==
                   (Indices{1, 0, 2, 3}));
  }

  /// Guards against an answer that is cut off although its client reads it, or
  /// before its server has sent it.
  void readingClientIsNeverClosed() {
    const std::vector<ConnectionState> Connections{
        state(Activity::Sending, 1000000, milliseconds(900)),
        state(Activity::Waiting, 1000000, seconds(9)),
        state(Activity::Receiving, 1000000, seconds(9)),
        state(Activity::Idle, 1000000, seconds(9)),
    };
    CPPUNIT_ASSERT(chooseByMemory(Connections, 1000000, m_Now).empty());
    CPPUNIT_ASSERT(chooseByIdleness(Connections, 4, m_Now) == (Indices{3, 2}));
  }

  /// Guards against clients that keep the whole memory from others by reading
  /// slowly, and against closing them while clients that do not read hold it.
  void clientThatWouldReadForMinutesIsClosedLast() {
    std::vector<ConnectionState> Connections{
        state(Activity::Sending, 1000, Duration::zero()),
        state(Activity::Sending, 1000, Duration::zero()),
        state(Activity::Sending, 1000, Duration::zero()),
        state(Activity::Sending, 10, seconds(2)),
    };
    Connections[0].m_TimeToRead = seconds(300);
    Connections[1].m_TimeToRead = seconds(2000);
    Connections[2].m_TimeToRead = seconds(60);
    CPPUNIT_ASSERT(chooseByMemory(Connections, 1, m_Now) == Indices{3});
    CPPUNIT_ASSERT(chooseByMemory(Connections, 100000, m_Now) ==
                   (Indices{3, 1, 0}));
  }

  void timeToReadFollowsTheSpeedSoFar() {
    ReadProgress Progress;
    Progress.restart(5000, m_Now);
    Progress.update(7000, m_Now + seconds(1));
    CPPUNIT_ASSERT(Progress.timeToRead(100000, m_Now + seconds(1)) ==
                   Duration::zero());
    Progress.update(15000, m_Now + seconds(5));
    CPPUNIT_ASSERT(Progress.timeToRead(100000, m_Now + seconds(5)) ==
                   seconds(50));
    ReadProgress Unread;
    Unread.restart(5000, m_Now);
    CPPUNIT_ASSERT(Unread.timeToRead(100000, m_Now + seconds(5)) >
                   std::chrono::hours(1));
  }

  /// Guards against clients that keep their memory by reading a byte now and
  /// then, and against taking a slow but steady client for one of them.
  void clientThatReadsSingleBytesCountsAsStalled() {
    ReadProgress SingleBytes;
    ReadProgress Steady;
    SingleBytes.restart(5000, m_Now);
    Steady.restart(5000, m_Now);
    for (int I = 1; I <= 30; ++I) {
      const MonotonicTime At = m_Now + milliseconds(100) * I;
      SingleBytes.update(5000U + static_cast<std::uint64_t>(I), At);
      Steady.update(5000U + static_cast<std::uint64_t>(I) * 200U, At);
    }
    CPPUNIT_ASSERT(SingleBytes.stalledSince() == m_Now);
    CPPUNIT_ASSERT(Steady.stalledSince() >=
                   m_Now + seconds(3) - milliseconds(600));
  }

  /// Guards against a new client that is closed before its request arrives,
  /// while connections without use are kept.
  void longestIdleIsClosedFirst() {
    const std::vector<ConnectionState> Connections{
        state(Activity::Sending, 10, seconds(90)),
        state(Activity::Idle, 0, seconds(2)),
        state(Activity::Receiving, 10, seconds(4)),
        state(Activity::Idle, 0, seconds(8)),
        state(Activity::Receiving, 10, milliseconds(500)),
        state(Activity::Waiting, 0, seconds(9)),
    };
    CPPUNIT_ASSERT(chooseByIdleness(Connections, 1, m_Now) == Indices{3});
    CPPUNIT_ASSERT(chooseByIdleness(Connections, 9, m_Now) ==
                   (Indices{3, 1, 2, 0}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionSheddingTest);

} // namespace fulmarwinch
