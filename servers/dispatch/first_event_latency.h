#ifndef FULMARWINCH_SERVERS_DISPATCH_FIRST_EVENT_LATENCY_H
#define FULMARWINCH_SERVERS_DISPATCH_FIRST_EVENT_LATENCY_H

#include "core/time.h"

#include <array>
#include <map>
#include <string>

namespace fulmarwinch {

/// Sum and count of the latencies of first events, each divided by the latency
/// objective of its request. Recent events weigh more than earlier ones, so
/// both numbers are fractional.
struct RelativeLatency {
  double m_Sum = 0.0;
  double m_Count = 0.0;
};

/// Average latency of the first events of each model, on this node and its
/// peers. It shows whether the groups of a model have long queues.
class FirstEventLatency {
public:
  /// Time constant of the exponential average: long enough for some events of
  /// each model, short enough to follow a burst.
  static constexpr Duration AveragingTime = std::chrono::seconds(2);
  /// Time after which the report of a peer is no longer used.
  static constexpr Duration MaxReportAge = std::chrono::seconds(3);

  /// Messages carry the sum and the count, in this order.
  using Report = std::map<std::string, std::array<double, 2>>;

  /// Records a first event of \p Model that came \p Latency after its request,
  /// whose objective was \p Objective.
  void record(const std::string &Model, Duration Latency, Duration Objective,
              MonotonicTime Now);
  /// Returns the averages of this node, for its peers.
  Report ownReport(MonotonicTime Now) const;
  void setPeerReport(const std::string &Peer, Report Latencies,
                     MonotonicTime Now);
  /// Returns the latencies of \p Model on all nodes.
  RelativeLatency total(const std::string &Model, MonotonicTime Now) const;

private:
  struct Average {
    RelativeLatency m_Latency;
    MonotonicTime m_UpdatedAt{};
  };
  struct PeerReport {
    Report m_Latencies;
    MonotonicTime m_ReceivedAt{};
  };

  std::map<std::string, Average> m_Own;
  std::map<std::string, PeerReport> m_Peers;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_FIRST_EVENT_LATENCY_H
