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
    return m_Next.fetch_add(1) % Groups.size();
  }

private:
  std::atomic<std::size_t> m_Next{0};
};

class LeastRequestStrategy : public SelectionStrategy {
public:
  explicit LeastRequestStrategy(const SelectionSettings &Settings)
      : m_Sharers(Settings.m_Sharers) {}
  std::size_t select(const std::vector<Candidate> &Groups, const RouteRequest &,
                     std::mt19937_64 &Random) override {
    // Starts at a random place, so that nodes that see equal loads do not all
    // choose the first group.
    const std::size_t Start = Random() % Groups.size();
    std::size_t Best = Start;
    double BestLoad = correctedLoad(Groups[Start], m_Sharers);
    for (std::size_t I = 1; I < Groups.size(); ++I) {
      const std::size_t Index = (Start + I) % Groups.size();
      const double Load = correctedLoad(Groups[Index], m_Sharers);
      if (Load >= BestLoad)
        continue;
      Best = Index;
      BestLoad = Load;
    }
    return Best;
  }

private:
  std::size_t m_Sharers;
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
  for (const auto &[Known, Make] : Strategies)
    if (Known == Name)
      return Make(Settings);
  return makeError(ErrorKind::InvalidArgument,
                   fmt::format("no selection strategy is called '{}'", Name),
                   "use affinity, round-robin or least-request");
}

} // namespace fulmarwinch
