#include "servers/retry/windowed_retry_budget.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Number of equal intervals in the window, in which requests and retries are
/// counted.
constexpr int SlicesPerWindow = 40;

} // namespace

void WindowedRetryBudget::onRequest(MonotonicTime Now) {
  ++currentSlice(Now).m_Requests;
}

bool WindowedRetryBudget::tryAcquire(MonotonicTime Now) {
  if (available(Now) < 1.0)
    return false;
  ++currentSlice(Now).m_Retries;
  return true;
}

double WindowedRetryBudget::available(MonotonicTime Now) {
  currentSlice(Now);
  const std::chrono::duration<double> Uptime = Now - m_Settings.m_StartedAt;
  const std::chrono::duration<double> Window = m_Settings.m_Window;
  double Available = m_Settings.m_FixedRetriesPerWindow *
                     std::clamp(Uptime / Window, 0.0, 1.0);
  for (const Slice &Counts : m_Slices) {
    // The oldest slice is only partly inside the window. All of its retries
    // still count and none of its requests, so the limit is never exceeded.
    Available -= static_cast<double>(Counts.m_Retries);
    if (Counts.m_Begin + m_Settings.m_Window > Now)
      Available += m_Settings.m_RetriesPerRequest *
                   static_cast<double>(Counts.m_Requests);
  }
  return Available;
}

WindowedRetryBudget::Slice &
WindowedRetryBudget::currentSlice(MonotonicTime Now) {
  const Duration SliceLength = m_Settings.m_Window / SlicesPerWindow;
  while (!m_Slices.empty() &&
         m_Slices.front().m_Begin + SliceLength + m_Settings.m_Window <= Now)
    m_Slices.pop_front();
  if (m_Slices.empty() || m_Slices.back().m_Begin + SliceLength <= Now)
    m_Slices.push_back({Now, 0, 0});
  return m_Slices.back();
}

} // namespace fulmarwinch
