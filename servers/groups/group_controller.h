#ifndef FULMARWINCH_SERVERS_GROUPS_GROUP_CONTROLLER_H
#define FULMARWINCH_SERVERS_GROUPS_GROUP_CONTROLLER_H

#include "servers/groups/domain_controller.h"
#include "servers/groups/placement.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Actions that the driver executes after GroupController::tick().
struct GroupActions {
  std::vector<StoreAction> m_StoreActions;
  /// The driver checks again that the lease is still valid before it sends each
  /// order.
  std::vector<EngineOrder> m_Orders;
};

/// Controls the groups of all fabric domains whose shard leases this node
/// holds.
class GroupController {
public:
  /// \p Writer identifies this node process in the assignment objects and must
  /// be unique per process start.
  GroupController(const GroupSettings &Settings, std::string Writer,
                  std::shared_ptr<const RepairPolicy> Policy);

  /// Sets the target state of all deployments from the configuration.
  void setDeployments(DeploymentSpecs Specs) { m_Specs = std::move(Specs); }
  /// Replaces the VM list of the region. The caller has to set
  /// ListedVm::m_Drained from the configuration first.
  void setVms(const std::vector<ListedVm> &Vms);
  /// Records an engine report; ignored if a later poll has been recorded.
  void onEngineReport(const std::string &Vm, const EngineReport &Report);
  /// Records a stored assignment of a domain that another node controls;
  /// ignored unless its generation is higher than the recorded one.
  void onObservedAssignment(const Assignment &Observed);

  /// Returns the store calls and engine orders that are due. \p LeaseEpochs
  /// maps each domain whose shard lease this node holds at \p Now to the lease
  /// epoch. The caller has to call it at least every 250 ms and after each
  /// event.
  GroupActions tick(MonotonicTime Now,
                    const std::map<std::string, std::uint64_t> &LeaseEpochs);
  void onGetCompleted(const GetCompleted &Event, MonotonicTime Now);
  void onWriteCompleted(const WriteCompleted &Event, MonotonicTime Now);
  void onOrderCompleted(const OrderCompleted &Event, MonotonicTime Now);

  /// Returns the stored assignment of a controlled domain, or null if it is not
  /// known.
  const Assignment *assignment(const std::string &Domain) const;

private:
  std::vector<DomainSummary> domainSummaries() const;
  std::vector<LoadCandidate> loadCandidates() const;
  /// Returns the controller that issued the store call \p Id and removes the
  /// call from the calls in flight; null if the call is unknown.
  DomainController *completeCall(StoreCallId Id);

  GroupSettings m_Settings;
  std::string m_Writer;
  std::shared_ptr<const RepairPolicy> m_Policy;
  DeploymentSpecs m_Specs;
  EngineReports m_Reports;
  /// Listed VMs by domain and VM name.
  std::map<std::string, std::map<std::string, ListedVm>> m_ListedVmsByDomain;
  std::map<std::string, std::string> m_DomainsOfVms;
  std::map<std::string, Assignment> m_ObservedAssignments;
  std::map<std::string, DomainController> m_Controllers;
  /// Domain of each store call in flight.
  std::map<StoreCallId, std::string> m_DomainsOfCalls;
  StoreCallId m_NextCallId = 1;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_GROUP_CONTROLLER_H
