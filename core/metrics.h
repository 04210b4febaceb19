#ifndef FULMARWINCH_CORE_METRICS_H
#define FULMARWINCH_CORE_METRICS_H

#include <cstdint>
#include <memory>
#include <string>

namespace fulmarwinch {

/// Counters, gauges and latency quantiles of one process. Thread-safe: the
/// metrics are split by name into shards with a lock each. A name may contain
/// labels in Prometheus form, for example `refusals{kind="overloaded"}`.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds \p Amount to the counter \p Name.
  void increment(const std::string &Name, std::uint64_t Amount = 1);
  void setGauge(const std::string &Name, double Value);
  /// Adds one observation in seconds to the quantiles of \p Name.
  void observe(const std::string &Name, double Seconds);

  /// Returns the value of the counter \p Name, or 0 if it was never
  /// incremented.
  std::uint64_t counter(const std::string &Name) const;

  /// Returns all metrics in the Prometheus text format. Each name has the
  /// prefix "fulmarwinch_".
  std::string prometheusText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_METRICS_H
