#include "servers/admission/fair_queue.h"
#include "servers/admission/rate_limiter.h"

#include "core/error.h"

#include "cppunit/extensions/HelperMacros.h"

#include <map>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Shares, limits and shedding between organisations.
class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(sharesWorkNotRequests);
  CPPUNIT_TEST(weightsDivideWork);
  CPPUNIT_TEST(largeRequestIsServed);
  CPPUNIT_TEST(idleOrganisationSavesNothing);
  CPPUNIT_TEST(shedsLowestPriorityFirst);
  CPPUNIT_TEST(noisyOrganisationCannotDisplaceOthers);
  CPPUNIT_TEST(removedRequestDoesNotRun);
  CPPUNIT_TEST(retryAfterFollowsTheDrainRate);
  CPPUNIT_TEST(rateLimitTellsWhenToReturn);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};
  std::uint64_t m_NextId = 1;

  std::vector<ShedRequest> add(FairQueue &Queue, const std::string &Name,
                               double Cost, Priority Level = Priority::Normal) {
    return Queue.enqueue({m_NextId++, Name, Level, Cost, Start});
  }

  static std::map<std::string, double> drain(FairQueue &Queue, double Tokens) {
    std::map<std::string, double> Served;
    for (double Total = 0; Total < Tokens;) {
      const auto Request = Queue.dequeue(Start);
      CPPUNIT_ASSERT(Request.has_value());
      Served[Request->m_Organisation] += Request->m_CostTokens;
      Total += Request->m_CostTokens;
    }
    return Served;
  }

  /// Guards against an organisation with large requests getting more tokens
  /// than one with small requests.
  void sharesWorkNotRequests() {
    FairQueue Queue;
    for (int I = 0; I < 400; ++I)
      add(Queue, "large", 2000);
    for (int I = 0; I < 400; ++I)
      add(Queue, "small", 1000);
    const auto Served = drain(Queue, 400000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200000, Served.at("large"), 4000);
  }

  void weightsDivideWork() {
    FairQueue Queue;
    Queue.setWeight("heavy", 3);
    for (int I = 0; I < 500; ++I) {
      add(Queue, "heavy", 100);
      add(Queue, "light", 100);
    }
    const auto Served = drain(Queue, 40000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30000, Served.at("heavy"), 2000);
  }

  /// Guards against a request of many quanta that waits for ever, and
  /// against a weight of zero.
  void largeRequestIsServed() {
    FairQueue Queue;
    Queue.setWeight("large", 0);
    add(Queue, "large", 1e9);
    CPPUNIT_ASSERT(Queue.dequeue(Start).has_value());
    CPPUNIT_ASSERT(!Queue.dequeue(Start).has_value());
  }

  /// Guards against a burst after an idle time at the cost of others.
  void idleOrganisationSavesNothing() {
    FairQueue Queue;
    for (int I = 0; I < 50; ++I) {
      add(Queue, "idle", 1);
      drain(Queue, 1);
    }
    for (int I = 0; I < 100; ++I) {
      add(Queue, "idle", 500);
      add(Queue, "busy", 500);
    }
    const auto Served = drain(Queue, 20000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, Served.at("busy"), 1000);
  }

  /// Guards against shedding interactive work while batch work waits.
  void shedsLowestPriorityFirst() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 4;
    FairQueue Queue(Settings);
    add(Queue, "a", 10, Priority::High);
    add(Queue, "a", 10, Priority::Low);
    add(Queue, "b", 10, Priority::High);
    add(Queue, "b", 10, Priority::Normal);
    const auto Shed = add(Queue, "a", 10, Priority::High);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Shed.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Shed[0].m_Id);
    CPPUNIT_ASSERT(errorKind(Shed[0].m_Status) == ErrorKind::Overloaded);
    CPPUNIT_ASSERT(Shed[0].m_RetryAfter > Duration::zero());
  }

  /// Guards against one organisation that fills the queue with work of high
  /// priority.
  void noisyOrganisationCannotDisplaceOthers() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 20;
    Settings.m_OrganisationCapacity = 15;
    FairQueue Queue(Settings);
    for (int I = 0; I < 5; ++I)
      add(Queue, "quiet", 10, Priority::Low);
    std::size_t Limited = 0;
    for (int I = 0; I < 100; ++I)
      for (const ShedRequest &Shed : add(Queue, "noisy", 10, Priority::High))
        Limited += errorKind(Shed.m_Status) == ErrorKind::LimitExceeded;
    CPPUNIT_ASSERT_EQUAL(std::size_t{85}, Limited);
    add(Queue, "third", 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Queue.size("quiet"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Queue.size("third"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, Queue.size());
  }

  /// Guards against running work whose client is gone.
  void removedRequestDoesNotRun() {
    FairQueue Queue;
    add(Queue, "a", 10);
    add(Queue, "b", 10);
    CPPUNIT_ASSERT(Queue.remove(1));
    CPPUNIT_ASSERT(!Queue.remove(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Queue.dequeue(Start)->m_Id);
    CPPUNIT_ASSERT(!Queue.dequeue(Start).has_value());
  }

  /// Guards against clients that return before there is room.
  void retryAfterFollowsTheDrainRate() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 100;
    FairQueue Queue(Settings);
    for (int I = 0; I < 100; ++I)
      add(Queue, "a", 100);
    for (int I = 0; I < 50; ++I) {
      Queue.dequeue(Start + milliseconds(100 * I));
      add(Queue, "a", 100);
    }
    // 100 requests at 10 per second.
    const auto Shed = add(Queue, "a", 100);
    CPPUNIT_ASSERT(Shed[0].m_RetryAfter > seconds(9));
    CPPUNIT_ASSERT(Shed[0].m_RetryAfter < seconds(11));
  }

  /// Guards against a limit that does not refill, and against a request
  /// above the burst that could never be accepted.
  void rateLimitTellsWhenToReturn() {
    RateLimiter Limiter;
    Limiter.setLimit("a", {100, 200});
    CPPUNIT_ASSERT(!Limiter.tryTake("a", 1000, Start));
    const auto Wait = Limiter.tryTake("a", 50, Start);
    CPPUNIT_ASSERT(Wait == Duration(milliseconds(500)));
    CPPUNIT_ASSERT(!Limiter.tryTake("a", 50, Start + *Wait));
    CPPUNIT_ASSERT(!Limiter.tryTake("unlimited", 1e9, Start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace fulmarwinch
