#include "servers/fleet/fleet_view.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Maximum number of unlisted members to store. It covers the loss of a large
/// zone; older entries belong to groups that have been replaced by then.
constexpr std::size_t MaxUnlistedMembers = 1024;
/// Maximum number of leaving processes to remember. Most have ended long before
/// that many others have left.
constexpr std::size_t MaxLeavingProcesses = 4096;

} // namespace

std::vector<std::string>
FleetView::replaceAll(std::vector<BackendServer> Servers, MonotonicTime Now) {
  m_GroupsAreCurrent = false;
  std::map<std::string, BackendServer> OldServers;
  OldServers.swap(m_Servers);
  m_ExcludedEntries.clear();
  std::vector<std::string> Changed;
  for (BackendServer &Server : Servers) {
    if (!isServiceNamed(Server.m_Service)) {
      m_ExcludedEntries[Server.m_Id] = std::move(Server);
      continue;
    }
    const auto Known = OldServers.find(Server.m_Id);
    const std::string Id = Server.m_Id;
    if (Known != OldServers.end()) {
      // Keep an unchanged entry: its remaining cold time counts from when the
      // entry was first received.
      if (Known->second.m_Position >= Server.m_Position) {
        m_Servers.insert(std::move(*Known));
        OldServers.erase(Known);
        continue;
      }
      OldServers.erase(Known);
    }
    Changed.push_back(Id);
    update(std::move(Server), Now);
  }
  for (auto &[Id, Server] : OldServers) {
    m_ColdUntil.erase(Id);
    Changed.push_back(Id);
    storeUnlistedMember(std::move(Server));
  }
  return Changed;
}

bool FleetView::update(BackendServer Server, MonotonicTime Now) {
  if (!isServiceNamed(Server.m_Service)) {
    const bool Changed = remove(Server.m_Id, Server.m_Position);
    m_ExcludedEntries[Server.m_Id] = std::move(Server);
    return Changed;
  }
  m_ExcludedEntries.erase(Server.m_Id);
  const auto Known = m_Servers.find(Server.m_Id);
  if (Known != m_Servers.end() && Known->second.m_Position >= Server.m_Position)
    return false;
  m_GroupsAreCurrent = false;
  const auto Leaving = m_LeavingProcesses.find(Server.m_Id);
  if (Leaving != m_LeavingProcesses.end()) {
    if (Leaving->second.m_StartedAtMs == Server.m_StartedAtMs)
      Server.m_Draining = true;
    else
      m_LeavingProcesses.erase(Leaving);
  }
  if (Server.m_RemainingColdTime > Duration::zero())
    m_ColdUntil[Server.m_Id] = Now + Server.m_RemainingColdTime;
  else
    m_ColdUntil.erase(Server.m_Id);
  m_UnlistedMembers.erase(Server.m_Id);
  m_Servers[Server.m_Id] = std::move(Server);
  return true;
}

bool FleetView::remove(const std::string &Id, StorePosition Position) {
  m_ExcludedEntries.erase(Id);
  const auto Known = m_Servers.find(Id);
  if (Known == m_Servers.end() || Known->second.m_Position > Position)
    return false;
  m_GroupsAreCurrent = false;
  storeUnlistedMember(std::move(Known->second));
  m_Servers.erase(Known);
  m_ColdUntil.erase(Id);
  return true;
}

void FleetView::storeUnlistedMember(BackendServer Server) {
  // A draining server whose entry is gone has stopped as announced, so it is
  // not stored as a member that may still be running.
  if (!Server.m_Membership || Server.m_Draining)
    return;
  m_UnlistedMembers[Server.m_Id] = std::move(Server);
  if (m_UnlistedMembers.size() <= MaxUnlistedMembers)
    return;
  m_UnlistedMembers.erase(std::min_element(
      m_UnlistedMembers.begin(), m_UnlistedMembers.end(),
      [](const auto &Left, const auto &Right) {
        return Left.second.m_Position < Right.second.m_Position;
      }));
}

std::vector<const BackendServer *>
FleetView::membersWithoutEntry(const GroupKey &Group) const {
  std::vector<const BackendServer *> Members;
  for (const auto &[Id, Server] : m_UnlistedMembers)
    if (Server.m_Membership->m_Group == Group)
      Members.push_back(&Server);
  return Members;
}

bool FleetView::isServiceNamed(const std::string &Service) const {
  return !m_Services || m_Services->count(Service) != 0;
}

void FleetView::setServices(std::set<std::string> Names, MonotonicTime Now) {
  if (m_Services == Names)
    return;
  m_Services = std::move(Names);
  m_GroupsAreCurrent = false;
  std::map<std::string, BackendServer> Entries;
  Entries.swap(m_ExcludedEntries);
  for (auto Entry = m_Servers.begin(); Entry != m_Servers.end();) {
    if (isServiceNamed(Entry->second.m_Service)) {
      ++Entry;
      continue;
    }
    m_ColdUntil.erase(Entry->first);
    m_ExcludedEntries.insert(std::move(*Entry));
    Entry = m_Servers.erase(Entry);
  }
  for (auto &[Id, Server] : Entries)
    update(std::move(Server), Now);
}

void FleetView::setEvacuatedZones(std::set<std::string> Zones) {
  m_EvacuatedZones = std::move(Zones);
}

bool FleetView::isEvacuated(const std::string &Zone) const {
  return m_EvacuatedZones.count(Zone) != 0;
}

const BackendServer *FleetView::find(const std::string &Id) const {
  const auto Known = m_Servers.find(Id);
  return Known == m_Servers.end() ? nullptr : &Known->second;
}

bool FleetView::setLeaving(const std::string &Id, std::int64_t StartedAtMs) {
  const auto Known = m_LeavingProcesses.find(Id);
  if (Known != m_LeavingProcesses.end() &&
      Known->second.m_StartedAtMs == StartedAtMs)
    return false;
  m_LeavingProcesses[Id] = {StartedAtMs, ++m_LastNotice};
  if (m_LeavingProcesses.size() > MaxLeavingProcesses)
    m_LeavingProcesses.erase(
        std::min_element(m_LeavingProcesses.begin(), m_LeavingProcesses.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.m_Notice < Right.second.m_Notice;
                         }));
  const auto Server = m_Servers.find(Id);
  if (Server != m_Servers.end() &&
      Server->second.m_StartedAtMs == StartedAtMs) {
    Server->second.m_Draining = true;
    m_GroupsAreCurrent = false;
  }
  return true;
}

bool FleetView::acceptsNewWork(const BackendServer &Server) const {
  return !Server.m_Draining && !isEvacuated(Server.m_Zone);
}

Duration FleetView::remainingColdTime(const std::string &Id,
                                      MonotonicTime Now) const {
  const auto Cold = m_ColdUntil.find(Id);
  if (Cold == m_ColdUntil.end() || Cold->second <= Now)
    return Duration::zero();
  return Cold->second - Now;
}

const std::map<GroupKey, ReplicaGroup> &FleetView::groups() const {
  if (m_GroupsAreCurrent)
    return m_Groups;
  m_Groups.clear();
  for (const auto &[Id, Server] : m_Servers) {
    if (!Server.m_Membership)
      continue;
    const GroupMembership &Membership = *Server.m_Membership;
    ReplicaGroup &Group = m_Groups[Membership.m_Group];
    if (Group.m_Key.m_Name.empty()) {
      Group.m_Key = Membership.m_Group;
      Group.m_Model = modelOfGroup(Membership.m_Group.m_Name);
      Group.m_FabricDomain = Server.m_FabricDomain;
    }
    if (Group.m_Members.size() <= Membership.m_Rank)
      Group.m_Members.resize(Membership.m_Rank + 1);
    Group.m_Members[Membership.m_Rank] = Id;
    if (Membership.m_Rank == 0)
      Group.m_Head = &Server;
  }
  m_GroupsAreCurrent = true;
  return m_Groups;
}

std::string modelOfGroup(const std::string &GroupName) {
  const std::size_t Number = GroupName.rfind('.');
  if (Number == std::string::npos || Number == 0)
    return GroupName;
  // The name of the model may contain dots itself.
  return GroupName.substr(0, GroupName.rfind('.', Number - 1));
}

} // namespace fulmarwinch
