#include "core/metrics.h"

#include "boost/accumulators/accumulators.hpp"
#include "boost/accumulators/statistics/count.hpp"
#include "boost/accumulators/statistics/extended_p_square.hpp"
#include "boost/accumulators/statistics/stats.hpp"
#include "boost/accumulators/statistics/sum.hpp"
#include "fmt/format.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>

namespace fulmarwinch {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 4> Quantiles{0.5, 0.9, 0.95, 0.99};

using Summary = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

/// Metric name split into base and labels, so that a suffix or another label
/// can be added.
struct MetricName {
  std::string m_Base;
  std::string m_Labels;
};

MetricName splitName(const std::string &Name) {
  const std::size_t Brace = Name.find('{');
  if (Brace == std::string::npos)
    return {Name, ""};
  return {Name.substr(0, Brace),
          Name.substr(Brace + 1, Name.size() - Brace - 2)};
}

std::string summaryText(const std::string &Name, const Summary &Values) {
  const MetricName Parts = splitName(Name);
  const std::string Separator = Parts.m_Labels.empty() ? "" : ",";
  std::string Text;
  for (int Index = 0; Index < static_cast<int>(Quantiles.size()); ++Index)
    Text += fmt::format("fulmarwinch_{}{{{}{}quantile=\"{}\"}} {}\n",
                        Parts.m_Base, Parts.m_Labels, Separator,
                        Quantiles[static_cast<std::size_t>(Index)],
                        accumulators::extended_p_square(Values)[Index]);
  const std::string Labels =
      Parts.m_Labels.empty() ? "" : fmt::format("{{{}}}", Parts.m_Labels);
  Text += fmt::format("fulmarwinch_{}_count{} {}\n", Parts.m_Base, Labels,
                      accumulators::count(Values));
  Text += fmt::format("fulmarwinch_{}_sum{} {}\n", Parts.m_Base, Labels,
                      accumulators::sum(Values));
  return Text;
}

} // namespace

struct Metrics::Impl {
  struct Shard {
    mutable std::mutex m_Mutex;
    std::map<std::string, std::uint64_t> m_Counters;
    std::map<std::string, double> m_Gauges;
    std::map<std::string, Summary> m_Summaries;
  };

  Shard &shardOf(const std::string &Name) {
    return m_Shards[std::hash<std::string>()(Name) % m_Shards.size()];
  }

  std::array<Shard, 16> m_Shards;
};

Metrics::Metrics() : m_Impl(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::increment(const std::string &Name, std::uint64_t Amount) {
  Impl::Shard &Shard = m_Impl->shardOf(Name);
  const std::lock_guard<std::mutex> Guard(Shard.m_Mutex);
  Shard.m_Counters[Name] += Amount;
}

void Metrics::setGauge(const std::string &Name, double Value) {
  Impl::Shard &Shard = m_Impl->shardOf(Name);
  const std::lock_guard<std::mutex> Guard(Shard.m_Mutex);
  Shard.m_Gauges[Name] = Value;
}

void Metrics::observe(const std::string &Name, double Seconds) {
  Impl::Shard &Shard = m_Impl->shardOf(Name);
  const std::lock_guard<std::mutex> Guard(Shard.m_Mutex);
  auto Entry = Shard.m_Summaries.find(Name);
  if (Entry == Shard.m_Summaries.end())
    Entry = Shard.m_Summaries
                .emplace(Name,
                         Summary(accumulators::extended_p_square_probabilities =
                                     Quantiles))
                .first;
  Entry->second(Seconds);
}

std::uint64_t Metrics::counter(const std::string &Name) const {
  const Impl::Shard &Shard = m_Impl->shardOf(Name);
  const std::lock_guard<std::mutex> Guard(Shard.m_Mutex);
  const auto Entry = Shard.m_Counters.find(Name);
  return Entry == Shard.m_Counters.end() ? 0 : Entry->second;
}

std::string Metrics::prometheusText() const {
  std::map<std::string, std::string> Lines;
  for (const Impl::Shard &Shard : m_Impl->m_Shards) {
    const std::lock_guard<std::mutex> Guard(Shard.m_Mutex);
    for (const auto &[Name, Value] : Shard.m_Counters)
      Lines[Name] = fmt::format("fulmarwinch_{} {}\n", Name, Value);
    for (const auto &[Name, Value] : Shard.m_Gauges)
      Lines[Name] = fmt::format("fulmarwinch_{} {}\n", Name, Value);
    for (const auto &[Name, Values] : Shard.m_Summaries)
      Lines[Name] = summaryText(Name, Values);
  }
  std::string Text;
  for (const auto &[Name, Line] : Lines)
    Text += Line;
  return Text;
}

} // namespace fulmarwinch
