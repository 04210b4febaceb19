#include "randomised/stream_simulation.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::int64_t ViewExpiryMs = 1500;
constexpr std::size_t SlotsPerRequest = 2;
/// Time after the end of a member's fault within which an engine stop may still
/// be part of the repair of that fault.
constexpr std::int64_t RepairAfterFaultMs = 30000;
} // namespace

std::string StreamSimulation::shardOf(const std::string &Group) const {
  for (const auto &[Domain, Stored] : m_State.m_Groups.storedAssignments())
    if (Stored.m_Groups.count(Group) != 0)
      return m_State.m_Groups.leases(0).shardOfDomain(Domain);
  return "";
}

std::size_t StreamSimulation::leaseHolderOf(const std::string &Group) const {
  const std::string Shard = shardOf(Group);
  for (std::size_t Index = 0; Index < m_RequestPaths.size(); ++Index)
    if (m_State.isRunning(Index) &&
        m_State.m_Groups.leases(Index).isHeld(Shard,
                                              m_State.m_Groups.nodeTime(Index)))
      return Index;
  return m_RequestPaths.size();
}

void StreamSimulation::publishViews() {
  const std::int64_t Now = m_State.m_Groups.nowMs();
  for (const auto &[Domain, Stored] : m_State.m_Groups.storedAssignments())
    for (const auto &[Id, Group] : Stored.m_Groups) {
      const auto Found = m_State.m_Groups.publishedViews().find(Id);
      if (Found == m_State.m_Groups.publishedViews().end() ||
          Found->second.m_PublishedAt != Now)
        continue;
      const ServingView &Serving = Found->second.m_ServingView;
      GroupView View;
      View.m_Group = Id;
      View.m_Deployment = Group.m_Deployment;
      View.m_Generation = Serving.m_Generation;
      View.m_HeadAddress = Serving.m_Head;
      View.m_Zone = "z" + Domain.substr(1);
      View.m_Capability.m_ContextLength = 1000;
      std::size_t Load = 0;
      if (Serving.m_Serving) {
        const FakeEngineServer &Server = m_EngineServers.at(Serving.m_Head);
        View.m_StartId = Server.startId();
        Load = Server.m_InFlight.size();
        const std::size_t Holder = leaseHolderOf(Id);
        if (Holder < m_RequestPaths.size())
          View.m_Warm =
              m_RequestPaths[Holder]->m_SlotGranters[shardOf(Id)].warmStartId(
                  Id) == View.m_StartId;
      }
      for (std::size_t Node = 0; Node < m_RequestPaths.size(); ++Node) {
        if (!m_State.m_Configuration.isUp(Node) ||
            m_State.m_NodePartitions[Node] != 0 || m_State.drawMessageLoss())
          continue;
        const int StartCount = m_RequestPaths[Node]->m_NodeStartCount;
        m_State.m_Groups.scheduleAfter(m_State.randomMessageDelayMs(), [=] {
          m_State.m_Groups.runWhenUnpaused(Node, StartCount, [=] {
            if (m_RequestPaths[Node]->m_NodeStartCount == StartCount)
              deliverView(Node, View, Serving.m_Serving, Now, Load);
          });
        });
      }
    }
}

void StreamSimulation::deliverView(std::size_t Index,
                                   const GroupView &Published, bool IsServing,
                                   std::int64_t PublishedAt, std::size_t Load) {
  RequestPath &Node = *m_RequestPaths[Index];
  std::int64_t &NewestPublishedAt =
      Node.m_NewestViewPublishedAt[Published.m_Group];
  if (!m_State.m_Configuration.isUp(Index) || PublishedAt < NewestPublishedAt)
    return;
  NewestPublishedAt = PublishedAt;
  if (!IsServing) {
    Node.m_RoutingTable.removeGroup(Published.m_Group);
    return;
  }
  const std::int64_t Age = m_State.m_Groups.nowMs() - PublishedAt;
  const MonotonicTime Now = m_State.m_Groups.nodeTime(Index);
  GroupView View = Published;
  View.m_ViewExpiry = Now + std::chrono::milliseconds(ViewExpiryMs - Age);
  const ConfigurationView &Configuration =
      *m_State.m_Configuration.replica(Index).view();
  for (const auto &[Domain, Stored] : m_State.m_Groups.storedAssignments()) {
    const auto Group = Stored.m_Groups.find(View.m_Group);
    if (Group == Stored.m_Groups.end())
      continue;
    for (const GroupMember &Member : Group->second.m_Members)
      View.m_Draining |= Configuration.isVmDrained(Member.m_Vm);
  }
  Node.m_SlotHolder.onStartId(View.m_Group, View.m_StartId);
  Node.m_RoutingTable.updateView(View);
  LoadReport Report;
  Report.m_RunningRequests = Load;
  Report.m_Capacity = FakeEngineServer::WarmCapacity;
  Report.m_ReportedAt = Now - std::chrono::milliseconds(Age);
  Node.m_RoutingTable.onLoadReport(View.m_Group, Report);
}

void StreamSimulation::updateSlotGranters() {
  for (const auto &[Domain, Stored] : m_State.m_Groups.storedAssignments()) {
    const std::string Shard = m_State.m_Groups.leases(0).shardOfDomain(Domain);
    for (std::size_t Index = 0; Index < m_RequestPaths.size(); ++Index) {
      if (!m_State.isRunning(Index))
        continue;
      const LeaseManager &Leases = m_State.m_Groups.leases(Index);
      const MonotonicTime Now = m_State.m_Groups.nodeTime(Index);
      SlotGranter &Granter = m_RequestPaths[Index]->m_SlotGranters[Shard];
      if (!Leases.isHeld(Shard, Now)) {
        Granter.onLeaseLost();
        continue;
      }
      Granter.onLease(Leases.epoch(Shard), Leases.heldUntil(Shard), Now);
      for (const auto &[Id, Group] : Stored.m_Groups) {
        if (Group.m_Members.empty() || m_State.drawMessageLoss())
          continue;
        const FakeEngine &Engine =
            m_State.m_Groups.engine(Group.m_Members.front().m_Vm);
        if (!Engine.m_IsUp || Engine.m_IsPartitioned)
          continue;
        const ServerReport Report =
            m_EngineServers.at(Group.m_Members.front().m_Vm).report(Id);
        const int StartCount = m_RequestPaths[Index]->m_NodeStartCount;
        m_State.m_Groups.scheduleAfter(m_State.randomMessageDelayMs(), [=] {
          m_State.m_Groups.runWhenUnpaused(Index, StartCount, [=] {
            if (m_RequestPaths[Index]->m_NodeStartCount == StartCount)
              m_RequestPaths[Index]->m_SlotGranters[Shard].onReport(
                  Report, Now, m_State.m_Groups.nodeTime(Index));
          });
        });
      }
    }
  }
}

void StreamSimulation::requestSlots() {
  for (std::size_t Index = 0; Index < m_RequestPaths.size(); ++Index) {
    if (!m_State.isRunning(Index))
      continue;
    for (const char *Deployment : {"large", "small"})
      for (const Candidate &Group :
           m_RequestPaths[Index]->m_RoutingTable.candidates(Deployment))
        if (!Group.m_View->m_Warm)
          requestSlots(Index, Group.m_View->m_Group);
  }
}

void StreamSimulation::requestSlots(std::size_t Index,
                                    const std::string &Group) {
  const SlotRequest Request = m_RequestPaths[Index]->m_SlotHolder.makeRequest(
      Group, SlotsPerRequest, m_State.m_Groups.nodeTime(Index));
  const std::size_t Holder = leaseHolderOf(Group);
  if (Holder == m_RequestPaths.size() || !areConnected(Index, Holder) ||
      m_State.drawMessageLoss())
    return;
  const int StartCount = m_RequestPaths[Index]->m_NodeStartCount;
  const int HolderStartCount = m_RequestPaths[Holder]->m_NodeStartCount;
  const std::string Shard = shardOf(Group);
  m_State.m_Groups.scheduleAfter(m_State.randomMessageDelayMs(), [=] {
    m_State.m_Groups.runWhenUnpaused(Holder, HolderStartCount, [=] {
      if (m_RequestPaths[Holder]->m_NodeStartCount != HolderStartCount)
        return;
      const auto Response =
          m_RequestPaths[Holder]->m_SlotGranters[Shard].onRequest(
              Request, m_State.m_Groups.nodeTime(Holder));
      const auto *Grant = std::get_if<SlotGrant>(&Response);
      if (Grant == nullptr || m_State.drawMessageLoss())
        return;
      m_State.m_EventLog.count("slot grant");
      m_State.m_Groups.scheduleAfter(
          m_State.randomMessageDelayMs(), [=, Granted = *Grant] {
            m_State.m_Groups.runWhenUnpaused(Index, StartCount, [=] {
              if (m_RequestPaths[Index]->m_NodeStartCount == StartCount)
                m_RequestPaths[Index]->m_SlotHolder.onGrant(
                    Granted, m_State.m_Groups.nodeTime(Index));
            });
          });
    });
  });
}

void StreamSimulation::onEngineStop(const std::string &Vm) {
  FakeEngineServer &Server = m_EngineServers.at(Vm);
  const FakeEngine &Engine = m_State.m_Groups.engine(Vm);
  if (Server.m_InFlight.empty() || !Engine.m_IsUp)
    return;
  const std::int64_t Now = m_State.m_Groups.nowMs();
  for (const auto &[Domain, Stored] : m_State.m_Groups.storedAssignments()) {
    if (Domain != Vm.substr(0, 2))
      continue;
    // A stop counts as planned unless a VM of the domain had a recent fault
    // that a repair may be responding to.
    for (const auto &[Name, Entry] : Stored.m_Vms) {
      const auto FaultEnd = m_State.m_FaultEndsAt.find(Name);
      if (FaultEnd != m_State.m_FaultEndsAt.end() &&
          Now - FaultEnd->second < RepairAfterFaultMs)
        return;
    }
  }
  const EngineRequest &EndedRequest = Server.m_InFlight.begin()->second;
  m_State.m_EventLog.recordViolation(
      "I9",
      fmt::format("a planned stop of {} cut {}", Vm, EndedRequest.m_StreamId));
}

} // namespace fulmarwinch
