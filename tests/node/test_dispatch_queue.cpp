#include "core/error.h"
#include "node/dispatch_queue.h"

#include "cppunit/extensions/HelperMacros.h"

#include <functional>
#include <vector>

namespace fulmarwinch {

namespace {

class FakeDispatch : public PendingDispatch {
public:
  DispatchResult tryDispatch(MonotonicTime) override {
    ++m_TryCount;
    if (m_Result == DispatchResult::Handled)
      m_IsDispatched = true;
    return m_Result;
  }
  void refuse(const absl::Status &Reason, Duration) override {
    m_Refusal = Reason;
  }
  MonotonicTime queueDeadline() const override { return m_QueueDeadline; }

  DispatchResult m_Result = DispatchResult::Handled;
  MonotonicTime m_QueueDeadline = MonotonicTime(std::chrono::hours(1));
  bool m_IsDispatched = false;
  int m_TryCount = 0;
  absl::Status m_Refusal;
};

using FakeDispatchPtr = std::shared_ptr<FakeDispatch>;

const MonotonicTime Start(std::chrono::seconds(1));

} // namespace

class DispatchQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchQueueTest);
  CPPUNIT_TEST(requestsWaitInOrderForCapacity);
  CPPUNIT_TEST(unservableRequestDoesNotBlockOthers);
  CPPUNIT_TEST(numberOfUnservableRequestsIsBounded);
  CPPUNIT_TEST(requeuedStreamIsDispatchedFirst);
  CPPUNIT_TEST(unservableRetryDoesNotBlockNewRequests);
  CPPUNIT_TEST(unservableRetryDoesNotBlockOtherRetries);
  CPPUNIT_TEST(expiredRequestsAreRefused);
  CPPUNIT_TEST(requestsBeyondCapacityAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a request that overtakes an older one while all groups are
  /// full.
  void requestsWaitInOrderForCapacity() {
    const FakeDispatchPtr First = submit(DispatchResult::AllGroupsFull);
    const FakeDispatchPtr Second = submit(DispatchResult::Handled);
    CPPUNIT_ASSERT(!Second->m_IsDispatched);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_Queue.size());
    First->m_Result = DispatchResult::Handled;
    m_Queue.dispatchWaiting("chat", Start);
    CPPUNIT_ASSERT(First->m_IsDispatched && Second->m_IsDispatched);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against a request for a missing adapter that blocks all others of
  /// its deployment until it is refused.
  void unservableRequestDoesNotBlockOthers() {
    const FakeDispatchPtr UnservableRequest =
        submit(DispatchResult::NoSuitableGroup);
    CPPUNIT_ASSERT(submit(DispatchResult::Handled)->m_IsDispatched);
    UnservableRequest->m_Result = DispatchResult::Handled;
    m_Queue.tick(Start);
    CPPUNIT_ASSERT(UnservableRequest->m_IsDispatched);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against ticks that take longer with each request that no group can
  /// serve.
  void numberOfUnservableRequestsIsBounded() {
    std::vector<FakeDispatchPtr> All;
    for (std::size_t Index = 0; Index <= DispatchQueue::MaxSetAside; ++Index)
      All.push_back(submit(DispatchResult::NoSuitableGroup));
    CPPUNIT_ASSERT(errorKind(All.back()->m_Refusal) == ErrorKind::NoCapacity);
    CPPUNIT_ASSERT(All.front()->m_Refusal.ok());
    CPPUNIT_ASSERT_EQUAL(DispatchQueue::MaxSetAside, m_Queue.size());
  }

  /// Guards against an interrupted stream that waits behind new requests.
  void requeuedStreamIsDispatchedFirst() {
    const FakeDispatchPtr Head = submit(DispatchResult::AllGroupsFull);
    const auto Stream = std::make_shared<FakeDispatch>();
    Stream->m_Result = DispatchResult::AllGroupsFull;
    const int TryCountBefore = Head->m_TryCount;
    Head->m_Result = DispatchResult::Handled;
    m_Queue.requeueAtFront("chat", Stream, Start);
    CPPUNIT_ASSERT_EQUAL(TryCountBefore, Head->m_TryCount);
    Stream->m_Result = DispatchResult::Handled;
    m_Queue.dispatchWaiting("chat", Start);
    CPPUNIT_ASSERT(Stream->m_IsDispatched && Head->m_IsDispatched);
  }

  /// Guards against a retried request that has tried every group and blocks its
  /// deployment.
  void unservableRetryDoesNotBlockNewRequests() {
    const auto Retry = std::make_shared<FakeDispatch>();
    Retry->m_Result = DispatchResult::NoSuitableGroup;
    m_Queue.requeueAtFront("chat", Retry, Start);
    CPPUNIT_ASSERT(submit(DispatchResult::Handled)->m_IsDispatched);
  }

  /// Guards against a retried request that has excluded every group and blocks
  /// all requests of its node. The observed case lasted 30 s.
  void unservableRetryDoesNotBlockOtherRetries() {
    const auto UnservableRetry = std::make_shared<FakeDispatch>();
    const auto Requeued = std::make_shared<FakeDispatch>();
    UnservableRetry->m_Result = DispatchResult::NoSuitableGroup;
    m_Queue.requeueAtFront("chat", UnservableRetry, Start);
    m_Queue.requeueAtFront("chat", Requeued, Start);
    CPPUNIT_ASSERT(Requeued->m_IsDispatched &&
                   !UnservableRetry->m_IsDispatched);
    CPPUNIT_ASSERT(submit(DispatchResult::Handled)->m_IsDispatched);
    UnservableRetry->m_Result = DispatchResult::Handled;
    m_Queue.dispatchWaiting("chat", Start);
    CPPUNIT_ASSERT(UnservableRetry->m_IsDispatched);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against waiting requests that are never answered, in any part of
  /// the queue.
  void expiredRequestsAreRefused() {
    const auto Requeued = std::make_shared<FakeDispatch>();
    Requeued->m_Result = DispatchResult::NoSuitableGroup;
    m_Queue.requeueAtFront("chat", Requeued, Start);
    const std::vector<FakeDispatchPtr> All{
        Requeued, submit(DispatchResult::NoSuitableGroup),
        submit(DispatchResult::AllGroupsFull),
        submit(DispatchResult::AllGroupsFull)};
    for (const FakeDispatchPtr &Dispatch : All)
      Dispatch->m_QueueDeadline = Start;
    m_Queue.tick(Start);
    for (const FakeDispatchPtr &Dispatch : All)
      CPPUNIT_ASSERT(errorKind(Dispatch->m_Refusal) == ErrorKind::NoCapacity);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Queue.size());
  }

  /// Guards against a queue that grows without limit under overload.
  void requestsBeyondCapacityAreRefused() {
    std::vector<FakeDispatchPtr> All;
    for (int Index = 0; Index < 6; ++Index)
      All.push_back(submit(DispatchResult::AllGroupsFull));
    std::size_t Refused = 0;
    for (const FakeDispatchPtr &Dispatch : All)
      Refused += Dispatch->m_Refusal.ok() ? 0 : 1;
    // One request has left the fair queue and does not count towards its
    // capacity.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_Queue.size());
  }

private:
  static FairQueueSettings settings() {
    FairQueueSettings Settings;
    Settings.m_Capacity = 4;
    return Settings;
  }

  FakeDispatchPtr submit(DispatchResult Result) {
    const auto Dispatch = std::make_shared<FakeDispatch>();
    Dispatch->m_Result = Result;
    QueuedRequest Request;
    Request.m_Organisation = "acme";
    Request.m_EnqueuedAt = Start;
    m_Queue.submit("chat", Request, Dispatch, Start);
    return Dispatch;
  }

  DispatchQueue m_Queue{settings()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchQueueTest);

} // namespace fulmarwinch
