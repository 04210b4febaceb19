#ifndef FULMARWINCH_NODE_CONTROL_THREAD_H
#define FULMARWINCH_NODE_CONTROL_THREAD_H

#include "core/time.h"

#include <functional>
#include <memory>

namespace fulmarwinch {

/// The one thread on which a node's control decisions run. Decision objects of
/// the control plane need no locks because only this thread calls them.
class ControlThread {
public:
  ControlThread();
  ~ControlThread();
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  void start();
  /// Ends the thread. Tasks that have not run never run.
  void stop();
  /// Destroys the tasks that have not run, and with them what they hold. To be
  /// called after stop(), when no other thread calls post() any more.
  void discardTasks();

  /// Runs \p Task on the thread, after all tasks posted before.
  void post(std::function<void()> Task);
  /// Runs \p Task on the thread once per \p Period until stop().
  void every(Duration Period, std::function<void()> Task);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_CONTROL_THREAD_H
