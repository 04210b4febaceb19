#ifndef FULMARWINCH_SERVERS_RETRY_WINDOWED_RETRY_BUDGET_H
#define FULMARWINCH_SERVERS_RETRY_WINDOWED_RETRY_BUDGET_H

#include "core/time.h"

#include <cstdint>
#include <deque>

namespace fulmarwinch {

/// Share of one node in a limit on retries that applies to all nodes together.
struct WindowedRetryBudgetSettings {
  /// Retries allowed in each window, per request of this node.
  double m_RetriesPerRequest = 0.2;
  /// Retries allowed in each window in addition, independent of traffic.
  double m_FixedRetriesPerWindow = 10.0;
  Duration m_Window = std::chrono::seconds(10);
  /// Start of the process. The retries that an earlier process of this node
  /// used in the same window are unknown, so m_FixedRetriesPerWindow becomes
  /// available linearly, from 0 during the first window.
  MonotonicTime m_StartedAt{};
};

/// Limits the retries of one service in a sliding window. If every node stays
/// within its share, the sum stays within the limit of all nodes, however the
/// retries are distributed. Unlike a small token bucket, it lets one node use
/// the retries of a whole window at once when many of its streams break at the
/// same time. Not thread-safe: the caller serialises access.
class WindowedRetryBudget {
public:
  explicit WindowedRetryBudget(const WindowedRetryBudgetSettings &Settings)
      : m_Settings(Settings) {}

  /// Counts a client request, which adds m_RetriesPerRequest retries.
  void onRequest(MonotonicTime Now);
  /// Uses one retry. Returns false if none is available.
  bool tryAcquire(MonotonicTime Now);
  /// Returns the number of retries available at \p Now. It may be fractional or
  /// negative.
  double available(MonotonicTime Now);
  /// Changes m_FixedRetriesPerWindow, for example because the share of this
  /// node changes when nodes are added or removed.
  void setFixedRetriesPerWindow(double Slack) {
    m_Settings.m_FixedRetriesPerWindow = Slack;
  }

private:
  /// Counts in one of the equal time intervals of the window.
  struct Slice {
    MonotonicTime m_Begin{};
    std::uint64_t m_Requests = 0;
    std::uint64_t m_Retries = 0;
  };

  /// Removes the slices outside the window, and returns the slice that contains
  /// \p Now.
  Slice &currentSlice(MonotonicTime Now);

  WindowedRetryBudgetSettings m_Settings;
  std::deque<Slice> m_Slices;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_WINDOWED_RETRY_BUDGET_H
