#ifndef FULMARWINCH_DRIVERS_STANDIN_TASK_TIMER_H
#define FULMARWINCH_DRIVERS_STANDIN_TASK_TIMER_H

#include "core/time.h"

#include <functional>
#include <memory>

namespace fulmarwinch {

/// Runs tasks after a delay, one at a time, on a thread of its own, so that a
/// delayed response or a pending watch does not block a thread.
class TaskTimer {
public:
  TaskTimer();
  ~TaskTimer();
  TaskTimer(const TaskTimer &) = delete;
  TaskTimer &operator=(const TaskTimer &) = delete;

  /// Runs \p Task on the timer's thread once \p Delay has passed.
  void runAfter(Duration Delay, std::function<void()> Task);

  /// Joins the thread and destroys the tasks that have not started. The timer
  /// must not be used afterwards.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_TASK_TIMER_H
