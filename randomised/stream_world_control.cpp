#include "randomised/stream_world.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::int64_t ViewExpiryMs = 1500;
constexpr std::size_t SlotsPerRequest = 2;
/// Maximum time after the end of a member's fault at which a repair may still
/// respond to it.
constexpr std::int64_t RepairAfterFaultMs = 30000;
} // namespace

std::string StreamWorld::shardOf(const std::string &Group) const {
  for (const auto &[Domain, Stored] : m_State.m_World.stored())
    if (Stored.m_Groups.count(Group) != 0)
      return m_State.m_World.leases(0).shardOfDomain(Domain);
  return "";
}

std::size_t StreamWorld::holderOf(const std::string &Group) const {
  const std::string Shard = shardOf(Group);
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    if (m_State.isRunning(Index) && m_State.m_World.leases(Index).isHeld(
                                        Shard, m_State.m_World.nodeTime(Index)))
      return Index;
  return m_Nodes.size();
}

void StreamWorld::publishViews() {
  const std::int64_t Now = m_State.m_World.now();
  for (const auto &[Domain, Stored] : m_State.m_World.stored())
    for (const auto &[Id, Group] : Stored.m_Groups) {
      const auto Found = m_State.m_World.views().find(Id);
      if (Found == m_State.m_World.views().end() ||
          Found->second.m_PublishedAt != Now)
        continue;
      const ServingView &Serving = Found->second.m_View;
      GroupView View;
      View.m_Group = Id;
      View.m_Deployment = Group.m_Deployment;
      View.m_Generation = Serving.m_Generation;
      View.m_HeadAddress = Serving.m_Head;
      View.m_Zone = "z" + Domain.substr(1);
      View.m_Capability.m_ContextLength = 1000;
      std::size_t Load = 0;
      if (Serving.m_Serving) {
        const FakeHead &Server = m_Heads.at(Serving.m_Head);
        View.m_StartId = Server.startId();
        Load = Server.m_InFlight.size();
        const std::size_t Holder = holderOf(Id);
        if (Holder < m_Nodes.size())
          View.m_Warm = m_Nodes[Holder]->m_Granters[shardOf(Id)].warmStartId(
                            Id) == View.m_StartId;
      }
      for (std::size_t Node = 0; Node < m_Nodes.size(); ++Node) {
        if (!m_State.m_Cluster.isUp(Node) || m_State.m_Island[Node] != 0 ||
            m_State.isLost())
          continue;
        const int StartCount = m_Nodes[Node]->m_Starts;
        m_State.m_World.after(m_State.delay(), [=] {
          m_State.m_World.whenAwake(Node, StartCount, [=] {
            if (m_Nodes[Node]->m_Starts == StartCount)
              deliverView(Node, View, Serving.m_Serving, Now, Load);
          });
        });
      }
    }
}

void StreamWorld::deliverView(std::size_t Index, const GroupView &Published,
                              bool IsServing, std::int64_t PublishedAt,
                              std::size_t Load) {
  RequestNode &Node = *m_Nodes[Index];
  std::int64_t &NewestPublishedAt = Node.m_ViewAt[Published.m_Group];
  if (!m_State.m_Cluster.isUp(Index) || PublishedAt < NewestPublishedAt)
    return;
  NewestPublishedAt = PublishedAt;
  if (!IsServing) {
    Node.m_Table.remove(Published.m_Group);
    return;
  }
  const std::int64_t Age = m_State.m_World.now() - PublishedAt;
  const MonotonicTime Now = m_State.m_World.nodeTime(Index);
  GroupView View = Published;
  View.m_ViewExpiry = Now + std::chrono::milliseconds(ViewExpiryMs - Age);
  const ConfigurationView &Configuration =
      *m_State.m_Cluster.replica(Index).view();
  for (const auto &[Domain, Stored] : m_State.m_World.stored()) {
    const auto Group = Stored.m_Groups.find(View.m_Group);
    if (Group == Stored.m_Groups.end())
      continue;
    for (const GroupMember &Member : Group->second.m_Members)
      View.m_Leaving |= Configuration.isVmDrained(Member.m_Vm);
  }
  Node.m_Slots.onStartId(View.m_Group, View.m_StartId);
  Node.m_Table.update(View);
  LoadReport Report;
  Report.m_Running = Load;
  Report.m_Capacity = FakeHead::WarmCapacity;
  Report.m_At = Now - std::chrono::milliseconds(Age);
  Node.m_Table.onLoadReport(View.m_Group, Report);
}

void StreamWorld::runGranters() {
  for (const auto &[Domain, Stored] : m_State.m_World.stored()) {
    const std::string Shard = m_State.m_World.leases(0).shardOfDomain(Domain);
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      if (!m_State.isRunning(Index))
        continue;
      const LeaseManager &Leases = m_State.m_World.leases(Index);
      const MonotonicTime Now = m_State.m_World.nodeTime(Index);
      SlotGranter &Granter = m_Nodes[Index]->m_Granters[Shard];
      if (!Leases.isHeld(Shard, Now)) {
        Granter.onLeaseLost();
        continue;
      }
      Granter.onLease(Leases.epoch(Shard), Leases.heldUntil(Shard), Now);
      for (const auto &[Id, Group] : Stored.m_Groups) {
        if (Group.m_Members.empty() || m_State.isLost())
          continue;
        const FakeEngine &Engine =
            m_State.m_World.engine(Group.m_Members.front().m_Vm);
        if (!Engine.m_Up || Engine.m_Partitioned)
          continue;
        const ServerReport Report =
            m_Heads.at(Group.m_Members.front().m_Vm).report(Id);
        const int StartCount = m_Nodes[Index]->m_Starts;
        m_State.m_World.after(m_State.delay(), [=] {
          m_State.m_World.whenAwake(Index, StartCount, [=] {
            if (m_Nodes[Index]->m_Starts == StartCount)
              m_Nodes[Index]->m_Granters[Shard].onReport(
                  Report, Now, m_State.m_World.nodeTime(Index));
          });
        });
      }
    }
  }
}

void StreamWorld::askSlots() {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    if (!m_State.isRunning(Index))
      continue;
    for (const char *Deployment : {"large", "small"})
      for (const Candidate &Group :
           m_Nodes[Index]->m_Table.candidates(Deployment))
        if (!Group.m_View->m_Warm)
          askSlots(Index, Group.m_View->m_Group);
  }
}

void StreamWorld::askSlots(std::size_t Index, const std::string &Group) {
  const SlotRequest Request = m_Nodes[Index]->m_Slots.makeRequest(
      Group, SlotsPerRequest, m_State.m_World.nodeTime(Index));
  const std::size_t Holder = holderOf(Group);
  if (Holder == m_Nodes.size() || !areConnected(Index, Holder) ||
      m_State.isLost())
    return;
  const int StartCount = m_Nodes[Index]->m_Starts;
  const int HolderStartCount = m_Nodes[Holder]->m_Starts;
  const std::string Shard = shardOf(Group);
  m_State.m_World.after(m_State.delay(), [=] {
    m_State.m_World.whenAwake(Holder, HolderStartCount, [=] {
      if (m_Nodes[Holder]->m_Starts != HolderStartCount)
        return;
      const auto Response = m_Nodes[Holder]->m_Granters[Shard].onRequest(
          Request, m_State.m_World.nodeTime(Holder));
      const auto *Grant = std::get_if<SlotGrant>(&Response);
      if (Grant == nullptr || m_State.isLost())
        return;
      m_State.m_Log.count("slot grant");
      m_State.m_World.after(m_State.delay(), [=, Granted = *Grant] {
        m_State.m_World.whenAwake(Index, StartCount, [=] {
          if (m_Nodes[Index]->m_Starts == StartCount)
            m_Nodes[Index]->m_Slots.onGrant(Granted,
                                            m_State.m_World.nodeTime(Index));
        });
      });
    });
  });
}

void StreamWorld::onEngineStop(const std::string &Vm) {
  FakeHead &Server = m_Heads.at(Vm);
  const FakeEngine &Engine = m_State.m_World.engine(Vm);
  if (Server.m_InFlight.empty() || !Engine.m_Up)
    return;
  const std::int64_t Now = m_State.m_World.now();
  for (const auto &[Domain, Stored] : m_State.m_World.stored()) {
    if (Domain != Vm.substr(0, 2))
      continue;
    // A stop counts as planned unless a VM of the domain had a recent fault
    // that a repair may be responding to.
    for (const auto &[Name, Entry] : Stored.m_Vms) {
      const auto FaultEnd = m_State.m_FaultAt.find(Name);
      if (FaultEnd != m_State.m_FaultAt.end() &&
          Now - FaultEnd->second < RepairAfterFaultMs)
        return;
    }
  }
  const EngineRequest &EndedRequest = Server.m_InFlight.begin()->second;
  m_State.m_Log.violate("I9", fmt::format("a planned stop of {} cut {}", Vm,
                                          EndedRequest.m_Stream));
}

} // namespace fulmarwinch
