#include "proxy/request_metrics.h"
#include "core/text.h"

#include <array>

namespace fulmarwinch {

namespace {

/// Upper bounds of the histogram buckets in seconds, closely spaced around the
/// latency objectives of 0.15 to 0.4 s.
constexpr std::array<double, 12> BucketBounds{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.7, 1.5, 3.0, 8.0};

} // namespace

void observeHistogram(Metrics &Registry, const std::string &Name,
                      std::string_view Kind, Duration Value) {
  const double Seconds = std::chrono::duration<double>(Value).count();
  const std::string KindLabel = concat("{kind=\"", Kind, "\"");
  for (const double UpperBound : BucketBounds)
    if (Seconds <= UpperBound)
      Registry.increment(
          concat(Name, "_bucket", KindLabel, ",le=\"", UpperBound, "\"}"));
  Registry.increment(concat(Name, "_bucket", KindLabel, ",le=\"+Inf\"}"));
  Registry.increment(concat(Name, "_count", KindLabel, "}"));
  Registry.increment(
      concat(Name, "_sum_microseconds", KindLabel, "}"),
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, Value.count())));
}

void recordRequest(Metrics &Registry, const RequestSummary &Summary) {
  Registry.increment(concat("requests_total{kind=\"", Summary.m_Kind,
                            "\",outcome=\"", Summary.m_Outcome, "\",status=\"",
                            Summary.m_Status, "\"}"));
  observeHistogram(Registry, "request_seconds", Summary.m_Kind,
                   Summary.m_TotalTime);
  if (!Summary.m_TimeToFirstEvent)
    return;
  observeHistogram(Registry, "first_event_seconds", Summary.m_Kind,
                   *Summary.m_TimeToFirstEvent);
  observeHistogram(Registry, "longest_pause_seconds", Summary.m_Kind,
                   Summary.m_LongestEventGap);
}

} // namespace fulmarwinch
