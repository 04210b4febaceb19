#ifndef FULMARWINCH_NODE_GROUP_CONTROL_H
#define FULMARWINCH_NODE_GROUP_CONTROL_H

#include "core/metrics.h"
#include "core/object_store.h"
#include "node/engine_client.h"
#include "node/monitor_task.h"
#include "node/peer_service.h"
#include "servers/admission/slot_granter.h"
#include "servers/configuration/configuration_view.h"
#include "servers/groups/group_controller.h"
#include "servers/lease/lease_manager.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace fulmarwinch {

/// Control plane of the shards whose leases this node holds: renews the leases,
/// forms and repairs groups, sends orders to engines, assigns groups to
/// monitors and grants slots. Runs on the control thread.
class GroupControl {
public:
  /// \p Writer must be unique for each start of the process.
  GroupControl(const NodeSettings &Settings, const std::string &Writer,
               ObjectStore &Store, TaskThread &ControlThread,
               PeerService &Peers, EngineClient &Engines, Metrics &NodeMetrics);

  void setConfiguration(ConfigurationView::Pointer View);

  /// Renews and acquires shard leases. Must be called every 100 ms.
  void tickLeases(MonotonicTime Now);
  /// Runs the group controller and polls the engines. Must be called every 250
  /// ms.
  void tickGroups(MonotonicTime Now);
  /// Reads the platform's VM list. Must be called every 2 s.
  void tickVms();

  /// Returns the availability zone of \p Vm in the platform's VM list, or an
  /// empty text if the VM is not listed.
  std::string zoneOfVm(const std::string &Vm) const {
    const auto Row = m_Vms.find(Vm);
    return Row == m_Vms.end() ? "" : Row->second.m_PlatformVm.m_Zone;
  }

  /// Answers a slot request of the node \p From, unless its group belongs to no
  /// shard of this node.
  void onSlotRequest(const std::string &From, const SlotRequest &Request,
                     MonotonicTime Now);

  /// Releases the leases for a graceful shutdown.
  void stop();
  bool isStopped(MonotonicTime Now) const { return m_Leases.isStopped(Now); }
  std::vector<std::string> heldShards(MonotonicTime Now) const {
    return m_Leases.heldShards(Now);
  }

private:
  struct VmRow {
    PlatformVm m_PlatformVm;
    bool m_IsPollInFlight = false;
  };

  void startStoreActions(std::vector<StoreAction> Actions, bool ForLeases);
  void onVmList(const VmsListed &List);
  void updateControllerVms();
  /// Returns the lease epoch of each fabric domain whose shard this node holds.
  std::map<std::string, std::uint64_t> heldDomains(MonotonicTime Now) const;
  void pollEngines(const std::map<std::string, std::uint64_t> &HeldDomains);
  void onStatus(const std::string &Vm, const EngineStatus &Status);
  void reportLoadToGranter(const std::string &Vm, const EngineStatus &Status);
  void sendOrders(const std::vector<EngineOrder> &Orders);
  void sendTasks(const std::map<std::string, std::uint64_t> &HeldDomains);
  /// Removes the groups and head VMs of \p Domain from the maps, before
  /// sendDomainTasks() adds the current ones. Otherwise a VM that is no longer
  /// the head of its group would reset the group's slot ramp with its own start
  /// ID.
  void removeGroups(const std::string &Domain);
  void sendDomainTasks(const std::string &Domain, std::uint64_t Epoch,
                       const Assignment &DomainAssignment);
  MonitorTask makeTask(const std::string &Id, const GroupEntry &Group,
                       const Assignment &DomainAssignment,
                       std::uint64_t Epoch) const;
  void updateGranters(MonotonicTime Now);
  SlotGranter *granterOfGroup(const std::string &Group);

  const NodeSettings &m_Settings;
  ObjectStore &m_Store;
  TaskThread &m_ControlThread;
  PeerService &m_Peers;
  EngineClient &m_Engines;
  Metrics &m_Metrics;
  LeaseManager m_Leases;
  GroupController m_Controller;
  ConfigurationView::Pointer m_View = ConfigurationView::makeEmpty();
  std::map<std::string, VmRow> m_Vms;
  unsigned m_SkippedVmLists = 0;
  /// Slot granter of each shard that this node holds or has held.
  std::map<std::string, SlotGranter> m_Granters;
  /// Fabric domain of each group in the domains of held shards.
  std::map<std::string, std::string> m_DomainByGroup;
  /// Group of each head VM, used to find the slot granter for the load reports
  /// of the VM.
  std::map<std::string, std::string> m_GroupByHeadVm;
  /// Nodes that received tasks of each fabric domain and must be notified when
  /// these are removed.
  std::map<std::string, std::set<std::string>> m_NotifiedNodes;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_GROUP_CONTROL_H
