#include "servers/routing/selection_strategy.h"

#include "servers/routing/affinity_strategy.h"

#include "core/error.h"

#include "fmt/format.h"

#include <array>
#include <atomic>

namespace fulmarwinch {

namespace {

class RoundRobinStrategy : public SelectionStrategy {
public:
  explicit RoundRobinStrategy(const SelectionSettings &) {}
  std::size_t select(const std::vector<Candidate> &Groups, const RouteRequest &,
                     std::mt19937_64 &) override {
    return m_NextIndex.fetch_add(1) % Groups.size();
  }

private:
  std::atomic<std::size_t> m_NextIndex{0};
};

class LeastRequestStrategy : public SelectionStrategy {
public:
  explicit LeastRequestStrategy(const SelectionSettings &Settings)
      : m_NodeCount(Settings.m_NodesPerGroup) {}
  std::size_t select(const std::vector<Candidate> &Groups, const RouteRequest &,
                     std::mt19937_64 &Random) override {
    // The scan starts at a random group, so that nodes that see equal loads do
    // not all choose the first one.
    const std::size_t FirstIndex = Random() % Groups.size();
    std::size_t BestIndex = FirstIndex;
    double BestLoad = extrapolatedLoad(Groups[FirstIndex], m_NodeCount);
    for (std::size_t I = 1; I < Groups.size(); ++I) {
      const std::size_t Index = (FirstIndex + I) % Groups.size();
      const double Load = extrapolatedLoad(Groups[Index], m_NodeCount);
      if (Load >= BestLoad)
        continue;
      BestIndex = Index;
      BestLoad = Load;
    }
    return BestIndex;
  }

private:
  std::size_t m_NodeCount;
};

using Factory =
    std::unique_ptr<SelectionStrategy> (*)(const SelectionSettings &);

template <typename Strategy>
std::unique_ptr<SelectionStrategy> make(const SelectionSettings &Settings) {
  return std::make_unique<Strategy>(Settings);
}

constexpr std::array<std::pair<std::string_view, Factory>, 3> Strategies{{
    {"affinity", make<AffinityStrategy>},
    {"round-robin", make<RoundRobinStrategy>},
    {"least-request", make<LeastRequestStrategy>},
}};

} // namespace

std::vector<std::string_view> strategyNames() {
  std::vector<std::string_view> Names;
  for (const auto &[Name, Make] : Strategies)
    Names.push_back(Name);
  return Names;
}

absl::StatusOr<std::unique_ptr<SelectionStrategy>>
makeStrategy(std::string_view Name, const SelectionSettings &Settings) {
  for (const auto &[KnownName, Make] : Strategies)
    if (KnownName == Name)
      return Make(Settings);
  return makeError(ErrorKind::InvalidArgument,
                   fmt::format("unknown selection strategy '{}'", Name),
                   "use affinity, round-robin or least-request");
}

} // namespace fulmarwinch
