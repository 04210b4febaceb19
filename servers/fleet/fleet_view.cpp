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
/// Maximum number of removed entries to remember. They are needed if the store
/// returns from a copy, which is some seconds old.
constexpr std::size_t MaxRemovedEntries = 4096;
/// Time after which a server that the restored store lacks counts as gone.
constexpr Duration MissingEntryTime = std::chrono::milliseconds(2500);

/// True if \p Next shows a later state of its server than \p Known. Within an
/// era of the store its order decides. An entry of a new era may be older than
/// one of the era before; then the order of the server's own reports decides.
bool isLaterState(const BackendServer &Next, const BackendServer &Known) {
  if (Next.m_Position.m_Era <= Known.m_Position.m_Era)
    return Next.m_Position > Known.m_Position;
  if (Next.m_StartedAtMs != Known.m_StartedAtMs)
    return Next.m_StartedAtMs > Known.m_StartedAtMs;
  return Next.m_ReportNumber > Known.m_ReportNumber;
}

bool isSameReport(const BackendServer &Left, const BackendServer &Right) {
  return Left.m_StartedAtMs == Right.m_StartedAtMs &&
         Left.m_ReportNumber == Right.m_ReportNumber;
}

/// Removes the entry with the lowest notice number from \p Entries if there are
/// more than \p MaxEntries.
template <typename EntryType>
void removeOldest(std::map<std::string, EntryType> &Entries,
                  std::size_t MaxEntries) {
  if (Entries.size() <= MaxEntries)
    return;
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(), [](const auto &Left, const auto &Right) {
        return Left.second.m_Notice < Right.second.m_Notice;
      }));
}

} // namespace

std::vector<std::string>
FleetView::replaceAll(std::vector<BackendServer> Servers, MonotonicTime Now,
                      ListingTrust Trust) {
  ++m_ChangeCount;
  m_MissingUntil.clear();
  const bool MayBeOutdated = Trust == ListingTrust::MayBeOutdated;
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
      if (MayBeOutdated ? !isLaterState(Server, Known->second)
                        : Known->second.m_Position >= Server.m_Position) {
        if (isSameReport(Server, Known->second))
          Known->second.m_Position =
              std::max(Known->second.m_Position, Server.m_Position);
        m_Servers.insert(std::move(*Known));
        OldServers.erase(Known);
        continue;
      }
      OldServers.erase(Known);
    } else if (!MayBeOutdated) {
      m_RemovedEntries.erase(Id);
    } else if (isOutdated(Server)) {
      continue;
    }
    Changed.push_back(Id);
    update(std::move(Server), Now);
  }
  for (auto &[Id, Server] : OldServers) {
    if (MayBeOutdated) {
      m_MissingUntil[Id] = Now + MissingEntryTime;
      m_Servers.emplace(Id, std::move(Server));
      continue;
    }
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
  m_MissingUntil.erase(Server.m_Id);
  if (isOutdated(Server))
    return false;
  ++m_ChangeCount;
  m_RemovedEntries.erase(Server.m_Id);
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
  ++m_ChangeCount;
  m_MissingUntil.erase(Id);
  recordRemoval(Known->second);
  storeUnlistedMember(std::move(Known->second));
  m_Servers.erase(Known);
  m_ColdUntil.erase(Id);
  return true;
}

std::vector<std::string> FleetView::removeMissing(MonotonicTime Now) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Until] : m_MissingUntil)
    if (Until <= Now)
      Missing.push_back(Id);
  for (const std::string &Id : Missing) {
    m_MissingUntil.erase(Id);
    if (const BackendServer *Server = find(Id))
      remove(Id, Server->m_Position);
  }
  return Missing;
}

bool FleetView::isOutdated(const BackendServer &Server) const {
  const auto Known = m_Servers.find(Server.m_Id);
  if (Known != m_Servers.end())
    return !isLaterState(Server, Known->second);
  const auto Removed = m_RemovedEntries.find(Server.m_Id);
  if (Removed == m_RemovedEntries.end())
    return false;
  const BackendServer &Last = Removed->second.m_LastState;
  return Server.m_Position.m_Era > Last.m_Position.m_Era &&
         !isLaterState(Server, Last);
}

void FleetView::recordRemoval(const BackendServer &Server) {
  m_RemovedEntries[Server.m_Id] = {Server, ++m_LastNotice};
  removeOldest(m_RemovedEntries, MaxRemovedEntries);
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
  ++m_ChangeCount;
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
  removeOldest(m_LeavingProcesses, MaxLeavingProcesses);
  const auto Server = m_Servers.find(Id);
  if (Server != m_Servers.end() &&
      Server->second.m_StartedAtMs == StartedAtMs) {
    Server->second.m_Draining = true;
    ++m_ChangeCount;
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
  if (m_GroupsChangeCount == m_ChangeCount)
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
  m_GroupsChangeCount = m_ChangeCount;
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
