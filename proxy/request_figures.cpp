#include "proxy/request_figures.h"
#include "core/text.h"

#include <array>

namespace fulmarwinch {

namespace {

/// Upper bounds in seconds. They are dense around the latency objectives of
/// 0.15 to 0.4 s.
constexpr std::array<double, 12> BucketBounds{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.7, 1.5, 3.0, 8.0};

} // namespace

void observeHistogram(Metrics &Figures, const std::string &Name,
                      std::string_view Kind, Duration Value) {
  const double Seconds = std::chrono::duration<double>(Value).count();
  const std::string Label = concat("{kind=\"", Kind, "\"");
  for (const double Bound : BucketBounds)
    if (Seconds <= Bound)
      Figures.count(concat(Name, "_bucket", Label, ",le=\"", Bound, "\"}"));
  Figures.count(concat(Name, "_bucket", Label, ",le=\"+Inf\"}"));
  Figures.count(concat(Name, "_count", Label, "}"));
  Figures.count(
      concat(Name, "_sum_microseconds", Label, "}"),
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, Value.count())));
}

void countRequest(Metrics &Figures, const RequestEnd &End) {
  Figures.count(concat("requests_total{kind=\"", End.m_Kind, "\",outcome=\"",
                       End.m_Outcome, "\",status=\"", End.m_Status, "\"}"));
  observeHistogram(Figures, "request_seconds", End.m_Kind, End.m_Total);
  if (!End.m_FirstEvent)
    return;
  observeHistogram(Figures, "first_event_seconds", End.m_Kind,
                   *End.m_FirstEvent);
  observeHistogram(Figures, "longest_pause_seconds", End.m_Kind,
                   End.m_LongestPause);
}

} // namespace fulmarwinch
