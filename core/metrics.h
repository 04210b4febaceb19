#ifndef FULMARWINCH_CORE_METRICS_H
#define FULMARWINCH_CORE_METRICS_H

#include <cstdint>
#include <memory>
#include <string>

namespace fulmarwinch {

/// Counters, gauges and latency quantiles of one process. Safe for use by
/// several threads; each shard has its own lock. A name may carry labels in
/// Prometheus form, for example `refusals{kind="overloaded"}`.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void count(const std::string &Name, std::uint64_t Amount = 1);
  void setGauge(const std::string &Name, double Value);
  /// Adds one observation, in seconds, to the quantiles of \p Name.
  void observe(const std::string &Name, double Seconds);

  std::uint64_t counter(const std::string &Name) const;

  /// Returns all figures in the Prometheus text format, each name with the
  /// prefix "fulmarwinch_".
  std::string prometheusText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_METRICS_H
