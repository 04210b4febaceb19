#include "node/dispatch_queue.h"

#include "core/error.h"

#include <vector>

namespace fulmarwinch {

namespace {

absl::Status queueTimeoutError() {
  return makeError(ErrorKind::NoCapacity,
                   "no group had capacity for the request in time",
                   "the request was not run, send it again later");
}

absl::Status tooManySetAsideError() {
  return makeError(ErrorKind::NoCapacity,
                   "no group can serve the request and too many such "
                   "requests are waiting",
                   "the request was not run, send it again later");
}

constexpr Duration QueueRetryAfter = std::chrono::seconds(1);

} // namespace

DispatchQueue::DispatchQueue(const FairQueueSettings &Settings)
    : m_Settings(Settings) {}

DispatchQueue::DeploymentQueue &
DispatchQueue::deploymentQueue(const std::string &Deployment) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  std::unique_ptr<DeploymentQueue> &Found = m_Queues[Deployment];
  if (!Found) {
    Found = std::make_unique<DeploymentQueue>(m_Settings);
    for (const auto &[Organisation, Weight] : m_Weights)
      Found->m_FairQueue.setWeight(Organisation, Weight);
  }
  return *Found;
}

void DispatchQueue::setWeight(const std::string &Organisation, double Weight) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_Weights[Organisation] == Weight)
    return;
  m_Weights[Organisation] = Weight;
  for (auto &[Deployment, WaitingQueue] : m_Queues) {
    const std::lock_guard<std::mutex> QueueGuard(WaitingQueue->m_Mutex);
    WaitingQueue->m_FairQueue.setWeight(Organisation, Weight);
  }
}

void DispatchQueue::submit(const std::string &Deployment, QueuedRequest Request,
                           const PendingDispatchPtr &Pending,
                           MonotonicTime Now) {
  DeploymentQueue &WaitingQueue = deploymentQueue(Deployment);
  const std::lock_guard<std::mutex> Guard(WaitingQueue.m_Mutex);
  Request.m_Id = m_NextId++;
  WaitingQueue.m_WaitingById.emplace(Request.m_Id, Pending);
  for (const ShedRequest &Shed : WaitingQueue.m_FairQueue.enqueue(Request)) {
    const auto Found = WaitingQueue.m_WaitingById.find(Shed.m_Id);
    Found->second->refuse(Shed.m_Status, Shed.m_RetryAfter);
    WaitingQueue.m_WaitingById.erase(Found);
  }
  dispatchWaitingLocked(WaitingQueue, Now);
}

void DispatchQueue::requeueAtFront(const std::string &Deployment,
                                   const PendingDispatchPtr &Pending,
                                   MonotonicTime Now) {
  DeploymentQueue &WaitingQueue = deploymentQueue(Deployment);
  const std::lock_guard<std::mutex> Guard(WaitingQueue.m_Mutex);
  WaitingQueue.m_Requeued.push_back(Pending);
  dispatchWaitingLocked(WaitingQueue, Now);
}

void DispatchQueue::dispatchWaiting(const std::string &Deployment,
                                    MonotonicTime Now) {
  DeploymentQueue &WaitingQueue = deploymentQueue(Deployment);
  const std::lock_guard<std::mutex> Guard(WaitingQueue.m_Mutex);
  dispatchWaitingLocked(WaitingQueue, Now);
}

void DispatchQueue::tick(MonotonicTime Now) {
  std::vector<DeploymentQueue *> AllQueues;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    for (const auto &[Deployment, WaitingQueue] : m_Queues)
      AllQueues.push_back(WaitingQueue.get());
  }
  for (DeploymentQueue *WaitingQueue : AllQueues) {
    const std::lock_guard<std::mutex> Guard(WaitingQueue->m_Mutex);
    refuseExpiredLocked(*WaitingQueue, Now);
    retrySetAside(*WaitingQueue, Now);
    dispatchWaitingLocked(*WaitingQueue, Now);
  }
}

std::size_t DispatchQueue::size() const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  std::size_t Count = 0;
  for (const auto &[Deployment, WaitingQueue] : m_Queues) {
    const std::lock_guard<std::mutex> QueueGuard(WaitingQueue->m_Mutex);
    Count += WaitingQueue->m_FairQueue.size() +
             WaitingQueue->m_Requeued.size() + WaitingQueue->m_SetAside.size() +
             (WaitingQueue->m_Head ? 1 : 0);
  }
  return Count;
}

void DispatchQueue::clear() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_Queues.clear();
}

bool DispatchQueue::dispatchRequeued(DeploymentQueue &WaitingQueue,
                                     MonotonicTime Now) {
  bool HasCapacity = true;
  for (auto Entry = WaitingQueue.m_Requeued.begin();
       Entry != WaitingQueue.m_Requeued.end();) {
    const DispatchResult Result = (*Entry)->tryDispatch(Now);
    HasCapacity = HasCapacity && Result != DispatchResult::AllGroupsFull;
    Entry = Result == DispatchResult::Handled
                ? WaitingQueue.m_Requeued.erase(Entry)
                : std::next(Entry);
  }
  return HasCapacity;
}

void DispatchQueue::retrySetAside(DeploymentQueue &WaitingQueue,
                                  MonotonicTime Now) {
  WaitingQueue.m_SetAside.remove_if([Now](const PendingDispatchPtr &Pending) {
    return Pending->tryDispatch(Now) == DispatchResult::Handled;
  });
}

void DispatchQueue::setHeadAside(DeploymentQueue &WaitingQueue) {
  if (WaitingQueue.m_SetAside.size() < MaxSetAside)
    WaitingQueue.m_SetAside.push_back(std::move(WaitingQueue.m_Head));
  else
    WaitingQueue.m_Head->refuse(tooManySetAsideError(), QueueRetryAfter);
  WaitingQueue.m_Head.reset();
}

void DispatchQueue::dispatchWaitingLocked(DeploymentQueue &WaitingQueue,
                                          MonotonicTime Now) {
  if (!dispatchRequeued(WaitingQueue, Now))
    return;
  while (true) {
    if (!WaitingQueue.m_Head) {
      const std::optional<QueuedRequest> NextRequest =
          WaitingQueue.m_FairQueue.dequeue(Now);
      if (!NextRequest)
        return;
      const auto Found = WaitingQueue.m_WaitingById.find(NextRequest->m_Id);
      WaitingQueue.m_Head = std::move(Found->second);
      WaitingQueue.m_WaitingById.erase(Found);
    }
    const DispatchResult Result = WaitingQueue.m_Head->tryDispatch(Now);
    if (Result == DispatchResult::AllGroupsFull)
      return;
    if (Result == DispatchResult::NoSuitableGroup)
      setHeadAside(WaitingQueue);
    else
      WaitingQueue.m_Head.reset();
  }
}

void DispatchQueue::refuseExpiredLocked(DeploymentQueue &WaitingQueue,
                                        MonotonicTime Now) {
  if (WaitingQueue.m_Head && WaitingQueue.m_Head->queueDeadline() <= Now) {
    WaitingQueue.m_Head->refuse(queueTimeoutError(), QueueRetryAfter);
    WaitingQueue.m_Head.reset();
  }
  for (auto Entry = WaitingQueue.m_WaitingById.begin();
       Entry != WaitingQueue.m_WaitingById.end();) {
    if (Entry->second->queueDeadline() > Now) {
      ++Entry;
      continue;
    }
    WaitingQueue.m_FairQueue.remove(Entry->first);
    Entry->second->refuse(queueTimeoutError(), QueueRetryAfter);
    Entry = WaitingQueue.m_WaitingById.erase(Entry);
  }
  for (std::list<PendingDispatchPtr> *List :
       {&WaitingQueue.m_Requeued, &WaitingQueue.m_SetAside})
    List->remove_if([Now](const PendingDispatchPtr &Pending) {
      if (Pending->queueDeadline() > Now)
        return false;
      Pending->refuse(queueTimeoutError(), QueueRetryAfter);
      return true;
    });
}

} // namespace fulmarwinch
