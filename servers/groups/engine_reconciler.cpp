#include "servers/groups/engine_reconciler.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

bool hasSameTarget(const EngineOrder &Left, const EngineOrder &Right) {
  return Left.m_Kind == Right.m_Kind && Left.m_Group == Right.m_Group &&
         Left.m_Generation == Right.m_Generation;
}

EngineOrder makeLoadOrder(const std::string &Id, const GroupEntry &Group) {
  EngineOrder Order;
  Order.m_Kind = EngineOrderKind::Load;
  Order.m_Group = Id;
  Order.m_Generation = Group.m_Generation;
  Order.m_Model = Group.m_Model;
  Order.m_Version = Group.m_Version;
  for (const GroupMember &Member : Group.m_Members)
    Order.m_Members.push_back(Member.m_Vm);
  return Order;
}

bool runsGroup(const EngineReport &Report, const std::string &Id,
               const GroupEntry &Group) {
  return Report.m_Group == Id && Report.m_Generation == Group.m_Generation &&
         (Report.m_State == EngineState::Loading ||
          Report.m_State == EngineState::Ready);
}

} // namespace

std::vector<EngineOrder> EngineReconciler::reconcile(const Assignment &Stored,
                                                     const DomainView &View) {
  std::vector<EngineOrder> Orders;
  const std::set<std::string> FencedEmptyVms = fencedEmptyVms(View.m_Reports);
  for (const auto &[Name, Vm] : Stored.m_Vms) {
    const auto Report = View.m_Reports.find(Name);
    if (Report == View.m_Reports.end() || !Report->second.m_Reachable)
      continue;
    std::optional<EngineOrder> Order =
        desiredOrder(Stored, Name, Report->second, FencedEmptyVms, View);
    if (!Order)
      continue;
    Order->m_Vm = Name;
    Order->m_FencingToken = Stored.m_Generation;
    const auto Group = Stored.m_Groups.find(Vm.m_Group);
    const auto Spec = Group == Stored.m_Groups.end()
                          ? View.m_Specs.end()
                          : View.m_Specs.find(Group->second.m_Deployment);
    const bool ChecksFencing =
        Spec != View.m_Specs.end() && Spec->second.m_EngineChecksFencing;
    OrderRecord &Record = m_OrderRecords[Name];
    if (!isOrderDue(Record, *Order, Report->second, ChecksFencing, View))
      continue;
    Record = {*Order, View.m_Now, Report->second.m_StartId, true, true,
              false,  {}};
    Orders.push_back(std::move(*Order));
  }
  return Orders;
}

std::optional<EngineOrder> EngineReconciler::desiredOrder(
    const Assignment &Stored, const std::string &VmName,
    const EngineReport &Report, const std::set<std::string> &FencedEmptyVms,
    const DomainView &View) const {
  const VmEntry &Vm = Stored.m_Vms.at(VmName);
  if (Vm.m_State != VmState::Assigned) {
    if (FencedEmptyVms.count(VmName) != 0)
      return std::nullopt;
    EngineOrder Order;
    Order.m_Kind = EngineOrderKind::Unload;
    Order.m_Group = Vm.m_Group;
    return Order;
  }
  const GroupEntry &Group = Stored.m_Groups.at(Vm.m_Group);
  EngineOrder Order = makeLoadOrder(Vm.m_Group, Group);
  const auto OwnPosition =
      std::find(Order.m_Members.begin(), Order.m_Members.end(), VmName);
  Order.m_Rank =
      static_cast<std::size_t>(OwnPosition - Order.m_Members.begin());
  switch (Group.m_State) {
  case GroupState::Loading:
  case GroupState::Serving:
    if (runsGroup(Report, Vm.m_Group, Group))
      return std::nullopt;
    return Order;
  case GroupState::Broken:
    // A member whose engine has failed counts as missing until the engine loads
    // again.
    if (Report.m_State == EngineState::Failed)
      return Order;
    // Repeating the load order does not restart the load, so an engine that has
    // exceeded the load timeout is unloaded first.
    if (View.m_OverdueLoads.count(VmName) != 0) {
      Order.m_Kind = EngineOrderKind::Unload;
      return Order;
    }
    return std::nullopt;
  case GroupState::Draining:
    if (!runsGroup(Report, Vm.m_Group, Group))
      return std::nullopt;
    Order.m_Kind = EngineOrderKind::SetDrainingRole;
    return Order;
  case GroupState::Forming:
  case GroupState::Disbanded:
    return std::nullopt;
  }
  return std::nullopt;
}

bool EngineReconciler::isOrderDue(const OrderRecord &Previous,
                                  const EngineOrder &Order,
                                  const EngineReport &Report,
                                  bool ChecksFencing, const DomainView &View) {
  if (!Previous.m_Sent)
    return true;
  // An engine that does not check fencing tokens executes orders in order of
  // arrival, so the next order is sent only after the response to the previous
  // one.
  if (Previous.m_AwaitsResponse && !ChecksFencing)
    return false;
  if (!hasSameTarget(Previous.m_Order, Order) ||
      Previous.m_StartId != Report.m_StartId)
    return true;
  if (Order.m_Kind == EngineOrderKind::SetDrainingRole && Previous.m_Accepted)
    return false;
  // A report polled before the order was accepted does not show its effect.
  if (Previous.m_Accepted && Report.m_PolledAt <= Previous.m_AcceptedAt)
    return false;
  return View.m_Now - Previous.m_SentAt >=
         View.m_Settings.m_OrderRepeatInterval;
}

void EngineReconciler::onOrderCompleted(const OrderCompleted &Event,
                                        MonotonicTime Now) {
  if (Event.m_Outcome == OrderOutcome::Refused)
    m_HighestTokenOfRefusals =
        std::max(m_HighestTokenOfRefusals, Event.m_HighestFencingToken);
  const auto Found = m_OrderRecords.find(Event.m_Vm);
  if (Found == m_OrderRecords.end())
    return;
  OrderRecord &Record = Found->second;
  if (Record.m_Order.m_Kind != Event.m_Kind ||
      Record.m_Order.m_FencingToken != Event.m_FencingToken)
    return;
  Record.m_AwaitsResponse = false;
  if (Event.m_Outcome == OrderOutcome::Accepted) {
    Record.m_Accepted = true;
    Record.m_AcceptedAt = Now;
  }
}

std::set<std::string>
EngineReconciler::fencedEmptyVms(const EngineReports &Reports) const {
  std::set<std::string> Vms;
  for (const auto &[Name, Record] : m_OrderRecords) {
    const auto Report = Reports.find(Name);
    if (Report != Reports.end() && Record.m_Accepted &&
        Record.m_Order.m_Kind == EngineOrderKind::Unload &&
        Report->second.m_Reachable &&
        Report->second.m_State == EngineState::Empty &&
        Report->second.m_StartId == Record.m_StartId &&
        Report->second.m_PolledAt > Record.m_AcceptedAt)
      Vms.insert(Name);
  }
  return Vms;
}

} // namespace fulmarwinch
