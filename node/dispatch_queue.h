#ifndef FULMARWINCH_NODE_DISPATCH_QUEUE_H
#define FULMARWINCH_NODE_DISPATCH_QUEUE_H

#include "core/time.h"
#include "servers/admission/fair_queue.h"

#include "absl/status/status.h"

#include <array>
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace fulmarwinch {

/// Result of an attempt to dispatch a request.
enum class StartResult {
  /// It was dispatched or has been answered.
  Started,
  /// There is no place for it or for any other request of the deployment.
  NoRoom,
  /// No group can take this request now, but others may be served: the groups
  /// lack an ability that it needs, or it has failed there.
  Unservable,
};

/// A request that waits for a place at a backend server.
class QueuedWork {
public:
  virtual ~QueuedWork() = default;

  /// Tries to dispatch.
  virtual StartResult tryStart(MonotonicTime Now) = 0;

  /// Answers the request, which was not dispatched by this attempt.
  virtual void refuse(const absl::Status &Reason, Duration RetryAfter) = 0;

  /// Time after which the request no longer waits.
  virtual MonotonicTime waitUntil() const = 0;
};

using QueuedWorkPtr = std::shared_ptr<QueuedWork>;

/// Requests that wait, per deployment, in the order of the fair queue. A
/// request whose response has begun goes before all others, because its client
/// holds a part that would be lost. A request that no group can take is set
/// aside, so that it blocks no other. Work is called under the lock of its
/// deployment, so it must not call this queue back from these calls.
class DispatchQueue {
public:
  /// Most requests of one deployment that are set aside; further ones are
  /// refused, because each is tried again on every tick.
  static constexpr std::size_t MaxAside = 64;

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
  /// Drops all requests unanswered.
  void clear();

private:
  struct Queue {
    explicit Queue(const FairQueueSettings &Settings) : m_Fair(Settings) {}

    std::mutex m_Mutex;
    FairQueue m_Fair;
    std::map<std::uint64_t, QueuedWorkPtr> m_Work;
    /// Goes before m_Head.
    std::list<QueuedWorkPtr> m_Resumed;
    /// Left the fair queue but found no place.
    QueuedWorkPtr m_Head;
    /// Unservable when they were tried last.
    std::list<QueuedWorkPtr> m_Aside;
  };

  Queue &queueOf(const std::string &Deployment);
  static void pumpLocked(Queue &Waiting, MonotonicTime Now);
  /// Returns false if a resumed request found no room.
  static bool startResumed(Queue &Waiting, MonotonicTime Now);
  static void startAside(Queue &Waiting, MonotonicTime Now);
  static void setAside(Queue &Waiting);
  static void expireLocked(Queue &Waiting, MonotonicTime Now);

  FairQueueSettings m_Settings;
  std::atomic<std::uint64_t> m_NextId{1};
  mutable std::mutex m_Mutex;
  std::map<std::string, std::unique_ptr<Queue>> m_Queues;
  std::map<std::string, double> m_Weights;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_DISPATCH_QUEUE_H
