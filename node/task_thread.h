#ifndef FULMARWINCH_NODE_TASK_THREAD_H
#define FULMARWINCH_NODE_TASK_THREAD_H

#include "core/time.h"

#include <functional>
#include <memory>

namespace fulmarwinch {

/// Thread that executes posted and periodic tasks one at a time. The control
/// plane of a node runs on one such thread, so its objects need no locks.
class TaskThread {
public:
  TaskThread();
  ~TaskThread();
  TaskThread(const TaskThread &) = delete;
  TaskThread &operator=(const TaskThread &) = delete;

  void start();
  /// Waits for the running task and ends the thread. Pending tasks are not run.
  void stop();
  /// Destroys the pending tasks and the objects that they own. Must be called
  /// after stop(), when no other thread calls post() any more.
  void discardTasks();

  /// Queues \p Task. Tasks run in the order in which they are posted.
  void post(std::function<void()> Task);
  /// Runs \p Task repeatedly until stop(), each time \p Period after the
  /// previous run has ended.
  void runPeriodically(Duration Period, std::function<void()> Task);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_TASK_THREAD_H
