#include "node/status_report.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

bool isDisbanded(const ViewReceiver::ReceivedView &Group) {
  return Group.m_View.m_Members == 0 && !Group.m_View.m_Serving;
}

bool isExpired(const ViewReceiver::ReceivedView &Group, MonotonicTime Now) {
  return Now - Group.m_ReceivedAt >= ViewReceiver::ViewLifetime;
}

bool isServing(const ViewReceiver::ReceivedView &Group, MonotonicTime Now) {
  return Group.m_View.m_Serving && !isExpired(Group, Now);
}

std::string notServingReason(const ViewReceiver::ReceivedView &Group,
                             MonotonicTime Now) {
  if (!isExpired(Group, Now))
    return Group.m_View.m_Reason;
  return fmt::format(
      "no view from its monitor for {} s",
      std::chrono::duration_cast<std::chrono::seconds>(Now - Group.m_ReceivedAt)
          .count());
}

/// Adds each deployment with fewer serving groups than configured. This also
/// reports groups that are lost altogether, for which there is no view.
void addMissingGroups(const StatusSources &Sources, Json &Problems) {
  std::map<std::string, std::int64_t> ServingCounts;
  for (const auto &[Id, Received] : Sources.m_Groups)
    if (isServing(Received, Sources.m_Now) && !Received.m_View.m_Draining)
      ++ServingCounts[Received.m_View.m_Deployment];
  for (const auto &[Id, Entry] : Sources.m_Configuration.entries()) {
    const Deployment *Configured =
        Id.m_Kind == EntryKind::Deployment
            ? Sources.m_Configuration.deployment(Id.m_Name)
            : nullptr;
    if (Configured && ServingCounts[Id.m_Name] < Configured->m_Replicas)
      Problems.push_back(fmt::format("deployment {}: {} of {} groups serve",
                                     Id.m_Name, ServingCounts[Id.m_Name],
                                     Configured->m_Replicas));
  }
}

} // namespace

Json statusGroups(const StatusSources &Sources) {
  Json Groups = Json::array();
  for (const auto &[Id, Received] : Sources.m_Groups) {
    if (isDisbanded(Received))
      continue;
    Groups.push_back({{"group", Id},
                      {"deployment", Received.m_View.m_Deployment},
                      {"generation", Received.m_View.m_Generation},
                      {"zone", Received.m_View.m_Zone},
                      {"members", Received.m_View.m_Members},
                      {"serving", isServing(Received, Sources.m_Now)},
                      {"leaving", Received.m_View.m_Draining},
                      {"warm", Received.m_Warm},
                      {"running", Received.m_View.m_Running},
                      {"waiting", Received.m_View.m_Waiting},
                      {"head", Received.m_View.m_HeadAddress},
                      {"reason", notServingReason(Received, Sources.m_Now)}});
  }
  return Groups;
}

Json statusProblems(const StatusSources &Sources) {
  Json Problems = Json::array();
  if (Sources.m_Freshness != Freshness::Fresh)
    Problems.push_back(fmt::format(
        "configuration is {}", nameOf(FreshnessNames, Sources.m_Freshness)));
  addMissingGroups(Sources, Problems);
  for (const auto &[Id, Received] : Sources.m_Groups)
    if (!isDisbanded(Received) && !isServing(Received, Sources.m_Now))
      Problems.push_back(fmt::format(
          "group {} of {} does not serve: {}", Id, Received.m_View.m_Deployment,
          notServingReason(Received, Sources.m_Now)));
  for (const auto &[Id, Member] : Sources.m_Nodes)
    if (Member.m_State == MemberState::Dead ||
        Member.m_State == MemberState::Suspected)
      Problems.push_back(fmt::format("node {} is {}", Id,
                                     nameOf(MemberStateNames, Member.m_State)));
  for (const auto &[Id, Entry] : Sources.m_Configuration.entries())
    if (Id.m_Kind == EntryKind::Zone &&
        !Sources.m_Configuration.isZoneInService(Id.m_Name))
      Problems.push_back(
          fmt::format("availability zone {} is out of service", Id.m_Name));
  return Problems;
}

} // namespace fulmarwinch
