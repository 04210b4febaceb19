#ifndef FULMARWINCH_SERVERS_RETRY_WINDOWED_RETRY_BUDGET_H
#define FULMARWINCH_SERVERS_RETRY_WINDOWED_RETRY_BUDGET_H

#include "core/time.h"

#include <cstdint>
#include <deque>

namespace fulmarwinch {

/// One node's part of a bound on retries that all nodes share.
struct WindowedRetryBudgetSettings {
  /// Retries per request of this node, and besides, in each window.
  double m_ShareOfRequests = 0.2;
  double m_Slack = 10.0;
  Duration m_Window = std::chrono::seconds(10);
  /// Start of the process. What an earlier process of this node used in the
  /// same window is not known, so the slack grows from here over one window.
  MonotonicTime m_StartedAt{};
};

/// Bounds the retries of one service in a sliding window. If every node keeps
/// to its part, the sum keeps to the whole, whoever has the retries; unlike a
/// small token bucket it lets one node use a window's worth at once when many
/// of its streams break together. The caller serialises access.
class WindowedRetryBudget {
public:
  explicit WindowedRetryBudget(const WindowedRetryBudgetSettings &Settings)
      : m_Settings(Settings) {}

  /// Counts a request of a client.
  void onRequest(MonotonicTime Now);
  /// Takes one retry. Returns false if none is left.
  bool tryRetry(MonotonicTime Now);
  /// Retries that are left now.
  double available(MonotonicTime Now);
  /// Changes the slack, as nodes come and go.
  void setSlack(double Slack) { m_Settings.m_Slack = Slack; }

private:
  struct Slice {
    MonotonicTime m_Begin{};
    std::uint64_t m_Requests = 0;
    std::uint64_t m_Retries = 0;
  };

  Slice &current(MonotonicTime Now);

  WindowedRetryBudgetSettings m_Settings;
  std::deque<Slice> m_Slices;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_WINDOWED_RETRY_BUDGET_H
