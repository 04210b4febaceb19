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

/// Nodes that get the task of a group: the monitor and one that takes over
/// when the monitor dies.
constexpr std::size_t MonitorsPerGroup = 2;
/// A node without a shard reads the VM list once in so many periods.
constexpr unsigned VmListSkips = 15;

DeploymentSpecs toSpecs(const ConfigurationView &View) {
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
                           ControlThread &Control, PeerService &Peers,
                           EngineClient &Engines, Metrics &Figures)
    : m_Settings(Settings), m_Store(Store), m_Control(Control), m_Peers(Peers),
      m_Engines(Engines), m_Metrics(Figures),
      m_Leases(LeaseSettings{}, Settings.m_Region, Settings.m_Node, Writer),
      m_Groups(GroupSettings{}, Writer,
               std::make_shared<const CostRepairPolicy>()) {}

void GroupControl::setConfiguration(ConfigurationView::Pointer View) {
  m_View = std::move(View);
  m_Groups.setDeployments(toSpecs(*m_View));
  applyVms();
}

void GroupControl::startStoreActions(std::vector<StoreAction> Actions,
                                     bool ForLeases) {
  for (StoreAction &Action : Actions)
    m_Store.start(
        std::move(Action), [this, ForLeases](const StoreCompletion &Event) {
          m_Control.post([this, ForLeases, Event] {
            const MonotonicTime Now = monotonicNow();
            const auto *Get = std::get_if<GetCompleted>(&Event);
            const auto *Put = std::get_if<PutCompleted>(&Event);
            if (ForLeases) {
              startStoreActions(Get ? m_Leases.onGetCompleted(*Get, Now)
                                    : m_Leases.onPutCompleted(*Put, Now),
                                true);
              return;
            }
            Get ? m_Groups.onGetCompleted(*Get, Now)
                : m_Groups.onPutCompleted(*Put, Now);
            tickGroups(Now);
          });
        });
}

void GroupControl::tickLeases(MonotonicTime Now) {
  std::vector<std::string> Live;
  for (const auto &[Id, Member] : m_Peers.membership().table().members())
    if (Member.m_State == MemberState::Alive &&
        Member.m_Region == m_Settings.m_Region)
      Live.push_back(Id);
  m_Leases.setLiveNodes(std::move(Live));
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
  // Only a holder acts on the list. If every node read it each time, 4,000
  // nodes would use up the platform's 2,000 reads per second.
  const bool IsHolder = !m_Leases.heldShards(monotonicNow()).empty();
  if (!IsHolder && !m_Vms.empty() && ++m_SkippedVmLists < VmListSkips)
    return;
  m_SkippedVmLists = 0;
  m_Store.listVms([this](const VmsListed &List) {
    m_Control.post([this, List] { onVms(List); });
  });
}

void GroupControl::onVms(const VmsListed &List) {
  if (List.m_Outcome != StoreOutcome::Applied)
    return;
  std::map<std::string, VmRow> Next;
  for (const PlatformVm &Vm : List.m_Vms) {
    VmRow &Row = Next[Vm.m_Vm];
    if (const auto Found = m_Vms.find(Vm.m_Vm); Found != m_Vms.end())
      Row.m_IsPolled = Found->second.m_IsPolled;
    Row.m_Listed = Vm;
  }
  m_Vms = std::move(Next);
  applyVms();
}

void GroupControl::applyVms() {
  std::vector<ListedVm> Listed;
  for (const auto &[Name, Row] : m_Vms) {
    ListedVm Vm;
    Vm.m_Vm = Name;
    Vm.m_Zone = Row.m_Listed.m_Zone;
    Vm.m_Domain = Row.m_Listed.m_Domain;
    Vm.m_Incarnation = Row.m_Listed.m_Incarnation;
    Vm.m_Leaving = Row.m_Listed.m_State == ListedVmState::Leaving;
    Vm.m_Drained = m_View->isVmDrained(Name) ||
                   !m_View->isZoneInService(Row.m_Listed.m_Zone);
    Listed.push_back(std::move(Vm));
  }
  m_Groups.setVms(Listed);
}

std::map<std::string, std::uint64_t>
GroupControl::heldDomains(MonotonicTime Now) const {
  std::map<std::string, std::uint64_t> Held;
  for (const auto &[Name, Row] : m_Vms) {
    const std::string Shard = m_Leases.shardOfDomain(Row.m_Listed.m_Domain);
    if (m_Leases.isHeld(Shard, Now))
      Held[Row.m_Listed.m_Domain] = m_Leases.epoch(Shard);
  }
  return Held;
}

void GroupControl::tickGroups(MonotonicTime Now) {
  const std::map<std::string, std::uint64_t> Held = heldDomains(Now);
  GroupActions Actions = m_Groups.tick(Now, Held);
  startStoreActions(std::move(Actions.m_StoreActions), false);
  sendOrders(Actions.m_Orders);
  pollEngines(Held);
  sendTasks(Held);
}

void GroupControl::pollEngines(
    const std::map<std::string, std::uint64_t> &Held) {
  for (auto &[Name, Row] : m_Vms) {
    if (Row.m_IsPolled || Held.count(Row.m_Listed.m_Domain) == 0)
      continue;
    Row.m_IsPolled = true;
    m_Engines.poll(Row.m_Listed.m_Address,
                   [this, Vm = Name](const EngineStatus &Status) {
                     onStatus(Vm, Status);
                   });
  }
}

void GroupControl::onStatus(const std::string &Vm, const EngineStatus &Status) {
  if (const auto Found = m_Vms.find(Vm); Found != m_Vms.end())
    Found->second.m_IsPolled = false;
  m_Groups.onEngineReport(Vm, Status.m_Report);
  if (Status.m_Report.m_Reachable)
    feedGranter(Vm, Status);
}

void GroupControl::feedGranter(const std::string &Vm,
                               const EngineStatus &Status) {
  const auto Found = m_GroupOfHead.find(Vm);
  if (Found == m_GroupOfHead.end())
    return;
  if (SlotGranter *Granter = granterOfGroup(Found->second))
    Granter->onReport(toServerReport(Found->second, Status),
                      Status.m_Report.m_At, monotonicNow());
}

SlotGranter *GroupControl::granterOfGroup(const std::string &Group) {
  const auto Domain = m_DomainOfGroup.find(Group);
  if (Domain == m_DomainOfGroup.end())
    return nullptr;
  const auto Granter = m_Granters.find(m_Leases.shardOfDomain(Domain->second));
  return Granter == m_Granters.end() ? nullptr : &Granter->second;
}

void GroupControl::sendOrders(const std::vector<EngineOrder> &Orders) {
  std::map<std::string, std::string> Addresses;
  for (const auto &[Name, Row] : m_Vms)
    Addresses[Name] = Row.m_Listed.m_Address;
  for (const EngineOrder &Order : Orders) {
    const auto Vm = m_Vms.find(Order.m_Vm);
    if (Vm == m_Vms.end())
      continue;
    const std::string Shard =
        m_Leases.shardOfDomain(Vm->second.m_Listed.m_Domain);
    if (!m_Leases.isHeld(Shard, monotonicNow()))
      continue;
    m_Metrics.count(fmt::format("orders_total{{order=\"{}\"}}",
                                nameOf(OrderKindNames, Order.m_Order)));
    m_Engines.order(Order, Vm->second.m_Listed.m_Address, Addresses,
                    [this](const OrderCompleted &Done) {
                      m_Groups.onOrderCompleted(Done, monotonicNow());
                    });
  }
}

void GroupControl::sendTasks(const std::map<std::string, std::uint64_t> &Held) {
  for (const auto &[Domain, Epoch] : Held)
    if (const Assignment *Value = m_Groups.assignment(Domain))
      sendDomainTasks(Domain, Epoch, *Value);
}

void GroupControl::forgetGroups(const std::string &Domain) {
  for (auto Entry = m_GroupOfHead.begin(); Entry != m_GroupOfHead.end();) {
    const auto Found = m_DomainOfGroup.find(Entry->second);
    const bool IsOfDomain =
        Found != m_DomainOfGroup.end() && Found->second == Domain;
    Entry = IsOfDomain ? m_GroupOfHead.erase(Entry) : std::next(Entry);
  }
  for (auto Entry = m_DomainOfGroup.begin(); Entry != m_DomainOfGroup.end();)
    Entry = Entry->second == Domain ? m_DomainOfGroup.erase(Entry)
                                    : std::next(Entry);
}

void GroupControl::sendDomainTasks(const std::string &Domain,
                                   std::uint64_t Epoch,
                                   const Assignment &Value) {
  std::map<std::string, std::vector<std::string>> NodesOfZone;
  std::vector<std::string> AllNodes;
  for (const MemberRecord &Member : m_Peers.reachableMembers()) {
    NodesOfZone[Member.m_Zone].push_back(Member.m_Id);
    AllNodes.push_back(Member.m_Id);
  }
  forgetGroups(Domain);
  std::map<std::string, Json> TasksOfNode;
  std::set<std::string> &Informed = m_Informed[Domain];
  for (const std::string &Node : std::exchange(Informed, {}))
    if (std::find(AllNodes.begin(), AllNodes.end(), Node) != AllNodes.end())
      TasksOfNode[Node] = Json::array();
  for (const auto &[Id, Group] : Value.m_Groups) {
    const MonitorTask Task = makeTask(Id, Group, Value, Epoch);
    m_DomainOfGroup[Id] = Domain;
    if (!Task.m_Members.empty())
      m_GroupOfHead[Task.m_Members.front().m_Vm] = Id;
    const std::vector<std::string> &InZone = NodesOfZone[Task.m_Zone];
    const std::vector<std::string> &Nodes = InZone.empty() ? AllNodes : InZone;
    for (const std::string &Node : Nodes)
      if (rendezvousRank(Id, Nodes, Node) < MonitorsPerGroup) {
        Json &Tasks = TasksOfNode[Node];
        if (Tasks.is_null())
          Tasks = Json::array();
        Tasks.push_back(toJson(Task));
      }
  }
  // A group that is in the domain but not among a node's tasks has another
  // monitor; one that is not in the domain is disbanded.
  Json Groups = Json::array();
  for (const auto &[Id, Group] : Value.m_Groups)
    Groups.push_back(Id);
  for (const auto &[Node, Tasks] : TasksOfNode) {
    Informed.insert(Node);
    m_Peers.send(Node, PeerChannel::Tasks,
                 {{"d", Domain},
                  {"e", Epoch},
                  {"n", Value.m_Generation},
                  {"g", Groups},
                  {"t", Tasks}});
  }
}

MonitorTask GroupControl::makeTask(const std::string &Id,
                                   const GroupEntry &Group,
                                   const Assignment &Value,
                                   std::uint64_t Epoch) const {
  MonitorTask Task;
  Task.m_Group = Id;
  Task.m_Domain = Value.m_Domain;
  Task.m_Deployment = Group.m_Deployment;
  Task.m_Version = Group.m_Version;
  Task.m_Generation = Group.m_Generation;
  Task.m_State = Group.m_State;
  Task.m_Holder = m_Settings.m_Node;
  Task.m_Epoch = Epoch;
  for (const GroupMember &Member : Group.m_Members) {
    const auto Vm = m_Vms.find(Member.m_Vm);
    MonitoredMember Row{Member.m_Vm, ""};
    if (Vm != m_Vms.end()) {
      Row.m_Address = Vm->second.m_Listed.m_Address;
      Task.m_Zone = Vm->second.m_Listed.m_Zone;
    }
    Task.m_Members.push_back(std::move(Row));
  }
  const auto Granter = m_Granters.find(m_Leases.shardOfDomain(Value.m_Domain));
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
    m_Metrics.count(
        fmt::format("slot_refusals_total{{reason=\"{}\"}}",
                    nameOf(SlotRefusalNames, std::get<SlotRefusal>(Answer))));
}

void GroupControl::stop() { m_Leases.stop(); }

} // namespace fulmarwinch
