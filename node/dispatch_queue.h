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
enum class DispatchResult {
  /// The request was dispatched or answered and leaves the queue.
  Handled,
  /// No group of the deployment has capacity for this or any other request.
  AllGroupsFull,
  /// No group can serve this request now, but other requests may be dispatched:
  /// the available groups lack a required capability, or the request has
  /// already failed on them.
  NoSuitableGroup,
};

/// A request that waits in the queue until a group has capacity for it.
class PendingDispatch {
public:
  virtual ~PendingDispatch() = default;

  /// Tries to dispatch the request to a group.
  virtual DispatchResult tryDispatch(MonotonicTime Now) = 0;

  /// Answers the request, which is not in flight, with the error \p Reason.
  virtual void refuse(const absl::Status &Reason, Duration RetryAfter) = 0;

  /// Time at which the request is refused if it still waits.
  virtual MonotonicTime queueDeadline() const = 0;
};

using PendingDispatchPtr = std::shared_ptr<PendingDispatch>;

/// Queue of waiting requests per deployment, in the order of the fair queue.
/// Requests that were dispatched before precede all others, because the client
/// of an interrupted stream that is refused loses the part of the response that
/// it has received. A request that no group can serve is set aside, so that it
/// does not block the others. The methods of PendingDispatch are called under
/// the lock of the deployment, so they must not call this queue.
class DispatchQueue {
public:
  /// Maximum number of requests set aside per deployment. Further ones are
  /// refused, because each request set aside is tried again on every tick.
  static constexpr std::size_t MaxSetAside = 64;

  explicit DispatchQueue(const FairQueueSettings &Settings);

  /// Sets the fair-queue weight of \p Organisation for all deployments.
  void setWeight(const std::string &Organisation, double Weight);

  /// Adds \p Pending and dispatches as many waiting requests as possible.
  /// Assigns the ID in \p Request.
  void submit(const std::string &Deployment, QueuedRequest Request,
              const PendingDispatchPtr &Pending, MonotonicTime Now);

  /// Returns a request that was dispatched before to the queue, ahead of all
  /// others.
  void requeueAtFront(const std::string &Deployment,
                      const PendingDispatchPtr &Pending, MonotonicTime Now);

  /// Dispatches waiting requests of \p Deployment.
  void dispatchWaiting(const std::string &Deployment, MonotonicTime Now);
  /// Dispatches waiting requests of all deployments and refuses those past
  /// their queue deadline.
  void tick(MonotonicTime Now);

  /// Number of waiting requests of all deployments.
  std::size_t size() const;
  /// Removes all requests without answering them.
  void clear();

private:
  struct DeploymentQueue {
    explicit DeploymentQueue(const FairQueueSettings &Settings)
        : m_FairQueue(Settings) {}

    std::mutex m_Mutex;
    FairQueue m_FairQueue;
    std::map<std::uint64_t, PendingDispatchPtr> m_WaitingById;
    /// Requests that were dispatched before and wait again. They are dispatched
    /// before m_Head.
    std::list<PendingDispatchPtr> m_Requeued;
    /// Request that left the fair queue and is dispatched as soon as a group
    /// has capacity.
    PendingDispatchPtr m_Head;
    /// Requests that no group could serve when they were tried last.
    std::list<PendingDispatchPtr> m_SetAside;
  };

  DeploymentQueue &deploymentQueue(const std::string &Deployment);
  static void dispatchWaitingLocked(DeploymentQueue &WaitingQueue,
                                    MonotonicTime Now);
  /// Tries to dispatch each request of m_Requeued. Returns false if one of them
  /// found all groups full.
  static bool dispatchRequeued(DeploymentQueue &WaitingQueue,
                               MonotonicTime Now);
  static void retrySetAside(DeploymentQueue &WaitingQueue, MonotonicTime Now);
  static void setHeadAside(DeploymentQueue &WaitingQueue);
  static void refuseExpiredLocked(DeploymentQueue &WaitingQueue,
                                  MonotonicTime Now);

  FairQueueSettings m_Settings;
  std::atomic<std::uint64_t> m_NextId{1};
  mutable std::mutex m_Mutex;
  std::map<std::string, std::unique_ptr<DeploymentQueue>> m_Queues;
  std::map<std::string, double> m_Weights;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_DISPATCH_QUEUE_H
