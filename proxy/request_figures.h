#ifndef FULMARWINCH_PROXY_REQUEST_FIGURES_H
#define FULMARWINCH_PROXY_REQUEST_FIGURES_H

#include "core/metrics.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// How a request ended, for the counters and histograms.
struct RequestEnd {
  std::string_view m_Kind;
  std::string_view m_Outcome;
  int m_Status = 0;
  Duration m_Total{0};
  std::optional<Duration> m_FirstEvent;
  Duration m_LongestPause{0};
};

/// Adds an ended request to \p Figures.
void countRequest(Metrics &Figures, const RequestEnd &End);

/// Adds one value to the histogram \p Name with the label \p Kind, in
/// cumulative buckets as Prometheus expects them.
void observeHistogram(Metrics &Figures, const std::string &Name,
                      std::string_view Kind, Duration Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_REQUEST_FIGURES_H
