#include "servers/replicas/order_ledger.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

bool isSuccess(OrderResult Result) {
  return Result == OrderResult::Begun || Result == OrderResult::Done;
}

} // namespace

const OrderState *OrderLedger::stateFor(const BackendServer &Server,
                                        MemberOrderKind Kind) const {
  const auto Known = m_States.find(Server.m_Id);
  if (Known == m_States.end())
    return nullptr;
  const OrderState &State = Known->second.m_State;
  if (State.m_StartedAtMs != Server.m_StartedAtMs)
    return nullptr;
  // A leave order has no effect on a server in another group.
  if (!State.m_OrderCount || Kind == MemberOrderKind::Leave)
    return &State;
  const auto &Membership = Server.m_Membership;
  const bool IsSameGroup = Membership ? State.m_Group == Membership->m_Group
                                      : !State.m_Group.has_value();
  return IsSameGroup ? &State : nullptr;
}

void OrderLedger::setState(const std::string &Id, const OrderState &State) {
  const auto [Entry, IsNew] = m_States.try_emplace(Id);
  OrderState &Known = Entry->second.m_State;
  // A load report may be older than the last answer to an order. With the same
  // count it is not, and the server may have lost its group without an order.
  if (IsNew || Known.m_StartedAtMs < State.m_StartedAtMs ||
      (Known.m_StartedAtMs == State.m_StartedAtMs &&
       Known.m_OrderCount <= State.m_OrderCount))
    Known = State;
}

std::map<GroupKey, OrderLedger::UnansweredOrder> &
OrderLedger::ordersLike(const MemberOrder &Order) {
  return Order.m_Kind == MemberOrderKind::Join ? m_Joins[Order.m_Server]
                                               : m_Opens;
}

void OrderLedger::onSent(const MemberOrder &Order, MonotonicTime Now) {
  if (Order.m_Kind != MemberOrderKind::Join &&
      Order.m_Kind != MemberOrderKind::Open)
    return;
  UnansweredOrder &Sent = ordersLike(Order)[Order.m_Group];
  Sent.m_Server = Order.m_Server;
  Sent.m_StartedAtMs = Order.m_StartedAtMs;
  ++Sent.m_Copies;
  Sent.m_EffectiveUntil = Now + m_MaxOrderDelay;
}

void OrderLedger::onBegun(const MemberOrder &Order) {
  const auto Known = m_States.find(Order.m_Server);
  if (Known == m_States.end())
    return;
  OrderState &State = Known->second.m_State;
  if (State.m_StartedAtMs != Order.m_StartedAtMs ||
      State.m_OrderCount != Order.m_Precondition)
    return;
  if (State.m_OrderCount)
    ++*State.m_OrderCount;
  if (Order.m_Kind == MemberOrderKind::Join)
    State.m_Group = Order.m_Group;
  else if (Order.m_Kind == MemberOrderKind::Leave &&
           State.m_Group == Order.m_Group)
    State.m_Group.reset();
}

void OrderLedger::onEnded(const MemberOrder &Order, OrderResult Result) {
  if (Result == OrderResult::Begun)
    onBegun(Order);
  // A server that is done with an order at once may or may not have counted it.
  else if (Result == OrderResult::Done || Result == OrderResult::Unanswered ||
           Result == OrderResult::Conflict)
    m_States.erase(Order.m_Server);
  if (Result == OrderResult::Unanswered)
    return;
  if (Order.m_Kind == MemberOrderKind::Leave && isSuccess(Result)) {
    const auto Opened = m_Opens.find(Order.m_Group);
    if (Opened != m_Opens.end() && Opened->second.m_Server == Order.m_Server)
      m_Opens.erase(Opened);
    return;
  }
  if (Order.m_Kind != MemberOrderKind::Join &&
      Order.m_Kind != MemberOrderKind::Open)
    return;
  auto &Orders = ordersLike(Order);
  // A server that has seen the epoch of a join refuses all earlier ones.
  if (Order.m_Kind == MemberOrderKind::Join && isSuccess(Result)) {
    Orders.erase(Orders.begin(), Orders.upper_bound(Order.m_Group));
  } else if (const auto Sent = Orders.find(Order.m_Group);
             Sent != Orders.end()) {
    Sent->second.m_Copies -= std::min(Sent->second.m_Copies, 1U);
    Sent->second.m_HasBegun = Sent->second.m_HasBegun || isSuccess(Result);
    if (Sent->second.m_Copies == 0 && !Sent->second.m_HasBegun)
      Orders.erase(Sent);
  }
  if (Order.m_Kind == MemberOrderKind::Join && Orders.empty())
    m_Joins.erase(Order.m_Server);
}

void OrderLedger::update(const FleetView &Fleet, MonotonicTime Now) {
  const auto IsOver = [&](const UnansweredOrder &Order,
                          const BackendServer *Server) {
    return Order.m_EffectiveUntil <= Now ||
           (Server && Server->m_StartedAtMs != Order.m_StartedAtMs);
  };
  for (auto Entry = m_Joins.begin(); Entry != m_Joins.end();) {
    const BackendServer *Server = Fleet.find(Entry->first);
    auto &Orders = Entry->second;
    for (auto Join = Orders.begin(); Join != Orders.end();) {
      const bool IsShown =
          Server && Server->m_Membership &&
          Join->first.m_Epoch <= Server->m_Membership->m_Group.m_Epoch;
      Join = IsShown || IsOver(Join->second, Server) ? Orders.erase(Join)
                                                     : std::next(Join);
    }
    Entry = Orders.empty() ? m_Joins.erase(Entry) : std::next(Entry);
  }
  for (auto Open = m_Opens.begin(); Open != m_Opens.end();) {
    const BackendServer *Server = Fleet.find(Open->second.m_Server);
    // The server refuses further copies, whose precondition is outdated.
    const bool IsShown =
        Server && Server->m_Membership &&
        Server->m_Membership->m_Group == Open->first &&
        Server->m_Membership->m_State != GroupMemberState::Ready;
    Open = IsShown || IsOver(Open->second, Server) ? m_Opens.erase(Open)
                                                   : std::next(Open);
  }
  for (auto Entry = m_States.begin(); Entry != m_States.end();) {
    const BackendServer *Server = Fleet.find(Entry->first);
    KnownState &Known = Entry->second;
    if (Server || !Known.m_ListedAt)
      Known.m_ListedAt = Now;
    const bool IsOutdated =
        Server ? Server->m_StartedAtMs > Known.m_State.m_StartedAtMs
               : Now - *Known.m_ListedAt > m_MaxOrderDelay;
    Entry = IsOutdated ? m_States.erase(Entry) : std::next(Entry);
  }
}

bool OrderLedger::hasUnansweredJoin(const std::string &Server) const {
  return m_Joins.count(Server) != 0;
}

bool OrderLedger::mayJoinLaterGroup(const std::string &Server,
                                    const GroupKey &Group) const {
  const auto Joins = m_Joins.find(Server);
  return Joins != m_Joins.end() &&
         Joins->second.upper_bound(Group) != Joins->second.end();
}

} // namespace fulmarwinch
