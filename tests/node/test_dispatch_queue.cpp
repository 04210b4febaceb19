#include "node/dispatch_queue.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Work that starts only when it is told that there is a place.
class FakeWork : public QueuedWork {
public:
  bool tryStart(MonotonicTime) override {
    m_Started = m_Started || m_HasPlace;
    return m_Started;
  }
  void refuse(const absl::Status &, Duration) override { m_Refused = true; }
  MonotonicTime waitUntil() const override { return m_WaitUntil; }

  bool m_HasPlace = false;
  bool m_Started = false;
  bool m_Refused = false;
  MonotonicTime m_WaitUntil = MonotonicTime::max();
};

class DispatchQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchQueueTest);
  CPPUNIT_TEST(resumedRequestWithoutPlaceHoldsUpNobody);
  CPPUNIT_TEST(resumedRequestIsRefusedWhenItsTimeIsOver);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against the failure that one resumed request that had excluded
  /// every group blocked all requests of its node for 30 s.
  void resumedRequestWithoutPlaceHoldsUpNobody() {
    DispatchQueue Queue{FairQueueSettings{}};
    const auto Stuck = std::make_shared<FakeWork>();
    const auto Resumed = std::make_shared<FakeWork>();
    const auto Fresh = std::make_shared<FakeWork>();
    Resumed->m_HasPlace = Fresh->m_HasPlace = true;
    const MonotonicTime Now{};
    Queue.resume("chat", Stuck, Now);
    Queue.resume("chat", Resumed, Now);
    QueuedRequest Request;
    Request.m_Organisation = "acme";
    Request.m_CostTokens = 1;
    Request.m_EnqueuedAt = Now;
    Queue.submit("chat", Request, Fresh, Now);
    CPPUNIT_ASSERT(Resumed->m_Started);
    CPPUNIT_ASSERT(Fresh->m_Started);
    CPPUNIT_ASSERT(!Stuck->m_Started);
    Stuck->m_HasPlace = true;
    Queue.pump("chat", Now);
    CPPUNIT_ASSERT(Stuck->m_Started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Queue.size());
  }

  /// Guards against a resumed request that waits for ever.
  void resumedRequestIsRefusedWhenItsTimeIsOver() {
    DispatchQueue Queue{FairQueueSettings{}};
    const auto Stuck = std::make_shared<FakeWork>();
    Stuck->m_WaitUntil = MonotonicTime{} + std::chrono::seconds(1);
    Queue.resume("chat", Stuck, MonotonicTime{});
    Queue.tick(MonotonicTime{} + std::chrono::seconds(1));
    CPPUNIT_ASSERT(Stuck->m_Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Queue.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchQueueTest);

} // namespace fulmarwinch
