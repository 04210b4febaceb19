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

/// This node's share of the control work: holds shard leases, forms and
/// repairs groups, sends orders to engines, instructs monitors and grants
/// slots. Runs on the control thread.
class GroupControl {
public:
  /// \p Writer has to differ for every start of the process.
  GroupControl(const NodeSettings &Settings, const std::string &Writer,
               ObjectStore &Store, ControlThread &Control, PeerService &Peers,
               EngineClient &Engines, Metrics &Figures);

  void setConfiguration(ConfigurationView::Pointer View);

  /// To be called every 100 ms.
  void tickLeases(MonotonicTime Now);
  /// To be called every 250 ms.
  void tickGroups(MonotonicTime Now);
  /// To be called every 2 s; reads the platform's VM list.
  void tickVms();

  /// Returns the availability zone of a VM by the platform's list, empty if
  /// the list does not name the VM.
  std::string zoneOfVm(const std::string &Vm) const {
    const auto Row = m_Vms.find(Vm);
    return Row == m_Vms.end() ? "" : Row->second.m_Listed.m_Zone;
  }

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
    PlatformVm m_Listed;
    bool m_IsPolled = false;
  };

  void startStoreActions(std::vector<StoreAction> Actions, bool ForLeases);
  void onVms(const VmsListed &List);
  void applyVms();
  std::map<std::string, std::uint64_t> heldDomains(MonotonicTime Now) const;
  void pollEngines(const std::map<std::string, std::uint64_t> &Held);
  void onStatus(const std::string &Vm, const EngineStatus &Status);
  void feedGranter(const std::string &Vm, const EngineStatus &Status);
  void sendOrders(const std::vector<EngineOrder> &Orders);
  void sendTasks(const std::map<std::string, std::uint64_t> &Held);
  /// Forgets the groups and heads of \p Domain before they are listed anew. A
  /// VM that is no longer the head of its group would otherwise reset the
  /// group's ramp by its own start ID.
  void forgetGroups(const std::string &Domain);
  void sendDomainTasks(const std::string &Domain, std::uint64_t Epoch,
                       const Assignment &Value);
  MonitorTask makeTask(const std::string &Id, const GroupEntry &Group,
                       const Assignment &Value, std::uint64_t Epoch) const;
  void updateGranters(MonotonicTime Now);
  SlotGranter *granterOfGroup(const std::string &Group);

  const NodeSettings &m_Settings;
  ObjectStore &m_Store;
  ControlThread &m_Control;
  PeerService &m_Peers;
  EngineClient &m_Engines;
  Metrics &m_Metrics;
  LeaseManager m_Leases;
  GroupController m_Groups;
  ConfigurationView::Pointer m_View = ConfigurationView::empty();
  std::map<std::string, VmRow> m_Vms;
  unsigned m_SkippedVmLists = 0;
  /// One granter per held shard.
  std::map<std::string, SlotGranter> m_Granters;
  /// Fabric domain of each group of the controlled domains.
  std::map<std::string, std::string> m_DomainOfGroup;
  /// Head VM to group, for load reports to the granter.
  std::map<std::string, std::string> m_GroupOfHead;
  /// Nodes that were told about a domain, so that they learn of removals.
  std::map<std::string, std::set<std::string>> m_Informed;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_GROUP_CONTROL_H
