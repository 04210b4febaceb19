#include "servers/routing/routing_table.h"

#include "xxhash.h"

#include <functional>
#include <utility>

namespace fulmarwinch {

namespace {
/// Weight of a new observation in the smoothed response times.
constexpr double TimesGain = 0.2;
} // namespace

RoutingTable::Entry *RoutingTable::Shard::find(const std::string &Group) {
  const auto Deployment = m_Groups.find(Group);
  if (Deployment == m_Groups.end())
    return nullptr;
  return &m_Deployments[Deployment->second][Group];
}

void RoutingTable::update(GroupView View) {
  Shard &Part = shardOf(View.m_Group);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  Entry *Known = Part.find(View.m_Group);
  if (Known != nullptr) {
    const GroupView &Old = *Known->m_Figures.m_View;
    if (View.m_Generation < Old.m_Generation)
      return;
    if (View.m_Generation != Old.m_Generation ||
        View.m_StartId != Old.m_StartId) {
      Known->m_Figures.m_Report = {};
      Known->m_Figures.m_Times.reset();
    }
    if (View.m_Deployment != Old.m_Deployment) {
      auto Node = Part.m_Deployments[Old.m_Deployment].extract(View.m_Group);
      Part.m_Deployments[View.m_Deployment].insert(std::move(Node));
      Part.m_Groups[View.m_Group] = View.m_Deployment;
      Known = Part.find(View.m_Group);
    }
  } else {
    Part.m_Groups[View.m_Group] = View.m_Deployment;
    Known = Part.find(View.m_Group);
    Known->m_Figures.m_GroupHash =
        XXH3_64bits(View.m_Group.data(), View.m_Group.size());
  }
  Known->m_Figures.m_View = std::make_shared<const GroupView>(std::move(View));
}

void RoutingTable::remove(const std::string &Group) {
  Shard &Part = shardOf(Group);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  const auto Found = Part.m_Groups.find(Group);
  if (Found == Part.m_Groups.end())
    return;
  const auto Deployment = Part.m_Deployments.find(Found->second);
  Deployment->second.erase(Group);
  if (Deployment->second.empty())
    Part.m_Deployments.erase(Deployment);
  Part.m_Groups.erase(Found);
}

void RoutingTable::onLoadReport(const std::string &Group,
                                const LoadReport &Report) {
  Shard &Part = shardOf(Group);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  Entry *Known = Part.find(Group);
  if (Known == nullptr || Report.m_At < Known->m_Figures.m_Report.m_At)
    return;
  Known->m_Figures.m_Report = Report;
  Known->m_Figures.m_OwnAtReport = Known->m_Figures.m_OwnInFlight;
  Known->m_Figures.m_OwnSinceReport = 0;
}

std::vector<Candidate>
RoutingTable::candidates(const std::string &Deployment) const {
  std::vector<Candidate> Result;
  for (const Shard &Part : m_Shards) {
    const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
    const auto Found = Part.m_Deployments.find(Deployment);
    if (Found == Part.m_Deployments.end())
      continue;
    for (const auto &[Group, Known] : Found->second)
      Result.push_back(Known.m_Figures);
  }
  return Result;
}

bool RoutingTable::tryDispatch(const std::string &Group, std::size_t Limit) {
  Shard &Part = shardOf(Group);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  Entry *Known = Part.find(Group);
  if (Known == nullptr || Known->m_Figures.m_OwnInFlight >= Limit)
    return false;
  ++Known->m_Figures.m_OwnInFlight;
  ++Known->m_Figures.m_OwnSinceReport;
  return true;
}

void RoutingTable::onEnded(const std::string &Group,
                           const std::optional<ObservedTimes> &Times) {
  Shard &Part = shardOf(Group);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  Entry *Known = Part.find(Group);
  if (Known == nullptr)
    return;
  Candidate &Figures = Known->m_Figures;
  Figures.m_OwnInFlight -= Figures.m_OwnInFlight > 0 ? 1 : 0;
  if (!Times)
    return;
  if (!Figures.m_Times) {
    Figures.m_Times = Times;
    return;
  }
  ObservedTimes &Smoothed = *Figures.m_Times;
  Smoothed.m_FirstTokenSeconds +=
      TimesGain * (Times->m_FirstTokenSeconds - Smoothed.m_FirstTokenSeconds);
  Smoothed.m_PerTokenSeconds +=
      TimesGain * (Times->m_PerTokenSeconds - Smoothed.m_PerTokenSeconds);
  Smoothed.m_At = Times->m_At;
}

std::size_t RoutingTable::size() const {
  std::size_t Count = 0;
  for (const Shard &Part : m_Shards) {
    const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
    Count += Part.m_Groups.size();
  }
  return Count;
}

RoutingTable::Shard &RoutingTable::shardOf(const std::string &Group) {
  return m_Shards[std::hash<std::string>{}(Group) % m_Shards.size()];
}

} // namespace fulmarwinch
