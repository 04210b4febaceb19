#include "servers/dispatch/first_event_latency.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

/// Upper bound of one latency relative to its objective. A few streams that
/// waited for a failed server must not make all groups appear overloaded.
constexpr double MaxRelativeLatency = 4.0;

double decay(Duration Elapsed) {
  return std::exp(
      -std::chrono::duration<double>(Elapsed).count() /
      std::chrono::duration<double>(FirstEventLatency::AveragingTime).count());
}

} // namespace

void FirstEventLatency::record(const std::string &Model, Duration Latency,
                               Duration Objective, MonotonicTime Now) {
  if (Objective <= Duration::zero())
    return;
  Average &Own = m_Own[Model];
  const double Factor = decay(Now - Own.m_UpdatedAt);
  Own.m_Latency.m_Sum =
      Own.m_Latency.m_Sum * Factor +
      std::min(MaxRelativeLatency,
               std::chrono::duration<double>(Latency).count() /
                   std::chrono::duration<double>(Objective).count());
  Own.m_Latency.m_Count = Own.m_Latency.m_Count * Factor + 1.0;
  Own.m_UpdatedAt = Now;
}

FirstEventLatency::Report
FirstEventLatency::ownReport(MonotonicTime Now) const {
  Report Result;
  for (const auto &[Model, Own] : m_Own) {
    const double Factor = decay(Now - Own.m_UpdatedAt);
    Result[Model] = {Own.m_Latency.m_Sum * Factor,
                     Own.m_Latency.m_Count * Factor};
  }
  return Result;
}

void FirstEventLatency::setPeerReport(const std::string &Peer, Report Latencies,
                                      MonotonicTime Now) {
  for (auto Entry = m_Peers.begin(); Entry != m_Peers.end();)
    Entry = Now - Entry->second.m_ReceivedAt > MaxReportAge
                ? m_Peers.erase(Entry)
                : std::next(Entry);
  m_Peers[Peer] = {std::move(Latencies), Now};
}

RelativeLatency FirstEventLatency::total(const std::string &Model,
                                         MonotonicTime Now) const {
  RelativeLatency Total;
  const auto Add = [&](const Report &Latencies) {
    const auto Entry = Latencies.find(Model);
    if (Entry == Latencies.end())
      return;
    Total.m_Sum += Entry->second[0];
    Total.m_Count += Entry->second[1];
  };
  Add(ownReport(Now));
  for (const auto &[Peer, Reported] : m_Peers)
    if (Now - Reported.m_ReceivedAt <= MaxReportAge)
      Add(Reported.m_Latencies);
  return Total;
}

} // namespace fulmarwinch
