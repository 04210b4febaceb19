#include "servers/retry/windowed_retry_budget.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Resolution of the window.
constexpr int SlicesPerWindow = 40;

} // namespace

void WindowedRetryBudget::onRequest(MonotonicTime Now) {
  ++current(Now).m_Requests;
}

bool WindowedRetryBudget::tryRetry(MonotonicTime Now) {
  if (available(Now) < 1.0)
    return false;
  ++current(Now).m_Retries;
  return true;
}

double WindowedRetryBudget::available(MonotonicTime Now) {
  current(Now);
  const std::chrono::duration<double> Age = Now - m_Settings.m_StartedAt;
  const std::chrono::duration<double> Window = m_Settings.m_Window;
  double Left = m_Settings.m_Slack * std::clamp(Age / Window, 0.0, 1.0);
  for (const Slice &Each : m_Slices) {
    // At the far end of the window retries count a little too long, and
    // requests not long enough.
    Left -= static_cast<double>(Each.m_Retries);
    if (Each.m_Begin + m_Settings.m_Window > Now)
      Left +=
          m_Settings.m_ShareOfRequests * static_cast<double>(Each.m_Requests);
  }
  return Left;
}

WindowedRetryBudget::Slice &WindowedRetryBudget::current(MonotonicTime Now) {
  const Duration Length = m_Settings.m_Window / SlicesPerWindow;
  while (!m_Slices.empty() &&
         m_Slices.front().m_Begin + Length + m_Settings.m_Window <= Now)
    m_Slices.pop_front();
  if (m_Slices.empty() || m_Slices.back().m_Begin + Length <= Now)
    m_Slices.push_back({Now, 0, 0});
  return m_Slices.back();
}

} // namespace fulmarwinch
