#include "node/task_thread.h"

#include "asio.hpp"

#include <thread>

namespace fulmarwinch {

namespace {

/// Runs a task repeatedly. The timer is set when the previous run has ended, so
/// that the runs of a slow task do not accumulate.
class PeriodicTask : public std::enable_shared_from_this<PeriodicTask> {
public:
  PeriodicTask(asio::io_context &Context, Duration Period,
               std::function<void()> Task)
      : m_Timer(Context), m_Period(Period), m_Task(std::move(Task)) {}

  void schedule() {
    m_Timer.expires_after(m_Period);
    m_Timer.async_wait([Self = shared_from_this()](asio::error_code Error) {
      if (Error)
        return;
      Self->m_Task();
      Self->schedule();
    });
  }

private:
  asio::steady_timer m_Timer;
  Duration m_Period;
  std::function<void()> m_Task;
};

} // namespace

struct TaskThread::Impl {
  std::unique_ptr<asio::io_context> m_Context =
      std::make_unique<asio::io_context>(1);
  asio::executor_work_guard<asio::io_context::executor_type> m_WorkGuard{
      m_Context->get_executor()};
  std::thread m_Thread;
};

TaskThread::TaskThread() : m_Impl(std::make_unique<Impl>()) {}

TaskThread::~TaskThread() { stop(); }

void TaskThread::start() {
  m_Impl->m_Thread = std::thread([this] { m_Impl->m_Context->run(); });
}

void TaskThread::stop() {
  if (m_Impl->m_Context)
    m_Impl->m_Context->stop();
  if (m_Impl->m_Thread.joinable())
    m_Impl->m_Thread.join();
}

void TaskThread::discardTasks() {
  m_Impl->m_WorkGuard.reset();
  m_Impl->m_Context.reset();
}

void TaskThread::post(std::function<void()> Task) {
  if (m_Impl->m_Context)
    asio::post(*m_Impl->m_Context, std::move(Task));
}

void TaskThread::runPeriodically(Duration Period, std::function<void()> Task) {
  const auto Periodic = std::make_shared<PeriodicTask>(*m_Impl->m_Context,
                                                       Period, std::move(Task));
  post([Periodic] { Periodic->schedule(); });
}

} // namespace fulmarwinch
