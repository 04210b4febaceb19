#include "servers/admission/fair_queue.h"
#include "servers/admission/rate_limiter.h"

#include "core/error.h"

#include "cppunit/extensions/HelperMacros.h"

#include <map>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests fair shares, load shedding and rate limits of organisations.
class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(organisationsShareTokensNotRequests);
  CPPUNIT_TEST(tokensAreDividedByWeight);
  CPPUNIT_TEST(requestCostingManyQuantaIsServed);
  CPPUNIT_TEST(idleOrganisationAccumulatesNoDeficit);
  CPPUNIT_TEST(shedsLowestPriorityFirst);
  CPPUNIT_TEST(floodOfHighPriorityDoesNotDisplaceOthers);
  CPPUNIT_TEST(removedRequestIsNotDequeued);
  CPPUNIT_TEST(retryAfterFollowsTheThroughput);
  CPPUNIT_TEST(rateLimitReturnsTheWaitTime);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};
  std::uint64_t m_NextId = 1;

  std::vector<ShedRequest> enqueue(FairQueue &Queue, const std::string &Name,
                                   double Cost,
                                   Priority Level = Priority::Normal) {
    return Queue.enqueue({m_NextId++, Name, Level, Cost, Start});
  }

  /// Dequeues requests until their costs sum to at least \p Tokens. Returns the
  /// dequeued tokens by organisation.
  static std::map<std::string, double> dequeueTokens(FairQueue &Queue,
                                                     double Tokens) {
    std::map<std::string, double> ServedTokens;
    for (double Total = 0; Total < Tokens;) {
      const auto Request = Queue.dequeue(Start);
      CPPUNIT_ASSERT(Request.has_value());
      ServedTokens[Request->m_Organisation] += Request->m_CostTokens;
      Total += Request->m_CostTokens;
    }
    return ServedTokens;
  }

  /// Guards against an organisation with large requests that gets more tokens
  /// than one with small requests.
  void organisationsShareTokensNotRequests() {
    FairQueue Queue;
    for (int I = 0; I < 400; ++I)
      enqueue(Queue, "large", 2000);
    for (int I = 0; I < 400; ++I)
      enqueue(Queue, "small", 1000);
    const auto ServedTokens = dequeueTokens(Queue, 400000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200000, ServedTokens.at("large"), 4000);
  }

  /// Guards against an organisation that gets more or fewer tokens than its
  /// weight allows.
  void tokensAreDividedByWeight() {
    FairQueue Queue;
    Queue.setWeight("heavy", 3);
    for (int I = 0; I < 500; ++I) {
      enqueue(Queue, "heavy", 100);
      enqueue(Queue, "light", 100);
    }
    const auto ServedTokens = dequeueTokens(Queue, 40000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30000, ServedTokens.at("heavy"), 2000);
  }

  /// Guards against a request that costs many quanta and is never dequeued, and
  /// against a weight of zero, which would starve the organisation.
  void requestCostingManyQuantaIsServed() {
    FairQueue Queue;
    Queue.setWeight("large", 0);
    enqueue(Queue, "large", 1e9);
    CPPUNIT_ASSERT(Queue.dequeue(Start).has_value());
    CPPUNIT_ASSERT(!Queue.dequeue(Start).has_value());
  }

  /// Guards against an organisation that was idle and then gets more than its
  /// share.
  void idleOrganisationAccumulatesNoDeficit() {
    FairQueue Queue;
    for (int I = 0; I < 50; ++I) {
      enqueue(Queue, "idle", 1);
      dequeueTokens(Queue, 1);
    }
    for (int I = 0; I < 100; ++I) {
      enqueue(Queue, "idle", 500);
      enqueue(Queue, "busy", 500);
    }
    const auto ServedTokens = dequeueTokens(Queue, 20000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, ServedTokens.at("busy"), 1000);
  }

  /// Guards against shedding requests of high priority while requests of low
  /// priority are queued.
  void shedsLowestPriorityFirst() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 4;
    FairQueue Queue(Settings);
    enqueue(Queue, "a", 10, Priority::High);
    enqueue(Queue, "a", 10, Priority::Low);
    enqueue(Queue, "b", 10, Priority::High);
    enqueue(Queue, "b", 10, Priority::Normal);
    const auto Shed = enqueue(Queue, "a", 10, Priority::High);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Shed.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Shed[0].m_Id);
    CPPUNIT_ASSERT(errorKind(Shed[0].m_Status) == ErrorKind::Overloaded);
    CPPUNIT_ASSERT(Shed[0].m_RetryAfter > Duration::zero());
  }

  /// Guards against one organisation that fills the queue with requests of high
  /// priority, so that requests of other organisations are shed.
  void floodOfHighPriorityDoesNotDisplaceOthers() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 20;
    Settings.m_CapacityPerOrganisation = 15;
    FairQueue Queue(Settings);
    for (int I = 0; I < 5; ++I)
      enqueue(Queue, "quiet", 10, Priority::Low);
    std::size_t Limited = 0;
    for (int I = 0; I < 100; ++I)
      for (const ShedRequest &Shed :
           enqueue(Queue, "noisy", 10, Priority::High))
        Limited += errorKind(Shed.m_Status) == ErrorKind::LimitExceeded;
    CPPUNIT_ASSERT_EQUAL(std::size_t{85}, Limited);
    enqueue(Queue, "third", 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Queue.size("quiet"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Queue.size("third"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, Queue.size());
  }

  /// Guards against running a request whose client has disconnected.
  void removedRequestIsNotDequeued() {
    FairQueue Queue;
    enqueue(Queue, "a", 10);
    enqueue(Queue, "b", 10);
    CPPUNIT_ASSERT(Queue.remove(1));
    CPPUNIT_ASSERT(!Queue.remove(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Queue.dequeue(Start)->m_Id);
    CPPUNIT_ASSERT(!Queue.dequeue(Start).has_value());
  }

  /// Guards against clients that retry before the queue has capacity.
  void retryAfterFollowsTheThroughput() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 100;
    FairQueue Queue(Settings);
    for (int I = 0; I < 100; ++I)
      enqueue(Queue, "a", 100);
    for (int I = 0; I < 50; ++I) {
      Queue.dequeue(Start + milliseconds(100 * I));
      enqueue(Queue, "a", 100);
    }
    // 100 requests are queued and 10 are dequeued per second.
    const auto Shed = enqueue(Queue, "a", 100);
    CPPUNIT_ASSERT(Shed[0].m_RetryAfter > seconds(9));
    CPPUNIT_ASSERT(Shed[0].m_RetryAfter < seconds(11));
  }

  /// Guards against a token bucket that is not refilled, and against a request
  /// above the burst size that is never accepted.
  void rateLimitReturnsTheWaitTime() {
    RateLimiter Limiter;
    Limiter.setLimit("a", {100, 200});
    CPPUNIT_ASSERT(!Limiter.tryConsume("a", 1000, Start));
    const auto Wait = Limiter.tryConsume("a", 50, Start);
    CPPUNIT_ASSERT(Wait == Duration(milliseconds(500)));
    CPPUNIT_ASSERT(!Limiter.tryConsume("a", 50, Start + *Wait));
    CPPUNIT_ASSERT(!Limiter.tryConsume("unlimited", 1e9, Start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace fulmarwinch
