#include "servers/groups/engine_reconciler.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

bool sameTarget(const EngineOrder &Left, const EngineOrder &Right) {
  return Left.m_Order == Right.m_Order && Left.m_Group == Right.m_Group &&
         Left.m_Generation == Right.m_Generation;
}

EngineOrder loadOrder(const std::string &Id, const GroupEntry &Group) {
  EngineOrder Order;
  Order.m_Order = OrderKind::Load;
  Order.m_Group = Id;
  Order.m_Generation = Group.m_Generation;
  Order.m_Model = Group.m_Model;
  Order.m_Version = Group.m_Version;
  for (const GroupMember &Member : Group.m_Members)
    Order.m_Members.push_back(Member.m_Vm);
  return Order;
}

bool runs(const EngineReport &Report, const std::string &Id,
          const GroupEntry &Group) {
  return Report.m_Group == Id && Report.m_Generation == Group.m_Generation &&
         (Report.m_State == EngineState::Loading ||
          Report.m_State == EngineState::Ready);
}

} // namespace

std::vector<EngineOrder> EngineReconciler::reconcile(const Assignment &Stored,
                                                     const DomainView &View) {
  std::vector<EngineOrder> Orders;
  const std::set<std::string> Fenced = fencedEmpty(View.m_Reports);
  for (const auto &[Name, Vm] : Stored.m_Vms) {
    const auto Report = View.m_Reports.find(Name);
    if (Report == View.m_Reports.end() || !Report->second.m_Reachable)
      continue;
    std::optional<EngineOrder> Order =
        wanted(Stored, Name, Report->second, Fenced, View);
    if (!Order)
      continue;
    Order->m_Vm = Name;
    Order->m_Fence = Stored.m_Generation;
    const auto Group = Stored.m_Groups.find(Vm.m_Group);
    const auto Spec = Group == Stored.m_Groups.end()
                          ? View.m_Specs.end()
                          : View.m_Specs.find(Group->second.m_Deployment);
    const bool Checks =
        Spec != View.m_Specs.end() && Spec->second.m_EngineChecksFencing;
    Track &Last = m_Tracks[Name];
    if (!isDue(Last, *Order, Report->second, Checks, View))
      continue;
    Last = {*Order, View.m_Now, Report->second.m_StartId, true, true,
            false,  {}};
    Orders.push_back(std::move(*Order));
  }
  return Orders;
}

std::optional<EngineOrder>
EngineReconciler::wanted(const Assignment &Stored, const std::string &Name,
                         const EngineReport &Report,
                         const std::set<std::string> &Fenced,
                         const DomainView &View) const {
  const VmEntry &Vm = Stored.m_Vms.at(Name);
  if (Vm.m_State != VmState::Assigned) {
    if (Fenced.count(Name) != 0)
      return std::nullopt;
    EngineOrder Order;
    Order.m_Order = OrderKind::Unload;
    Order.m_Group = Vm.m_Group;
    return Order;
  }
  const GroupEntry &Group = Stored.m_Groups.at(Vm.m_Group);
  EngineOrder Order = loadOrder(Vm.m_Group, Group);
  const auto Self =
      std::find(Order.m_Members.begin(), Order.m_Members.end(), Name);
  Order.m_Rank = static_cast<std::size_t>(Self - Order.m_Members.begin());
  switch (Group.m_State) {
  case GroupState::Loading:
  case GroupState::Serving:
    if (runs(Report, Vm.m_Group, Group))
      return std::nullopt;
    return Order;
  case GroupState::Broken:
    // A failed engine is missing until it loads again.
    if (Report.m_State == EngineState::Failed)
      return Order;
    // The same load order again would change nothing, so an engine that loads
    // for too long is emptied first.
    if (View.m_OverdueLoads.count(Name) != 0) {
      Order.m_Order = OrderKind::Unload;
      return Order;
    }
    return std::nullopt;
  case GroupState::Draining:
    if (!runs(Report, Vm.m_Group, Group))
      return std::nullopt;
    Order.m_Order = OrderKind::Role;
    return Order;
  case GroupState::Forming:
  case GroupState::Disbanded:
    return std::nullopt;
  }
  return std::nullopt;
}

bool EngineReconciler::isDue(const Track &Last, const EngineOrder &Order,
                             const EngineReport &Report, bool ChecksFencing,
                             const DomainView &View) {
  if (!Last.m_Sent)
    return true;
  // An engine that ignores fencing takes orders as they arrive, so the next
  // one waits for the answer to the last one.
  if (Last.m_Outstanding && !ChecksFencing)
    return false;
  if (!sameTarget(Last.m_Last, Order) || Last.m_StartId != Report.m_StartId)
    return true;
  if (Order.m_Order == OrderKind::Role && Last.m_Accepted)
    return false;
  // After an accepted order, a report from before it tells nothing.
  if (Last.m_Accepted && Report.m_At <= Last.m_AcceptedAt)
    return false;
  return View.m_Now - Last.m_SentAt >= View.m_Settings.m_OrderRepeat;
}

void EngineReconciler::onOrderCompleted(const OrderCompleted &Event,
                                        MonotonicTime Now) {
  if (Event.m_Outcome == OrderOutcome::Refused)
    m_RefusedBelow = std::max(m_RefusedBelow, Event.m_HighestFence);
  const auto Found = m_Tracks.find(Event.m_Vm);
  if (Found == m_Tracks.end())
    return;
  Track &Last = Found->second;
  if (Last.m_Last.m_Order != Event.m_Order ||
      Last.m_Last.m_Fence != Event.m_Fence)
    return;
  Last.m_Outstanding = false;
  if (Event.m_Outcome == OrderOutcome::Accepted) {
    Last.m_Accepted = true;
    Last.m_AcceptedAt = Now;
  }
}

std::set<std::string>
EngineReconciler::fencedEmpty(const EngineReports &Reports) const {
  std::set<std::string> Vms;
  for (const auto &[Name, Last] : m_Tracks) {
    const auto Report = Reports.find(Name);
    if (Report != Reports.end() && Last.m_Accepted &&
        Last.m_Last.m_Order == OrderKind::Unload &&
        Report->second.m_Reachable &&
        Report->second.m_State == EngineState::Empty &&
        Report->second.m_StartId == Last.m_StartId &&
        Report->second.m_At > Last.m_AcceptedAt)
      Vms.insert(Name);
  }
  return Vms;
}

} // namespace fulmarwinch
