#include "node/group_monitor.h"

#include "core/rendezvous.h"

#include <iterator>
#include <set>
#include <tuple>

namespace fulmarwinch {

namespace {

/// An unchanged view is repeated after this time; routers drop it after 1.5 s.
constexpr Duration RepeatAfter = std::chrono::milliseconds(500);
/// A node that becomes the monitor publishes nothing for this time or until it
/// has polled all members. A view without their reports would withdraw a group
/// that serves; the view of the earlier monitor expires by itself.
constexpr Duration FirstReportsWithin = std::chrono::milliseconds(750);

GroupEntry toGroupEntry(const MonitorTask &Task) {
  GroupEntry Group;
  Group.m_Deployment = Task.m_Deployment;
  Group.m_Generation = Task.m_Generation;
  // A draining group finishes its work, so its readiness still counts.
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
  const auto Domain = memberOr<std::string>(Message, "d", "");
  const auto Epoch = memberOr<std::uint64_t>(Message, "e", 0);
  const auto Generation = memberOr<std::uint64_t>(Message, "n", 0);
  if (Domain.empty() || !Message.contains("t") || !Message["t"].is_array())
    return;
  DomainVersion &Known = m_Domains[Domain];
  if (std::tie(Generation, Epoch) < std::tie(Known.m_Generation, Known.m_Epoch))
    return;
  Known = {Epoch, Generation};
  std::set<std::string> Listed;
  for (const Json &Row : Message["t"]) {
    std::optional<MonitorTask> Task = parseMonitorTask(Row);
    if (!Task)
      continue;
    Listed.insert(Task->m_Group);
    Monitored &Group = m_Groups[Task->m_Group];
    Group.m_Task = *std::move(Task);
    forgetOtherMembers(Group);
  }
  const auto Existing = memberOr(Message, "g", std::vector<std::string>());
  removeUnlisted(Domain, Listed, {Existing.begin(), Existing.end()});
}

void GroupMonitor::removeUnlisted(const std::string &Domain,
                                  const std::set<std::string> &Listed,
                                  const std::set<std::string> &Existing) {
  for (auto Entry = m_Groups.begin(); Entry != m_Groups.end();) {
    const bool IsRemoved = Entry->second.m_Task.m_Domain == Domain &&
                           Listed.count(Entry->first) == 0;
    if (!IsRemoved) {
      ++Entry;
      continue;
    }
    // A group that another node monitors from now on goes on serving.
    if (Existing.count(Entry->first) == 0) {
      Entry->second.m_Task.m_State = GroupState::Disbanded;
      publish(Entry->second, monotonicNow());
    }
    Entry = m_Groups.erase(Entry);
  }
}

void GroupMonitor::forgetOtherMembers(Monitored &Group) {
  std::set<std::string> Members;
  for (const MonitoredMember &Member : Group.m_Task.m_Members)
    Members.insert(Member.m_Vm);
  for (auto Entry = Group.m_Statuses.begin(); Entry != Group.m_Statuses.end();)
    Entry = Members.count(Entry->first) == 0 ? Group.m_Statuses.erase(Entry)
                                             : std::next(Entry);
}

void GroupMonitor::tick(MonotonicTime Now) {
  for (auto &[Id, Group] : m_Groups) {
    if (!isActive(Group.m_Task)) {
      Group.m_ActiveSince.reset();
      continue;
    }
    if (!Group.m_ActiveSince)
      Group.m_ActiveSince = Now;
    if (knowsMembers(Group, Now))
      publish(Group, Now);
    pollMembers(Group);
  }
}

bool GroupMonitor::knowsMembers(const Monitored &Group, MonotonicTime Now) {
  if (Now - *Group.m_ActiveSince >= FirstReportsWithin)
    return true;
  for (const MonitoredMember &Member : Group.m_Task.m_Members) {
    const auto Found = Group.m_Statuses.find(Member.m_Vm);
    if (Found == Group.m_Statuses.end() ||
        Found->second.m_Report.m_At < *Group.m_ActiveSince)
      return false;
  }
  return true;
}

bool GroupMonitor::isActive(const MonitorTask &Task) const {
  std::vector<std::string> InZone;
  std::vector<std::string> All;
  for (const auto &[Id, Member] : m_Peers.membership().table().members()) {
    if (Member.m_State != MemberState::Alive)
      continue;
    All.push_back(Id);
    if (Member.m_Zone == Task.m_Zone)
      InZone.push_back(Id);
  }
  return rendezvousRank(Task.m_Group, InZone.empty() ? All : InZone,
                        m_Peers.self()) == 0;
}

void GroupMonitor::pollMembers(Monitored &Group) {
  const std::string Id = Group.m_Task.m_Group;
  for (const MonitoredMember &Member : Group.m_Task.m_Members) {
    bool &IsPolled = Group.m_IsPolled[Member.m_Vm];
    if (IsPolled || Member.m_Address.empty())
      continue;
    IsPolled = true;
    m_Engines.poll(Member.m_Address,
                   [this, Id, Vm = Member.m_Vm](const EngineStatus &Status) {
                     const auto Found = m_Groups.find(Id);
                     if (Found == m_Groups.end())
                       return;
                     const bool WasReachable =
                         Found->second.m_Statuses[Vm].m_Report.m_Reachable;
                     Found->second.m_Statuses[Vm] = Status;
                     Found->second.m_IsPolled[Vm] = false;
                     // A member that went missing is told at once, not at the
                     // next tick.
                     if (WasReachable && !Status.m_Report.m_Reachable)
                       publish(Found->second, monotonicNow());
                   });
  }
}

PublishedView GroupMonitor::makeView(const Monitored &Group,
                                     MonotonicTime Now) const {
  const MonitorTask &Task = Group.m_Task;
  std::map<std::string, AgedReport> Reports;
  for (const auto &[Vm, Status] : Group.m_Statuses)
    Reports[Vm] = {Status.m_Report, std::chrono::duration_cast<Duration>(
                                        Now - Status.m_Report.m_At)};
  const ServingView Serving =
      computeServingView(Task.m_Group, toGroupEntry(Task), Reports);
  PublishedView View;
  View.m_Group = Task.m_Group;
  View.m_Deployment = Task.m_Deployment;
  View.m_Version = Task.m_Version;
  View.m_Zone = Task.m_Zone;
  View.m_Generation = Task.m_Generation;
  View.m_Serving = Serving.m_Serving;
  View.m_Leaving = Task.m_State == GroupState::Draining;
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
  View.m_Running = Head->second.m_Report.m_Running;
  View.m_Waiting = Head->second.m_Report.m_Waiting;
  View.m_Capacity = Head->second.m_Capacity;
  return View;
}

void GroupMonitor::publish(Monitored &Group, MonotonicTime Now) {
  const Json View = toJson(makeView(Group, Now));
  std::string Text = View.dump();
  if (Text == Group.m_LastText && Now - Group.m_PublishedAt < RepeatAfter)
    return;
  Group.m_LastText = std::move(Text);
  Group.m_PublishedAt = Now;
  m_Peers.broadcast(PeerChannel::Views, View);
}

} // namespace fulmarwinch
