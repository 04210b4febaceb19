#include "node/status_report.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

bool isDisbanded(const ViewReceiver::Known &Group) {
  return Group.m_View.m_Members == 0 && !Group.m_View.m_Serving;
}

bool isExpired(const ViewReceiver::Known &Group, MonotonicTime Now) {
  return Now - Group.m_ReceivedAt >= ViewReceiver::ViewLifetime;
}

bool isServing(const ViewReceiver::Known &Group, MonotonicTime Now) {
  return Group.m_View.m_Serving && !isExpired(Group, Now);
}

std::string reasonOf(const ViewReceiver::Known &Group, MonotonicTime Now) {
  if (!isExpired(Group, Now))
    return Group.m_View.m_Reason;
  return fmt::format(
      "no view from its monitor for {} s",
      std::chrono::duration_cast<std::chrono::seconds>(Now - Group.m_ReceivedAt)
          .count());
}

/// Groups that are lost altogether are in no view, so they are found by the
/// number that the configuration asks for.
void addDeployments(const StatusSources &Sources, Json &Found) {
  std::map<std::string, std::int64_t> Serving;
  for (const auto &[Id, Known] : Sources.m_Groups)
    if (isServing(Known, Sources.m_Now) && !Known.m_View.m_Leaving)
      ++Serving[Known.m_View.m_Deployment];
  for (const auto &[Id, Entry] : Sources.m_Configuration.entries()) {
    const Deployment *Wanted =
        Id.m_Kind == EntryKind::Deployment
            ? Sources.m_Configuration.deployment(Id.m_Name)
            : nullptr;
    if (Wanted && Serving[Id.m_Name] < Wanted->m_Replicas)
      Found.push_back(fmt::format("deployment {}: {} of {} groups serve",
                                  Id.m_Name, Serving[Id.m_Name],
                                  Wanted->m_Replicas));
  }
}

} // namespace

Json statusGroups(const StatusSources &Sources) {
  Json Groups = Json::array();
  for (const auto &[Id, Known] : Sources.m_Groups) {
    if (isDisbanded(Known))
      continue;
    Groups.push_back({{"group", Id},
                      {"deployment", Known.m_View.m_Deployment},
                      {"generation", Known.m_View.m_Generation},
                      {"zone", Known.m_View.m_Zone},
                      {"members", Known.m_View.m_Members},
                      {"serving", isServing(Known, Sources.m_Now)},
                      {"leaving", Known.m_View.m_Leaving},
                      {"warm", Known.m_Warm},
                      {"running", Known.m_View.m_Running},
                      {"waiting", Known.m_View.m_Waiting},
                      {"head", Known.m_View.m_HeadAddress},
                      {"reason", reasonOf(Known, Sources.m_Now)}});
  }
  return Groups;
}

Json statusProblems(const StatusSources &Sources) {
  Json Found = Json::array();
  if (Sources.m_Freshness != Freshness::Fresh)
    Found.push_back(fmt::format("configuration is {}",
                                nameOf(FreshnessNames, Sources.m_Freshness)));
  addDeployments(Sources, Found);
  for (const auto &[Id, Known] : Sources.m_Groups)
    if (!isDisbanded(Known) && !isServing(Known, Sources.m_Now))
      Found.push_back(fmt::format("group {} of {} does not serve: {}", Id,
                                  Known.m_View.m_Deployment,
                                  reasonOf(Known, Sources.m_Now)));
  for (const auto &[Id, Member] : Sources.m_Nodes)
    if (Member.m_State == MemberState::Dead ||
        Member.m_State == MemberState::Suspected)
      Found.push_back(fmt::format("node {} is {}", Id,
                                  nameOf(MemberStateNames, Member.m_State)));
  for (const auto &[Id, Entry] : Sources.m_Configuration.entries())
    if (Id.m_Kind == EntryKind::Zone &&
        !Sources.m_Configuration.isZoneInService(Id.m_Name))
      Found.push_back(
          fmt::format("availability zone {} is out of service", Id.m_Name));
  return Found;
}

} // namespace fulmarwinch
