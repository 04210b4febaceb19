#include "servers/groups/group_controller.h"

#include <set>
#include <utility>

namespace fulmarwinch {

GroupController::GroupController(const GroupSettings &Settings,
                                 std::string Writer,
                                 std::shared_ptr<const RepairPolicy> Policy)
    : m_Settings(Settings), m_Writer(std::move(Writer)),
      m_Policy(std::move(Policy)) {}

void GroupController::setVms(const std::vector<ListedVm> &Vms) {
  for (auto &[Domain, Listed] : m_ListedVmsByDomain)
    Listed.clear();
  for (const ListedVm &Vm : Vms) {
    m_ListedVmsByDomain[Vm.m_Domain][Vm.m_Vm] = Vm;
    m_DomainsOfVms[Vm.m_Vm] = Vm.m_Domain;
  }
}

void GroupController::onEngineReport(const std::string &Vm,
                                     const EngineReport &Report) {
  EngineReport &Known = m_Reports[Vm];
  // Reports may arrive out of order; an older one is ignored.
  if (Report.m_PolledAt >= Known.m_PolledAt)
    Known = Report;
}

void GroupController::onObservedAssignment(const Assignment &Observed) {
  Assignment &Known = m_ObservedAssignments[Observed.m_Domain];
  if (Observed.m_Generation > Known.m_Generation)
    Known = Observed;
}

GroupActions
GroupController::tick(MonotonicTime Now,
                      const std::map<std::string, std::uint64_t> &LeaseEpochs) {
  for (const auto &[Domain, Epoch] : LeaseEpochs)
    m_Controllers.try_emplace(Domain, Domain, m_Writer, m_Settings);
  // Placement and Candidates are computed once for all domains. Computing them
  // per domain would cost time that grows with the square of the number of
  // domains.
  const std::map<std::string, PlacementChange> Placement =
      placementChanges(m_Specs, domainSummaries());
  const std::vector<LoadCandidate> Candidates = loadCandidates();
  GroupActions Actions;
  for (auto &[Domain, Controller] : m_Controllers) {
    const auto Lease = LeaseEpochs.find(Domain);
    Controller.setLease(Lease != LeaseEpochs.end(),
                        Lease != LeaseEpochs.end() ? Lease->second : 0);
    Controller.updateVmHealth(m_ListedVmsByDomain[Domain], m_Reports, Now);
    if (Lease == LeaseEpochs.end())
      continue;
    const auto Change = Placement.find(Domain);
    DomainView View{m_Settings,
                    m_Specs,
                    *m_Policy,
                    Controller.health(),
                    m_Reports,
                    m_ListedVmsByDomain[Domain],
                    {},
                    Controller.overdueLoads(),
                    Change == Placement.end() ? PlacementChange()
                                              : Change->second,
                    Candidates,
                    Now,
                    1};
    if (auto Call = Controller.nextStoreCall(View, m_NextCallId)) {
      m_DomainsOfCalls[m_NextCallId++] = Domain;
      Actions.m_StoreActions.push_back(std::move(*Call));
    }
    for (EngineOrder &Order : Controller.dueOrders(View))
      Actions.m_Orders.push_back(std::move(Order));
  }
  return Actions;
}

std::vector<DomainSummary> GroupController::domainSummaries() const {
  std::map<std::string, DomainSummary> Known;
  for (const auto &[Domain, Content] : m_ObservedAssignments)
    Known[Domain] = summariseAssignment(Content);
  for (const auto &[Domain, Controller] : m_Controllers)
    if (Controller.assignment() != nullptr && Controller.hasClaimedAssignment())
      Known[Domain] = summariseAssignment(*Controller.assignment());
  std::vector<DomainSummary> Summaries;
  for (auto &[Domain, Summary] : Known)
    Summaries.push_back(std::move(Summary));
  return Summaries;
}

std::vector<LoadCandidate> GroupController::loadCandidates() const {
  std::map<std::string, const Assignment *> Known;
  for (const auto &[Domain, Content] : m_ObservedAssignments)
    Known[Domain] = &Content;
  for (const auto &[Domain, Controller] : m_Controllers)
    if (Controller.assignment() != nullptr && Controller.hasClaimedAssignment())
      Known[Domain] = Controller.assignment();
  std::vector<LoadCandidate> Candidates;
  for (const auto &[Domain, Content] : Known) {
    for (const auto &[Id, Group] : Content->m_Groups) {
      const bool IsLoading = Group.m_State == GroupState::Loading;
      const auto Spec = m_Specs.find(Group.m_Deployment);
      if ((IsLoading || Group.m_State == GroupState::Forming) &&
          Spec != m_Specs.end())
        Candidates.push_back({Id, IsLoading, Spec->second.m_Priority,
                              Spec->second.m_DowntimeWeight,
                              Group.m_Members.size()});
    }
  }
  return Candidates;
}

DomainController *GroupController::completeCall(StoreCallId Id) {
  const auto Found = m_DomainsOfCalls.find(Id);
  if (Found == m_DomainsOfCalls.end())
    return nullptr;
  const auto Domain = m_Controllers.find(Found->second);
  m_DomainsOfCalls.erase(Found);
  return Domain == m_Controllers.end() ? nullptr : &Domain->second;
}

void GroupController::onGetCompleted(const GetCompleted &Event,
                                     MonotonicTime Now) {
  if (DomainController *Controller = completeCall(Event.m_Id))
    Controller->onGetCompleted(Event, Now);
}

void GroupController::onWriteCompleted(const WriteCompleted &Event,
                                       MonotonicTime Now) {
  if (DomainController *Controller = completeCall(Event.m_Id))
    Controller->onWriteCompleted(Event, Now);
}

void GroupController::onOrderCompleted(const OrderCompleted &Event,
                                       MonotonicTime Now) {
  const auto Domain = m_DomainsOfVms.find(Event.m_Vm);
  if (Domain == m_DomainsOfVms.end())
    return;
  if (const auto Found = m_Controllers.find(Domain->second);
      Found != m_Controllers.end())
    Found->second.onOrderCompleted(Event, Now);
}

const Assignment *GroupController::assignment(const std::string &Domain) const {
  const auto Found = m_Controllers.find(Domain);
  return Found == m_Controllers.end() ? nullptr : Found->second.assignment();
}

} // namespace fulmarwinch
