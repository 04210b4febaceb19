#ifndef FULMARWINCH_SERVERS_GROUPS_GROUP_CONTROLLER_H
#define FULMARWINCH_SERVERS_GROUPS_GROUP_CONTROLLER_H

#include "servers/groups/domain_controller.h"
#include "servers/groups/placement.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmarwinch {

struct GroupActions {
  std::vector<StoreAction> m_StoreActions;
  /// The driver checks the lease once more before it sends each order.
  std::vector<EngineOrder> m_Orders;
};

/// Controls the groups of all fabric domains whose shards this node holds.
class GroupController {
public:
  GroupController(const GroupSettings &Settings, std::string Writer,
                  std::shared_ptr<const RepairPolicy> Policy);

  /// The wanted deployments of the configuration.
  void setDeployments(DeploymentSpecs Specs) { m_Specs = std::move(Specs); }
  /// The platform's VM list of the region, with drains and zones applied.
  void setVms(const std::vector<ListedVm> &Vms);
  void onEngineReport(const std::string &Vm, const EngineReport &Report);
  /// A stored assignment of a domain that another node controls.
  void onObservedAssignment(const Assignment &Value);

  /// \p Held maps each domain whose shard is held at \p Now to its lease
  /// epoch. Called at least every 250 ms and after each event.
  GroupActions tick(MonotonicTime Now,
                    const std::map<std::string, std::uint64_t> &Held);
  void onGetCompleted(const GetCompleted &Event, MonotonicTime Now);
  void onPutCompleted(const PutCompleted &Event, MonotonicTime Now);
  void onOrderCompleted(const OrderCompleted &Event, MonotonicTime Now);

  /// The assignment of a controlled domain as stored, if known.
  const Assignment *assignment(const std::string &Domain) const;

private:
  std::vector<DomainSummary> summaries() const;
  std::vector<LoadCandidate> loads() const;
  DomainController *controllerOf(StoreCallId Id);

  GroupSettings m_Settings;
  std::string m_Writer;
  std::shared_ptr<const RepairPolicy> m_Policy;
  DeploymentSpecs m_Specs;
  EngineReports m_Reports;
  std::map<std::string, std::map<std::string, ListedVm>> m_Listed;
  std::map<std::string, std::string> m_DomainOfVm;
  std::map<std::string, Assignment> m_Observed;
  std::map<std::string, DomainController> m_Domains;
  std::map<StoreCallId, std::string> m_InFlight;
  StoreCallId m_NextId = 1;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_GROUP_CONTROLLER_H
