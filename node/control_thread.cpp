#include "node/control_thread.h"

#include "asio.hpp"

#include <thread>

namespace fulmarwinch {

namespace {

/// Calls a task again and again. The timer is set for a fixed time after the
/// previous call ended, so that a slow task cannot pile up calls.
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

struct ControlThread::Impl {
  std::unique_ptr<asio::io_context> m_Context =
      std::make_unique<asio::io_context>(1);
  asio::executor_work_guard<asio::io_context::executor_type> m_Work{
      m_Context->get_executor()};
  std::thread m_Thread;
};

ControlThread::ControlThread() : m_Impl(std::make_unique<Impl>()) {}

ControlThread::~ControlThread() { stop(); }

void ControlThread::start() {
  m_Impl->m_Thread = std::thread([this] { m_Impl->m_Context->run(); });
}

void ControlThread::stop() {
  if (m_Impl->m_Context)
    m_Impl->m_Context->stop();
  if (m_Impl->m_Thread.joinable())
    m_Impl->m_Thread.join();
}

void ControlThread::discardTasks() {
  m_Impl->m_Work.reset();
  m_Impl->m_Context.reset();
}

void ControlThread::post(std::function<void()> Task) {
  if (m_Impl->m_Context)
    asio::post(*m_Impl->m_Context, std::move(Task));
}

void ControlThread::every(Duration Period, std::function<void()> Task) {
  const auto Periodic = std::make_shared<PeriodicTask>(*m_Impl->m_Context,
                                                       Period, std::move(Task));
  post([Periodic] { Periodic->schedule(); });
}

} // namespace fulmarwinch
