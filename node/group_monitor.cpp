#include "node/group_monitor.h"

#include "core/rendezvous.h"

#include <iterator>
#include <set>
#include <tuple>

namespace fulmarwinch {

namespace {

/// Interval at which an unchanged view is published again. Routers discard a
/// view after 1.5 s.
constexpr Duration RepublishInterval = std::chrono::milliseconds(500);
/// A new monitor publishes nothing until all members have reported or this time
/// has passed. A view without their reports would withdraw a serving group; the
/// view of the previous monitor expires by itself.
constexpr Duration FirstReportsTimeout = std::chrono::milliseconds(750);

GroupEntry toGroupEntry(const MonitorTask &Task) {
  GroupEntry Group;
  Group.m_Deployment = Task.m_Deployment;
  Group.m_Generation = Task.m_Generation;
  // A draining group still finishes its requests, so its readiness is computed
  // as for a serving group.
  Group.m_State =
      Task.m_State == GroupState::Draining ? GroupState::Serving : Task.m_State;
  for (const MonitoredMember &Member : Task.m_Members)
    Group.m_Members.push_back({Member.m_Vm, 0});
  return Group;
}

} // namespace

GroupMonitor::GroupMonitor(PeerService &Peers, EngineClient &Engines)
    : m_Peers(Peers), m_Engines(Engines) {}

void GroupMonitor::onTasks(const Json &Message) {
  const auto Domain = fieldOr<std::string>(Message, "d", "");
  const auto Epoch = fieldOr<std::uint64_t>(Message, "e", 0);
  const auto Generation = fieldOr<std::uint64_t>(Message, "n", 0);
  if (Domain.empty() || !Message.contains("t") || !Message["t"].is_array())
    return;
  DomainVersion &LastSeen = m_Domains[Domain];
  if (std::tie(Generation, Epoch) <
      std::tie(LastSeen.m_Generation, LastSeen.m_Epoch))
    return;
  LastSeen = {Epoch, Generation};
  std::set<std::string> Assigned;
  for (const Json &Row : Message["t"]) {
    std::optional<MonitorTask> Task = parseMonitorTask(Row);
    if (!Task)
      continue;
    Assigned.insert(Task->m_Group);
    MonitoredGroup &Group = m_Groups[Task->m_Group];
    Group.m_Task = *std::move(Task);
    removeFormerMembers(Group);
  }
  const auto Existing = fieldOr(Message, "g", std::vector<std::string>());
  removeUnassignedGroups(Domain, Assigned, {Existing.begin(), Existing.end()});
}

void GroupMonitor::removeUnassignedGroups(
    const std::string &Domain, const std::set<std::string> &Assigned,
    const std::set<std::string> &Existing) {
  for (auto Entry = m_Groups.begin(); Entry != m_Groups.end();) {
    const bool IsUnassigned = Entry->second.m_Task.m_Domain == Domain &&
                              Assigned.count(Entry->first) == 0;
    if (!IsUnassigned) {
      ++Entry;
      continue;
    }
    // A group that still exists has a new monitor and continues to serve, so
    // only a disbanded one is withdrawn.
    if (Existing.count(Entry->first) == 0) {
      Entry->second.m_Task.m_State = GroupState::Disbanded;
      publish(Entry->second, monotonicNow());
    }
    Entry = m_Groups.erase(Entry);
  }
}

void GroupMonitor::removeFormerMembers(MonitoredGroup &Group) {
  std::set<std::string> Members;
  for (const MonitoredMember &Member : Group.m_Task.m_Members)
    Members.insert(Member.m_Vm);
  for (auto Entry = Group.m_Statuses.begin(); Entry != Group.m_Statuses.end();)
    Entry = Members.count(Entry->first) == 0 ? Group.m_Statuses.erase(Entry)
                                             : std::next(Entry);
}

void GroupMonitor::tick(MonotonicTime Now) {
  for (auto &[Id, Group] : m_Groups) {
    if (!isMonitor(Group.m_Task)) {
      Group.m_MonitorSince.reset();
      continue;
    }
    if (!Group.m_MonitorSince)
      Group.m_MonitorSince = Now;
    if (hasMemberReports(Group, Now))
      publish(Group, Now);
    pollMembers(Group);
  }
}

bool GroupMonitor::hasMemberReports(const MonitoredGroup &Group,
                                    MonotonicTime Now) {
  if (Now - *Group.m_MonitorSince >= FirstReportsTimeout)
    return true;
  for (const MonitoredMember &Member : Group.m_Task.m_Members) {
    const auto Found = Group.m_Statuses.find(Member.m_Vm);
    if (Found == Group.m_Statuses.end() ||
        Found->second.m_Report.m_PolledAt < *Group.m_MonitorSince)
      return false;
  }
  return true;
}

bool GroupMonitor::isMonitor(const MonitorTask &Task) const {
  std::vector<std::string> NodesInZone;
  std::vector<std::string> AllNodes;
  for (const auto &[Id, Member] : m_Peers.membership().table().members()) {
    if (Member.m_State != MemberState::Alive)
      continue;
    AllNodes.push_back(Id);
    if (Member.m_Zone == Task.m_Zone)
      NodesInZone.push_back(Id);
  }
  return rendezvousRank(Task.m_Group,
                        NodesInZone.empty() ? AllNodes : NodesInZone,
                        m_Peers.selfId()) == 0;
}

void GroupMonitor::pollMembers(MonitoredGroup &Group) {
  const std::string Id = Group.m_Task.m_Group;
  for (const MonitoredMember &Member : Group.m_Task.m_Members) {
    bool &IsPollInFlight = Group.m_IsPollInFlight[Member.m_Vm];
    if (IsPollInFlight || Member.m_Address.empty())
      continue;
    IsPollInFlight = true;
    m_Engines.poll(Member.m_Address,
                   [this, Id, Vm = Member.m_Vm](const EngineStatus &Status) {
                     const auto Found = m_Groups.find(Id);
                     if (Found == m_Groups.end())
                       return;
                     const bool WasReachable =
                         Found->second.m_Statuses[Vm].m_Report.m_Reachable;
                     Found->second.m_Statuses[Vm] = Status;
                     Found->second.m_IsPollInFlight[Vm] = false;
                     // The loss of a member is published at once, not at the
                     // next tick.
                     if (WasReachable && !Status.m_Report.m_Reachable)
                       publish(Found->second, monotonicNow());
                   });
  }
}

PublishedView GroupMonitor::makeView(const MonitoredGroup &Group,
                                     MonotonicTime Now) const {
  const MonitorTask &Task = Group.m_Task;
  std::map<std::string, AgedReport> Reports;
  for (const auto &[Vm, Status] : Group.m_Statuses)
    Reports[Vm] = {Status.m_Report, std::chrono::duration_cast<Duration>(
                                        Now - Status.m_Report.m_PolledAt)};
  const ServingView Serving =
      computeServingView(Task.m_Group, toGroupEntry(Task), Reports);
  PublishedView View;
  View.m_Group = Task.m_Group;
  View.m_Deployment = Task.m_Deployment;
  View.m_Version = Task.m_Version;
  View.m_Zone = Task.m_Zone;
  View.m_Generation = Task.m_Generation;
  View.m_Serving = Serving.m_Serving;
  View.m_Draining = Task.m_State == GroupState::Draining;
  View.m_Reason = Serving.m_Reason;
  View.m_WarmStartId = Task.m_WarmStartId;
  View.m_Holder = Task.m_Holder;
  View.m_Members = Task.m_Members.size();
  if (Task.m_Members.empty())
    return View;
  View.m_HeadAddress = Task.m_Members.front().m_Address;
  const auto Head = Group.m_Statuses.find(Task.m_Members.front().m_Vm);
  if (Head == Group.m_Statuses.end())
    return View;
  View.m_StartId = Head->second.m_Report.m_StartId;
  View.m_Cold = Head->second.m_Cold;
  View.m_Running = Head->second.m_Report.m_RunningRequests;
  View.m_Waiting = Head->second.m_Report.m_QueuedRequests;
  View.m_Capacity = Head->second.m_Capacity;
  return View;
}

void GroupMonitor::publish(MonitoredGroup &Group, MonotonicTime Now) {
  const Json View = toJson(makeView(Group, Now));
  std::string Text = View.dump();
  if (Text == Group.m_PublishedText &&
      Now - Group.m_PublishedAt < RepublishInterval)
    return;
  Group.m_PublishedText = std::move(Text);
  Group.m_PublishedAt = Now;
  m_Peers.broadcast(PeerChannel::Views, View);
}

} // namespace fulmarwinch
