#include "drivers/standin/task_timer.h"

#include "asio.hpp"

#include <thread>

namespace fulmarwinch {

struct TaskTimer::Impl {
  asio::io_context m_Context;
  asio::executor_work_guard<asio::io_context::executor_type> m_WorkGuard =
      asio::make_work_guard(m_Context);
  std::thread m_Thread;
};

TaskTimer::TaskTimer() : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Thread = std::thread([this] { m_Impl->m_Context.run(); });
}

TaskTimer::~TaskTimer() { stop(); }

void TaskTimer::runAfter(Duration Delay, std::function<void()> Task) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Impl->m_Context, Delay);
  Timer->async_wait(
      [Timer, Task = std::move(Task)](const asio::error_code &Error) {
        if (!Error)
          Task();
      });
}

void TaskTimer::stop() {
  if (!m_Impl)
    return;
  m_Impl->m_Context.stop();
  m_Impl->m_Thread.join();
  m_Impl.reset();
}

} // namespace fulmarwinch
