#include "node/dispatch_queue.h"

#include "core/error.h"

#include <vector>

namespace fulmarwinch {

namespace {

absl::Status waitedTooLong() {
  return makeError(ErrorKind::NoCapacity,
                   "no backend server became free in time",
                   "the request was not run, send it again later");
}

constexpr Duration RetryAfterWait = std::chrono::seconds(1);

} // namespace

DispatchQueue::DispatchQueue(const FairQueueSettings &Settings)
    : m_Settings(Settings) {}

DispatchQueue::Queue &DispatchQueue::queueOf(const std::string &Deployment) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  std::unique_ptr<Queue> &Found = m_Queues[Deployment];
  if (!Found) {
    Found = std::make_unique<Queue>(m_Settings);
    for (const auto &[Organisation, Weight] : m_Weights)
      Found->m_Fair.setWeight(Organisation, Weight);
  }
  return *Found;
}

void DispatchQueue::setWeight(const std::string &Organisation, double Weight) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_Weights[Organisation] == Weight)
    return;
  m_Weights[Organisation] = Weight;
  for (auto &[Deployment, Waiting] : m_Queues) {
    const std::lock_guard<std::mutex> QueueGuard(Waiting->m_Mutex);
    Waiting->m_Fair.setWeight(Organisation, Weight);
  }
}

void DispatchQueue::submit(const std::string &Deployment, QueuedRequest Request,
                           const QueuedWorkPtr &Work, MonotonicTime Now) {
  Queue &Waiting = queueOf(Deployment);
  const std::lock_guard<std::mutex> Guard(Waiting.m_Mutex);
  Request.m_Id = m_NextId++;
  Waiting.m_Work.emplace(Request.m_Id, Work);
  for (const ShedRequest &Shed : Waiting.m_Fair.enqueue(Request)) {
    const auto Found = Waiting.m_Work.find(Shed.m_Id);
    Found->second->refuse(Shed.m_Status, Shed.m_RetryAfter);
    Waiting.m_Work.erase(Found);
  }
  pumpLocked(Waiting, Now);
}

void DispatchQueue::resume(const std::string &Deployment,
                           const QueuedWorkPtr &Work, MonotonicTime Now) {
  Queue &Waiting = queueOf(Deployment);
  const std::lock_guard<std::mutex> Guard(Waiting.m_Mutex);
  Waiting.m_Resumed.push_back(Work);
  pumpLocked(Waiting, Now);
}

void DispatchQueue::pump(const std::string &Deployment, MonotonicTime Now) {
  Queue &Waiting = queueOf(Deployment);
  const std::lock_guard<std::mutex> Guard(Waiting.m_Mutex);
  pumpLocked(Waiting, Now);
}

void DispatchQueue::tick(MonotonicTime Now) {
  std::vector<Queue *> All;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    for (const auto &[Deployment, Waiting] : m_Queues)
      All.push_back(Waiting.get());
  }
  for (Queue *Waiting : All) {
    const std::lock_guard<std::mutex> Guard(Waiting->m_Mutex);
    expireLocked(*Waiting, Now);
    pumpLocked(*Waiting, Now);
  }
}

std::size_t DispatchQueue::size() const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  std::size_t Count = 0;
  for (const auto &[Deployment, Waiting] : m_Queues) {
    const std::lock_guard<std::mutex> QueueGuard(Waiting->m_Mutex);
    Count += Waiting->m_Fair.size() + Waiting->m_Resumed.size() +
             (Waiting->m_Head ? 1 : 0);
  }
  return Count;
}

void DispatchQueue::pumpLocked(Queue &Waiting, MonotonicTime Now) {
  // A request that finds no place must not hold up the others, because the
  // groups that it may use can differ from those that are free.
  for (auto Entry = Waiting.m_Resumed.begin();
       Entry != Waiting.m_Resumed.end();)
    Entry = (*Entry)->tryStart(Now) ? Waiting.m_Resumed.erase(Entry)
                                    : std::next(Entry);
  while (true) {
    if (!Waiting.m_Head) {
      const std::optional<QueuedRequest> Next = Waiting.m_Fair.dequeue(Now);
      if (!Next)
        return;
      const auto Found = Waiting.m_Work.find(Next->m_Id);
      Waiting.m_Head = std::move(Found->second);
      Waiting.m_Work.erase(Found);
    }
    if (!Waiting.m_Head->tryStart(Now))
      return;
    Waiting.m_Head.reset();
  }
}

void DispatchQueue::expireLocked(Queue &Waiting, MonotonicTime Now) {
  if (Waiting.m_Head && Waiting.m_Head->waitUntil() <= Now) {
    Waiting.m_Head->refuse(waitedTooLong(), RetryAfterWait);
    Waiting.m_Head.reset();
  }
  for (auto Entry = Waiting.m_Work.begin(); Entry != Waiting.m_Work.end();) {
    if (Entry->second->waitUntil() > Now) {
      ++Entry;
      continue;
    }
    Waiting.m_Fair.remove(Entry->first);
    Entry->second->refuse(waitedTooLong(), RetryAfterWait);
    Entry = Waiting.m_Work.erase(Entry);
  }
  for (auto Entry = Waiting.m_Resumed.begin();
       Entry != Waiting.m_Resumed.end();) {
    if ((*Entry)->waitUntil() > Now) {
      ++Entry;
      continue;
    }
    (*Entry)->refuse(waitedTooLong(), RetryAfterWait);
    Entry = Waiting.m_Resumed.erase(Entry);
  }
}

} // namespace fulmarwinch
