#include "servers/routing/routing_table.h"

#include "xxhash.h"

#include <functional>
#include <utility>

namespace fulmarwinch {

namespace {
/// Weight of a new observation in the exponentially smoothed response times.
constexpr double SmoothingFactor = 0.2;
} // namespace

RoutingTable::Entry *RoutingTable::Shard::find(const std::string &Group) {
  const auto Deployment = m_DeploymentByGroup.find(Group);
  if (Deployment == m_DeploymentByGroup.end())
    return nullptr;
  return &m_GroupsByDeployment[Deployment->second][Group];
}

void RoutingTable::updateView(GroupView View) {
  Shard &OwningShard = shardFor(View.m_Group);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  Entry *KnownGroup = OwningShard.find(View.m_Group);
  if (KnownGroup != nullptr) {
    const GroupView &OldView = *KnownGroup->m_Candidate.m_View;
    if (View.m_Generation < OldView.m_Generation)
      return;
    if (View.m_Generation != OldView.m_Generation ||
        View.m_StartId != OldView.m_StartId) {
      KnownGroup->m_Candidate.m_LoadReport = {};
      KnownGroup->m_Candidate.m_ObservedTimes.reset();
    }
    if (View.m_Deployment != OldView.m_Deployment) {
      auto MapNode =
          OwningShard.m_GroupsByDeployment[OldView.m_Deployment].extract(
              View.m_Group);
      OwningShard.m_GroupsByDeployment[View.m_Deployment].insert(
          std::move(MapNode));
      OwningShard.m_DeploymentByGroup[View.m_Group] = View.m_Deployment;
      KnownGroup = OwningShard.find(View.m_Group);
    }
  } else {
    OwningShard.m_DeploymentByGroup[View.m_Group] = View.m_Deployment;
    KnownGroup = OwningShard.find(View.m_Group);
    KnownGroup->m_Candidate.m_GroupHash =
        XXH3_64bits(View.m_Group.data(), View.m_Group.size());
  }
  KnownGroup->m_Candidate.m_View =
      std::make_shared<const GroupView>(std::move(View));
}

void RoutingTable::removeGroup(const std::string &Group) {
  Shard &OwningShard = shardFor(Group);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  const auto Found = OwningShard.m_DeploymentByGroup.find(Group);
  if (Found == OwningShard.m_DeploymentByGroup.end())
    return;
  const auto Deployment = OwningShard.m_GroupsByDeployment.find(Found->second);
  Deployment->second.erase(Group);
  if (Deployment->second.empty())
    OwningShard.m_GroupsByDeployment.erase(Deployment);
  OwningShard.m_DeploymentByGroup.erase(Found);
}

void RoutingTable::onLoadReport(const std::string &Group,
                                const LoadReport &Report) {
  Shard &OwningShard = shardFor(Group);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  Entry *KnownGroup = OwningShard.find(Group);
  if (KnownGroup == nullptr ||
      Report.m_ReportedAt < KnownGroup->m_Candidate.m_LoadReport.m_ReportedAt)
    return;
  KnownGroup->m_Candidate.m_LoadReport = Report;
  KnownGroup->m_Candidate.m_LocalInFlightAtReport =
      KnownGroup->m_Candidate.m_LocalInFlight;
  KnownGroup->m_Candidate.m_LocalDispatchesSinceReport = 0;
}

std::vector<Candidate>
RoutingTable::candidates(const std::string &Deployment) const {
  std::vector<Candidate> Result;
  for (const Shard &OwningShard : m_Shards) {
    const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
    const auto Found = OwningShard.m_GroupsByDeployment.find(Deployment);
    if (Found == OwningShard.m_GroupsByDeployment.end())
      continue;
    for (const auto &[Group, KnownGroup] : Found->second)
      Result.push_back(KnownGroup.m_Candidate);
  }
  return Result;
}

bool RoutingTable::tryDispatch(const std::string &Group, std::size_t Limit) {
  Shard &OwningShard = shardFor(Group);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  Entry *KnownGroup = OwningShard.find(Group);
  if (KnownGroup == nullptr || KnownGroup->m_Candidate.m_LocalInFlight >= Limit)
    return false;
  ++KnownGroup->m_Candidate.m_LocalInFlight;
  ++KnownGroup->m_Candidate.m_LocalDispatchesSinceReport;
  return true;
}

void RoutingTable::onAttemptEnded(const std::string &Group,
                                  const std::optional<ObservedTimes> &Times) {
  Shard &OwningShard = shardFor(Group);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  Entry *KnownGroup = OwningShard.find(Group);
  if (KnownGroup == nullptr)
    return;
  Candidate &Target = KnownGroup->m_Candidate;
  Target.m_LocalInFlight -= Target.m_LocalInFlight > 0 ? 1 : 0;
  if (!Times)
    return;
  if (!Target.m_ObservedTimes) {
    Target.m_ObservedTimes = Times;
    return;
  }
  ObservedTimes &Smoothed = *Target.m_ObservedTimes;
  Smoothed.m_FirstTokenSeconds +=
      SmoothingFactor *
      (Times->m_FirstTokenSeconds - Smoothed.m_FirstTokenSeconds);
  Smoothed.m_PerTokenSeconds +=
      SmoothingFactor * (Times->m_PerTokenSeconds - Smoothed.m_PerTokenSeconds);
  Smoothed.m_ObservedAt = Times->m_ObservedAt;
}

std::size_t RoutingTable::size() const {
  std::size_t Count = 0;
  for (const Shard &OwningShard : m_Shards) {
    const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
    Count += OwningShard.m_DeploymentByGroup.size();
  }
  return Count;
}

RoutingTable::Shard &RoutingTable::shardFor(const std::string &Group) {
  return m_Shards[std::hash<std::string>{}(Group) % m_Shards.size()];
}

} // namespace fulmarwinch
