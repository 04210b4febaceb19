#ifndef FULMARWINCH_PROXY_REQUEST_METRICS_H
#define FULMARWINCH_PROXY_REQUEST_METRICS_H

#include "core/metrics.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Outcome and latencies of one finished request, for the metrics.
struct RequestSummary {
  /// Request kind of the route, or "none" if no route matched.
  std::string_view m_Kind;
  std::string_view m_Outcome;
  /// HTTP status sent to the client; 0 if the response was not completed.
  int m_Status = 0;
  Duration m_TotalTime{0};
  /// Time from the receipt of the request to the first stream event; unset if
  /// no event was sent.
  std::optional<Duration> m_TimeToFirstEvent;
  /// Longest time between two stream events.
  Duration m_LongestEventGap{0};
};

/// Records a finished request in \p Registry.
void recordRequest(Metrics &Registry, const RequestSummary &Summary);

/// Adds \p Value to the histogram \p Name with the label `kind` set to
/// \p Kind. Buckets are cumulative, as in Prometheus, with bounds in seconds;
/// the sum is in microseconds.
void observeHistogram(Metrics &Registry, const std::string &Name,
                      std::string_view Kind, Duration Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_REQUEST_METRICS_H
