#include "node/group_control.h"

#include "core/log.h"
#include "core/rendezvous.h"
#include "node/slot_codec.h"

#include "fmt/format.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fulmarwinch {

namespace {

/// Number of nodes that receive the task of a group: the monitor and a standby
/// that takes over if the monitor fails.
constexpr std::size_t MonitorNodesPerGroup = 2;
/// A node that holds no shard reads the VM list once in this many periods.
constexpr unsigned PeriodsPerVmListRead = 15;

DeploymentSpecs toDeploymentSpecs(const ConfigurationView &View) {
  DeploymentSpecs Specs;
  for (const auto &[Id, Entry] : View.entries()) {
    if (Id.m_Kind != EntryKind::Deployment)
      continue;
    const Deployment *Found = View.deployment(Id.m_Name);
    if (!Found)
      continue;
    DeploymentSpec Spec;
    Spec.m_Name = Found->m_Name;
    Spec.m_Model = Found->m_Model;
    Spec.m_Version = Found->m_Version;
    Spec.m_VmsPerGroup = static_cast<std::size_t>(Found->m_VmsPerGroup);
    Spec.m_Replicas = static_cast<std::size_t>(Found->m_Replicas);
    Spec.m_Priority = static_cast<int>(Found->m_Priority);
    Spec.m_DowntimeWeight = Found->m_DowntimeWeight;
    Spec.m_StrandedWeight = Found->m_StrandedWeight;
    Spec.m_EngineChecksFencing = Found->m_EngineChecksFencing;
    Specs.emplace(Spec.m_Name, Spec);
  }
  return Specs;
}

} // namespace

GroupControl::GroupControl(const NodeSettings &Settings,
                           const std::string &Writer, ObjectStore &Store,
                           TaskThread &ControlThread, PeerService &Peers,
                           EngineClient &Engines, Metrics &NodeMetrics)
    : m_Settings(Settings), m_Store(Store), m_ControlThread(ControlThread),
      m_Peers(Peers), m_Engines(Engines), m_Metrics(NodeMetrics),
      m_Leases(LeaseSettings{}, Settings.m_Region, Settings.m_Node, Writer),
      m_Controller(GroupSettings{}, Writer,
                   std::make_shared<const CostRepairPolicy>()) {}

void GroupControl::setConfiguration(ConfigurationView::Pointer View) {
  m_View = std::move(View);
  m_Controller.setDeployments(toDeploymentSpecs(*m_View));
  updateControllerVms();
}

void GroupControl::startStoreActions(std::vector<StoreAction> Actions,
                                     bool ForLeases) {
  for (StoreAction &Action : Actions)
    m_Store.start(
        std::move(Action), [this, ForLeases](const StoreCompletion &Event) {
          m_ControlThread.post([this, ForLeases, Event] {
            const MonotonicTime Now = monotonicNow();
            const auto *Get = std::get_if<GetCompleted>(&Event);
            const auto *Put = std::get_if<WriteCompleted>(&Event);
            if (ForLeases) {
              startStoreActions(Get ? m_Leases.onGetCompleted(*Get, Now)
                                    : m_Leases.onWriteCompleted(*Put, Now),
                                true);
              return;
            }
            Get ? m_Controller.onGetCompleted(*Get, Now)
                : m_Controller.onWriteCompleted(*Put, Now);
            tickGroups(Now);
          });
        });
}

void GroupControl::tickLeases(MonotonicTime Now) {
  std::vector<std::string> AliveNodes;
  for (const auto &[Id, Member] : m_Peers.membership().table().members())
    if (Member.m_State == MemberState::Alive &&
        Member.m_Region == m_Settings.m_Region)
      AliveNodes.push_back(Id);
  m_Leases.setLiveNodes(std::move(AliveNodes));
  startStoreActions(m_Leases.tick(Now), true);
  updateGranters(Now);
  m_Metrics.setGauge("held_shards",
                     static_cast<double>(m_Leases.heldShards(Now).size()));
}

void GroupControl::updateGranters(MonotonicTime Now) {
  for (const std::string &Shard : m_Leases.heldShards(Now))
    m_Granters[Shard].onLease(m_Leases.epoch(Shard), m_Leases.heldUntil(Shard),
                              Now);
  for (auto &[Shard, Granter] : m_Granters)
    if (!m_Leases.isHeld(Shard, Now))
      Granter.onLeaseLost();
}

void GroupControl::tickVms() {
  // Only shard holders use the list. If every node read it in each period,
  // 4,000 nodes would exhaust the platform's 2,000 reads per second.
  const bool HoldsShard = !m_Leases.heldShards(monotonicNow()).empty();
  if (!HoldsShard && !m_Vms.empty() &&
      ++m_SkippedVmLists < PeriodsPerVmListRead)
    return;
  m_SkippedVmLists = 0;
  m_Store.listVms([this](const VmsListed &List) {
    m_ControlThread.post([this, List] { onVmList(List); });
  });
}

void GroupControl::onVmList(const VmsListed &List) {
  if (List.m_Outcome != StoreOutcome::Succeeded)
    return;
  std::map<std::string, VmRow> ListedVms;
  for (const PlatformVm &Vm : List.m_Vms) {
    VmRow &Row = ListedVms[Vm.m_Vm];
    if (const auto Found = m_Vms.find(Vm.m_Vm); Found != m_Vms.end())
      Row.m_IsPollInFlight = Found->second.m_IsPollInFlight;
    Row.m_PlatformVm = Vm;
  }
  m_Vms = std::move(ListedVms);
  updateControllerVms();
}

void GroupControl::updateControllerVms() {
  std::vector<ListedVm> Listed;
  for (const auto &[Name, Row] : m_Vms) {
    ListedVm Vm;
    Vm.m_Vm = Name;
    Vm.m_Zone = Row.m_PlatformVm.m_Zone;
    Vm.m_Domain = Row.m_PlatformVm.m_Domain;
    Vm.m_Incarnation = Row.m_PlatformVm.m_Incarnation;
    Vm.m_RemovalAnnounced =
        Row.m_PlatformVm.m_State == PlatformVmState::RemovalAnnounced;
    Vm.m_Drained = m_View->isVmDrained(Name) ||
                   !m_View->isZoneInService(Row.m_PlatformVm.m_Zone);
    Listed.push_back(std::move(Vm));
  }
  m_Controller.setVms(Listed);
}

std::map<std::string, std::uint64_t>
GroupControl::heldDomains(MonotonicTime Now) const {
  std::map<std::string, std::uint64_t> HeldDomains;
  for (const auto &[Name, Row] : m_Vms) {
    const std::string Shard = m_Leases.shardOfDomain(Row.m_PlatformVm.m_Domain);
    if (m_Leases.isHeld(Shard, Now))
      HeldDomains[Row.m_PlatformVm.m_Domain] = m_Leases.epoch(Shard);
  }
  return HeldDomains;
}

void GroupControl::tickGroups(MonotonicTime Now) {
  const std::map<std::string, std::uint64_t> HeldDomains = heldDomains(Now);
  GroupActions Actions = m_Controller.tick(Now, HeldDomains);
  startStoreActions(std::move(Actions.m_StoreActions), false);
  sendOrders(Actions.m_Orders);
  pollEngines(HeldDomains);
  sendTasks(HeldDomains);
}

void GroupControl::pollEngines(
    const std::map<std::string, std::uint64_t> &HeldDomains) {
  for (auto &[Name, Row] : m_Vms) {
    if (Row.m_IsPollInFlight ||
        HeldDomains.count(Row.m_PlatformVm.m_Domain) == 0)
      continue;
    Row.m_IsPollInFlight = true;
    m_Engines.poll(Row.m_PlatformVm.m_Address,
                   [this, Vm = Name](const EngineStatus &Status) {
                     onStatus(Vm, Status);
                   });
  }
}

void GroupControl::onStatus(const std::string &Vm, const EngineStatus &Status) {
  if (const auto Found = m_Vms.find(Vm); Found != m_Vms.end())
    Found->second.m_IsPollInFlight = false;
  m_Controller.onEngineReport(Vm, Status.m_Report);
  if (Status.m_Report.m_Reachable)
    reportLoadToGranter(Vm, Status);
}

void GroupControl::reportLoadToGranter(const std::string &Vm,
                                       const EngineStatus &Status) {
  const auto Found = m_GroupByHeadVm.find(Vm);
  if (Found == m_GroupByHeadVm.end())
    return;
  if (SlotGranter *Granter = granterOfGroup(Found->second))
    Granter->onReport(toServerReport(Found->second, Status),
                      Status.m_Report.m_PolledAt, monotonicNow());
}

SlotGranter *GroupControl::granterOfGroup(const std::string &Group) {
  const auto Domain = m_DomainByGroup.find(Group);
  if (Domain == m_DomainByGroup.end())
    return nullptr;
  const auto Granter = m_Granters.find(m_Leases.shardOfDomain(Domain->second));
  return Granter == m_Granters.end() ? nullptr : &Granter->second;
}

void GroupControl::sendOrders(const std::vector<EngineOrder> &Orders) {
  std::map<std::string, std::string> Addresses;
  for (const auto &[Name, Row] : m_Vms)
    Addresses[Name] = Row.m_PlatformVm.m_Address;
  for (const EngineOrder &Order : Orders) {
    const auto Vm = m_Vms.find(Order.m_Vm);
    if (Vm == m_Vms.end())
      continue;
    const std::string Shard =
        m_Leases.shardOfDomain(Vm->second.m_PlatformVm.m_Domain);
    if (!m_Leases.isHeld(Shard, monotonicNow()))
      continue;
    m_Metrics.increment(
        fmt::format("orders_total{{order=\"{}\"}}",
                    nameOf(EngineOrderKindNames, Order.m_Kind)));
    m_Engines.sendOrder(Order, Vm->second.m_PlatformVm.m_Address, Addresses,
                        [this](const OrderCompleted &Completed) {
                          m_Controller.onOrderCompleted(Completed,
                                                        monotonicNow());
                        });
  }
}

void GroupControl::sendTasks(
    const std::map<std::string, std::uint64_t> &HeldDomains) {
  for (const auto &[Domain, Epoch] : HeldDomains)
    if (const Assignment *DomainAssignment = m_Controller.assignment(Domain))
      sendDomainTasks(Domain, Epoch, *DomainAssignment);
}

void GroupControl::removeGroups(const std::string &Domain) {
  for (auto Entry = m_GroupByHeadVm.begin(); Entry != m_GroupByHeadVm.end();) {
    const auto Found = m_DomainByGroup.find(Entry->second);
    const bool IsOfDomain =
        Found != m_DomainByGroup.end() && Found->second == Domain;
    Entry = IsOfDomain ? m_GroupByHeadVm.erase(Entry) : std::next(Entry);
  }
  for (auto Entry = m_DomainByGroup.begin(); Entry != m_DomainByGroup.end();)
    Entry = Entry->second == Domain ? m_DomainByGroup.erase(Entry)
                                    : std::next(Entry);
}

void GroupControl::sendDomainTasks(const std::string &Domain,
                                   std::uint64_t Epoch,
                                   const Assignment &DomainAssignment) {
  std::map<std::string, std::vector<std::string>> NodesByZone;
  std::vector<std::string> AllNodes;
  for (const MemberRecord &Member : m_Peers.reachableMembers()) {
    NodesByZone[Member.m_Zone].push_back(Member.m_NodeId);
    AllNodes.push_back(Member.m_NodeId);
  }
  removeGroups(Domain);
  std::map<std::string, Json> TasksByNode;
  std::set<std::string> &NotifiedNodes = m_NotifiedNodes[Domain];
  for (const std::string &Node : std::exchange(NotifiedNodes, {}))
    if (std::find(AllNodes.begin(), AllNodes.end(), Node) != AllNodes.end())
      TasksByNode[Node] = Json::array();
  for (const auto &[Id, Group] : DomainAssignment.m_Groups) {
    const MonitorTask Task = makeTask(Id, Group, DomainAssignment, Epoch);
    m_DomainByGroup[Id] = Domain;
    if (!Task.m_Members.empty())
      m_GroupByHeadVm[Task.m_Members.front().m_Vm] = Id;
    const std::vector<std::string> &NodesInZone = NodesByZone[Task.m_Zone];
    const std::vector<std::string> &Nodes =
        NodesInZone.empty() ? AllNodes : NodesInZone;
    for (const std::string &Node : Nodes)
      if (rendezvousRank(Id, Nodes, Node) < MonitorNodesPerGroup) {
        Json &Tasks = TasksByNode[Node];
        if (Tasks.is_null())
          Tasks = Json::array();
        Tasks.push_back(toJson(Task));
      }
  }
  // The message lists all groups of the domain, including those that the
  // receiver does not monitor: a listed group without a task has another
  // monitor, and a group that is not listed has been disbanded.
  Json Groups = Json::array();
  for (const auto &[Id, Group] : DomainAssignment.m_Groups)
    Groups.push_back(Id);
  for (const auto &[Node, Tasks] : TasksByNode) {
    NotifiedNodes.insert(Node);
    m_Peers.send(Node, PeerChannel::Tasks,
                 {{"d", Domain},
                  {"e", Epoch},
                  {"n", DomainAssignment.m_Generation},
                  {"g", Groups},
                  {"t", Tasks}});
  }
}

MonitorTask GroupControl::makeTask(const std::string &Id,
                                   const GroupEntry &Group,
                                   const Assignment &DomainAssignment,
                                   std::uint64_t Epoch) const {
  MonitorTask Task;
  Task.m_Group = Id;
  Task.m_Domain = DomainAssignment.m_Domain;
  Task.m_Deployment = Group.m_Deployment;
  Task.m_Version = Group.m_Version;
  Task.m_Generation = Group.m_Generation;
  Task.m_State = Group.m_State;
  Task.m_Holder = m_Settings.m_Node;
  Task.m_Epoch = Epoch;
  for (const GroupMember &Member : Group.m_Members) {
    const auto Vm = m_Vms.find(Member.m_Vm);
    MonitoredMember Monitored{Member.m_Vm, ""};
    if (Vm != m_Vms.end()) {
      Monitored.m_Address = Vm->second.m_PlatformVm.m_Address;
      Task.m_Zone = Vm->second.m_PlatformVm.m_Zone;
    }
    Task.m_Members.push_back(std::move(Monitored));
  }
  const auto Granter =
      m_Granters.find(m_Leases.shardOfDomain(DomainAssignment.m_Domain));
  if (Granter != m_Granters.end())
    Task.m_WarmStartId = Granter->second.warmStartId(Id).value_or("");
  return Task;
}

void GroupControl::onSlotRequest(const std::string &From,
                                 const SlotRequest &Request,
                                 MonotonicTime Now) {
  SlotGranter *Granter = granterOfGroup(Request.m_Server);
  if (!Granter)
    return;
  const std::variant<SlotGrant, SlotRefusal> Answer =
      Granter->onRequest(Request, Now);
  if (const auto *Grant = std::get_if<SlotGrant>(&Answer))
    m_Peers.send(From, PeerChannel::Slots, toJson(*Grant));
  else
    m_Metrics.increment(
        fmt::format("slot_refusals_total{{reason=\"{}\"}}",
                    nameOf(SlotRefusalNames, std::get<SlotRefusal>(Answer))));
}

void GroupControl::stop() { m_Leases.stop(); }

} // namespace fulmarwinch
