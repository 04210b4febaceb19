#include "servers/dispatch/eligible_servers.h"

namespace fulmarwinch {

bool isEligible(const FleetView &Fleet, const ServiceSpec &Service,
                const std::string &Model, const BackendServer &Server) {
  if (Server.m_Service != Service.m_Name)
    return false;
  if (!Service.hasReplicaGroups())
    return true;
  if (!Server.m_Membership || Server.m_Membership->m_Rank != 0 ||
      Server.m_Membership->m_State != GroupMemberState::Open)
    return false;
  const ReplicaGroup &Group = Fleet.groups().at(Server.m_Membership->m_Group);
  if (Group.m_Model != Model)
    return false;
  // The head of a group that has lost a member still accepts requests, but its
  // streams stall.
  const ModelSpec *Spec = Service.m_Engine.findModel(Model);
  if (!Spec)
    return false;
  // A member that is only partitioned from the store continues to work, so
  // members without a store entry count. The lease holder probes them and
  // closes the group if one does not respond.
  std::size_t MemberCount = Fleet.membersWithoutEntry(Group.m_Key).size();
  for (const std::string &Id : Group.m_Members) {
    const BackendServer *Member = Fleet.find(Id);
    if (Member && Member->m_Draining)
      return false;
    MemberCount += Member ? 1 : 0;
  }
  return MemberCount == Spec->m_GroupSize;
}

const std::vector<const BackendServer *> &
EligibleServers::find(const FleetView &Fleet, const ServiceSpec &Service,
                      const std::string &Model) {
  const ModelSpec *Spec = Service.m_Engine.findModel(Model);
  // Clients name the model, so there is no entry for unknown ones.
  if (Service.hasReplicaGroups() && !Spec)
    return m_None;
  const unsigned GroupSize = Spec ? Spec->m_GroupSize : 0;
  Entry &Cached =
      m_Entries[{Service.m_Name, Spec ? Spec->m_Name : std::string()}];
  if (Cached.m_Fleet == &Fleet && Cached.m_ChangeCount == Fleet.changeCount() &&
      Cached.m_GroupSize == GroupSize)
    return Cached.m_Servers;
  Cached = {&Fleet, Fleet.changeCount(), GroupSize, {}};
  for (const auto &[Id, Server] : Fleet.servers())
    if (isEligible(Fleet, Service, Model, Server))
      Cached.m_Servers.push_back(&Server);
  return Cached.m_Servers;
}

} // namespace fulmarwinch
