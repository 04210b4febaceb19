#include "core/error.h"
#include "node/dispatch_queue.h"

#include "cppunit/extensions/HelperMacros.h"

#include <functional>
#include <vector>

namespace fulmarwinch {

namespace {

class FakeWork : public QueuedWork {
public:
  StartResult tryStart(MonotonicTime) override {
    ++m_Tries;
    if (m_Result == StartResult::Started)
      m_IsStarted = true;
    return m_Result;
  }
  void refuse(const absl::Status &Reason, Duration) override {
    m_Refusal = Reason;
  }
  MonotonicTime waitUntil() const override { return m_WaitUntil; }

  StartResult m_Result = StartResult::Started;
  MonotonicTime m_WaitUntil = MonotonicTime(std::chrono::hours(1));
  bool m_IsStarted = false;
  int m_Tries = 0;
  absl::Status m_Refusal;
};

using FakeWorkPtr = std::shared_ptr<FakeWork>;

const MonotonicTime Start(std::chrono::seconds(1));

} // namespace

class DispatchQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchQueueTest);
  CPPUNIT_TEST(waitsForRoomInOrder);
  CPPUNIT_TEST(unservableRequestBlocksNoOther);
  CPPUNIT_TEST(unservableRequestsAreBounded);
  CPPUNIT_TEST(resumedStreamGoesFirst);
  CPPUNIT_TEST(failedResumeBlocksNoOther);
  CPPUNIT_TEST(stuckResumeBlocksNoOtherResume);
  CPPUNIT_TEST(overdueRequestsAreRefused);
  CPPUNIT_TEST(overflowIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a request that overtakes an older one at a full group.
  void waitsForRoomInOrder() {
    const FakeWorkPtr First = submit(StartResult::NoRoom);
    const FakeWorkPtr Second = submit(StartResult::Started);
    CPPUNIT_ASSERT(!Second->m_IsStarted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_Queue.size());
    First->m_Result = StartResult::Started;
    m_Queue.pump("chat", Start);
    CPPUNIT_ASSERT(First->m_IsStarted && Second->m_IsStarted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against a request for a missing adapter that holds up all others
  /// of its deployment until it is refused.
  void unservableRequestBlocksNoOther() {
    const FakeWorkPtr Odd = submit(StartResult::Unservable);
    CPPUNIT_ASSERT(submit(StartResult::Started)->m_IsStarted);
    Odd->m_Result = StartResult::Started;
    m_Queue.tick(Start);
    CPPUNIT_ASSERT(Odd->m_IsStarted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against ticks that take ever longer under many such requests.
  void unservableRequestsAreBounded() {
    std::vector<FakeWorkPtr> All;
    for (std::size_t Index = 0; Index <= DispatchQueue::MaxAside; ++Index)
      All.push_back(submit(StartResult::Unservable));
    CPPUNIT_ASSERT(errorKind(All.back()->m_Refusal) == ErrorKind::NoCapacity);
    CPPUNIT_ASSERT(All.front()->m_Refusal.ok());
    CPPUNIT_ASSERT_EQUAL(DispatchQueue::MaxAside, m_Queue.size());
  }

  /// Guards against a broken stream that waits behind new requests.
  void resumedStreamGoesFirst() {
    const FakeWorkPtr Head = submit(StartResult::NoRoom);
    const auto Stream = std::make_shared<FakeWork>();
    Stream->m_Result = StartResult::NoRoom;
    const int Tries = Head->m_Tries;
    Head->m_Result = StartResult::Started;
    m_Queue.resume("chat", Stream, Start);
    CPPUNIT_ASSERT_EQUAL(Tries, Head->m_Tries);
    Stream->m_Result = StartResult::Started;
    m_Queue.pump("chat", Start);
    CPPUNIT_ASSERT(Stream->m_IsStarted && Head->m_IsStarted);
  }

  /// Guards against a repeated request that has tried every group and blocks
  /// its deployment.
  void failedResumeBlocksNoOther() {
    const auto Retry = std::make_shared<FakeWork>();
    Retry->m_Result = StartResult::Unservable;
    m_Queue.resume("chat", Retry, Start);
    CPPUNIT_ASSERT(submit(StartResult::Started)->m_IsStarted);
  }

  /// Guards against the failure that one resumed request that had excluded
  /// every group blocked all requests of its node for 30 s.
  void stuckResumeBlocksNoOtherResume() {
    const auto Stuck = std::make_shared<FakeWork>();
    const auto Resumed = std::make_shared<FakeWork>();
    Stuck->m_Result = StartResult::Unservable;
    m_Queue.resume("chat", Stuck, Start);
    m_Queue.resume("chat", Resumed, Start);
    CPPUNIT_ASSERT(Resumed->m_IsStarted && !Stuck->m_IsStarted);
    CPPUNIT_ASSERT(submit(StartResult::Started)->m_IsStarted);
    Stuck->m_Result = StartResult::Started;
    m_Queue.pump("chat", Start);
    CPPUNIT_ASSERT(Stuck->m_IsStarted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against requests that are never answered, wherever they wait.
  void overdueRequestsAreRefused() {
    const auto Resumed = std::make_shared<FakeWork>();
    Resumed->m_Result = StartResult::Unservable;
    m_Queue.resume("chat", Resumed, Start);
    const std::vector<FakeWorkPtr> All{Resumed, submit(StartResult::Unservable),
                                       submit(StartResult::NoRoom),
                                       submit(StartResult::NoRoom)};
    for (const FakeWorkPtr &Work : All)
      Work->m_WaitUntil = Start;
    m_Queue.tick(Start);
    for (const FakeWorkPtr &Work : All)
      CPPUNIT_ASSERT(errorKind(Work->m_Refusal) == ErrorKind::NoCapacity);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against a queue that grows without bound under overload.
  void overflowIsRefused() {
    std::vector<FakeWorkPtr> All;
    for (int Index = 0; Index < 6; ++Index)
      All.push_back(submit(StartResult::NoRoom));
    std::size_t Refused = 0;
    for (const FakeWorkPtr &Work : All)
      Refused += Work->m_Refusal.ok() ? 0 : 1;
    // One request left the fair queue and waits as its head.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_Queue.size());
  }

private:
  static FairQueueSettings settings() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 4;
    return Settings;
  }

  FakeWorkPtr submit(StartResult Result) {
    const auto Work = std::make_shared<FakeWork>();
    Work->m_Result = Result;
    QueuedRequest Request;
    Request.m_Organisation = "acme";
    Request.m_EnqueuedAt = Start;
    m_Queue.submit("chat", Request, Work, Start);
    return Work;
  }

  DispatchQueue m_Queue{settings()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchQueueTest);

} // namespace fulmarwinch
