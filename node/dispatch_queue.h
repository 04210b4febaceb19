#ifndef FULMARWINCH_NODE_DISPATCH_QUEUE_H
#define FULMARWINCH_NODE_DISPATCH_QUEUE_H

#include "core/time.h"
#include "servers/admission/fair_queue.h"

#include "absl/status/status.h"

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fulmarwinch {

/// A request that waits for a place at a backend server.
class QueuedWork {
public:
  virtual ~QueuedWork() = default;

  /// Tries to dispatch. Returns false if there is no place yet and the request
  /// has to wait; true if it was dispatched or has been answered.
  virtual bool tryStart(MonotonicTime Now) = 0;

  /// Answers the request, which was not dispatched by this attempt.
  virtual void refuse(const absl::Status &Reason, Duration RetryAfter) = 0;

  /// Time after which the request no longer waits.
  virtual MonotonicTime waitUntil() const = 0;
};

using QueuedWorkPtr = std::shared_ptr<QueuedWork>;

/// Requests that wait, per deployment, in the order of the fair queue. A
/// request whose response has begun goes before all others, because its client
/// holds a part that would be lost. Work is called under the lock of its
/// deployment, so it must not call this queue back from these calls.
class DispatchQueue {
public:
  explicit DispatchQueue(const FairQueueSettings &Settings);

  void setWeight(const std::string &Organisation, double Weight);

  /// Adds \p Work and dispatches what can be dispatched. The ID in \p Request
  /// is assigned here.
  void submit(const std::string &Deployment, QueuedRequest Request,
              const QueuedWorkPtr &Work, MonotonicTime Now);

  /// Puts a request that was dispatched before ahead of all others.
  void resume(const std::string &Deployment, const QueuedWorkPtr &Work,
              MonotonicTime Now);

  /// Dispatches waiting requests of \p Deployment.
  void pump(const std::string &Deployment, MonotonicTime Now);
  /// Dispatches waiting requests of all deployments and refuses those that
  /// waited too long.
  void tick(MonotonicTime Now);

  std::size_t size() const;

private:
  struct Queue {
    explicit Queue(const FairQueueSettings &Settings) : m_Fair(Settings) {}

    std::mutex m_Mutex;
    FairQueue m_Fair;
    std::map<std::uint64_t, QueuedWorkPtr> m_Work;
    /// Goes before m_Head.
    std::deque<QueuedWorkPtr> m_Resumed;
    /// Left the fair queue but found no place.
    QueuedWorkPtr m_Head;
  };

  Queue &queueOf(const std::string &Deployment);
  static void pumpLocked(Queue &Waiting, MonotonicTime Now);
  static void expireLocked(Queue &Waiting, MonotonicTime Now);

  FairQueueSettings m_Settings;
  std::atomic<std::uint64_t> m_NextId{1};
  mutable std::mutex m_Mutex;
  std::map<std::string, std::unique_ptr<Queue>> m_Queues;
  std::map<std::string, double> m_Weights;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_DISPATCH_QUEUE_H
