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
  for (auto &[Domain, Listed] : m_Listed)
    Listed.clear();
  for (const ListedVm &Vm : Vms) {
    m_Listed[Vm.m_Domain][Vm.m_Vm] = Vm;
    m_DomainOfVm[Vm.m_Vm] = Vm.m_Domain;
  }
}

void GroupController::onEngineReport(const std::string &Vm,
                                     const EngineReport &Report) {
  EngineReport &Known = m_Reports[Vm];
  // Polls may be answered out of order.
  if (Report.m_At >= Known.m_At)
    Known = Report;
}

void GroupController::onObservedAssignment(const Assignment &Value) {
  Assignment &Known = m_Observed[Value.m_Domain];
  if (Value.m_Generation > Known.m_Generation)
    Known = Value;
}

GroupActions
GroupController::tick(MonotonicTime Now,
                      const std::map<std::string, std::uint64_t> &Held) {
  for (const auto &[Domain, Epoch] : Held)
    m_Domains.try_emplace(Domain, Domain, m_Writer, m_Settings);
  // Computed once for all domains; for each domain alone, the work would grow
  // with the square of their number.
  const std::map<std::string, PlacementChange> Placement =
      placementChanges(m_Specs, summaries());
  const std::vector<LoadCandidate> Loads = loads();
  GroupActions Actions;
  for (auto &[Domain, Controller] : m_Domains) {
    const auto Lease = Held.find(Domain);
    Controller.setLease(Lease != Held.end(),
                        Lease != Held.end() ? Lease->second : 0);
    Controller.observe(m_Listed[Domain], m_Reports, Now);
    if (Lease == Held.end())
      continue;
    const auto Change = Placement.find(Domain);
    DomainView View{m_Settings,
                    m_Specs,
                    *m_Policy,
                    Controller.health(),
                    m_Reports,
                    m_Listed[Domain],
                    {},
                    Controller.overdueLoads(),
                    Change == Placement.end() ? PlacementChange()
                                              : Change->second,
                    Loads,
                    Now,
                    1};
    if (auto Call = Controller.nextCall(View, m_NextId)) {
      m_InFlight[m_NextId++] = Domain;
      Actions.m_StoreActions.push_back(std::move(*Call));
    }
    for (EngineOrder &Order : Controller.nextOrders(View))
      Actions.m_Orders.push_back(std::move(Order));
  }
  return Actions;
}

std::vector<DomainSummary> GroupController::summaries() const {
  std::map<std::string, DomainSummary> Known;
  for (const auto &[Domain, Value] : m_Observed)
    Known[Domain] = summarise(Value);
  for (const auto &[Domain, Controller] : m_Domains)
    if (Controller.assignment() != nullptr && Controller.isTakenOver())
      Known[Domain] = summarise(*Controller.assignment());
  std::vector<DomainSummary> Summaries;
  for (auto &[Domain, Summary] : Known)
    Summaries.push_back(std::move(Summary));
  return Summaries;
}

std::vector<LoadCandidate> GroupController::loads() const {
  std::map<std::string, const Assignment *> Known;
  for (const auto &[Domain, Value] : m_Observed)
    Known[Domain] = &Value;
  for (const auto &[Domain, Controller] : m_Domains)
    if (Controller.assignment() != nullptr && Controller.isTakenOver())
      Known[Domain] = Controller.assignment();
  std::vector<LoadCandidate> Loads;
  for (const auto &[Domain, Value] : Known) {
    for (const auto &[Id, Group] : Value->m_Groups) {
      const bool Loading = Group.m_State == GroupState::Loading;
      const auto Spec = m_Specs.find(Group.m_Deployment);
      if ((Loading || Group.m_State == GroupState::Forming) &&
          Spec != m_Specs.end())
        Loads.push_back({Id, Loading, Spec->second.m_Priority,
                         Spec->second.m_DowntimeWeight,
                         Group.m_Members.size()});
    }
  }
  return Loads;
}

DomainController *GroupController::controllerOf(StoreCallId Id) {
  const auto Found = m_InFlight.find(Id);
  if (Found == m_InFlight.end())
    return nullptr;
  const auto Domain = m_Domains.find(Found->second);
  m_InFlight.erase(Found);
  return Domain == m_Domains.end() ? nullptr : &Domain->second;
}

void GroupController::onGetCompleted(const GetCompleted &Event,
                                     MonotonicTime Now) {
  if (DomainController *Controller = controllerOf(Event.m_Id))
    Controller->onGetCompleted(Event, Now);
}

void GroupController::onPutCompleted(const PutCompleted &Event,
                                     MonotonicTime Now) {
  if (DomainController *Controller = controllerOf(Event.m_Id))
    Controller->onPutCompleted(Event, Now);
}

void GroupController::onOrderCompleted(const OrderCompleted &Event,
                                       MonotonicTime Now) {
  const auto Domain = m_DomainOfVm.find(Event.m_Vm);
  if (Domain == m_DomainOfVm.end())
    return;
  if (const auto Found = m_Domains.find(Domain->second);
      Found != m_Domains.end())
    Found->second.onOrderCompleted(Event, Now);
}

const Assignment *GroupController::assignment(const std::string &Domain) const {
  const auto Found = m_Domains.find(Domain);
  return Found == m_Domains.end() ? nullptr : Found->second.assignment();
}

} // namespace fulmarwinch
