// Sends the orders of the replica planners and reports how they ended.

#include "core/text.h"
#include "proxy/group_coordinator.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr Duration OrderTimeout = std::chrono::milliseconds(800);
/// Timeout of one request for the state of a server. A live server answers
/// within a few milliseconds. TCP retransmits a lost packet only after about
/// 200 ms, so a second request is sent instead.
constexpr Duration StateRequestTimeout = std::chrono::milliseconds(150);
constexpr unsigned StateRequestAttempts = 2;
constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int Conflict = 409;

OrderResult resultOf(const BufferedResponse &Response) {
  if (!Response.m_MayHaveBeenSent)
    return OrderResult::NotSent;
  if (!hasResponse(Response.m_Outcome))
    return OrderResult::Unanswered;
  switch (Response.m_Status) {
  case Ok:
    return OrderResult::Done;
  case Accepted:
    return OrderResult::Begun;
  case Conflict:
    return OrderResult::Conflict;
  default:
    return OrderResult::Refused;
  }
}

} // namespace

void GroupCoordinator::sendOrder(const MemberOrder &Order) {
  if (!mayOrder(Order, m_Epoch))
    return;
  const BackendServer *Server = m_Context.m_Fleet.find(Order.m_Server);
  const std::int64_t StartedAtMs = Server ? Server->m_StartedAtMs : 0;
  // The order may have waited for the store. Another process that has the ID of
  // the server has not the state that the order was decided on.
  if (Server ? StartedAtMs != Order.m_StartedAtMs : !Order.m_LastEndpoint) {
    reportOrderEnd(Order, OrderResult::NotSent);
    return;
  }
  const Endpoint Peer = Server ? Server->m_Endpoint : *Order.m_LastEndpoint;
  const HttpHeaders Headers{
      {"Content-Type", "application/json"},
      {m_Platform.m_HeaderNames.m_ExpectedServer, Order.m_Server}};
  startBufferedCall(
      m_Context.m_Loop, Peer,
      formatRequest("POST", m_Platform.m_OrderPath, Peer, Headers,
                    m_Platform.m_EncodeOrder(Order)),
      OrderTimeout,
      [this, Order, StartedAtMs](const BufferedResponse &Response) {
        recordNotices(Order.m_Server, StartedAtMs, Response);
        onOrderCompleted(Order, Response);
      },
      [this, Order, StartedAtMs, Epoch = m_Epoch] {
        if (!mayOrder(Order, Epoch))
          return false;
        countCall(Order.m_Server, StartedAtMs);
        return true;
      });
}

bool GroupCoordinator::mayOrder(const MemberOrder &Order, std::uint64_t Epoch) {
  // The process may have been paused since tick() found the lease valid.
  if (m_Lease.isHeld(monotonicNow()) && m_Lease.epoch() == Epoch)
    return true;
  m_Context.m_Log.write("order_dropped",
                        {{"kind", nameOf(MemberOrderKindNames, Order.m_Kind)},
                         {"server", Order.m_Server},
                         {"group", Order.m_Group.m_Name},
                         {"lease_epoch", static_cast<std::int64_t>(Epoch)}});
  return false;
}

void GroupCoordinator::onOrderCompleted(const MemberOrder &Order,
                                        const BufferedResponse &Response) {
  const OrderResult Result = resultOf(Response);
  m_Context.m_Log.write(
      "order",
      {{"kind", nameOf(MemberOrderKindNames, Order.m_Kind)},
       {"server", Order.m_Server},
       {"born", Order.m_StartedAtMs},
       {"precondition", Order.m_Precondition
                            ? static_cast<std::int64_t>(*Order.m_Precondition)
                            : std::int64_t{-1}},
       {"group", Order.m_Group.m_Name},
       {"epoch", static_cast<std::int64_t>(Order.m_Group.m_Epoch)},
       {"model", Order.m_Model},
       {"result", nameOf(OrderResultNames, Result)},
       {"end", nameOf(UpstreamOutcomeNames, Response.m_Outcome)},
       {"status", std::int64_t{Response.m_Status}}});
  m_Context.m_Metrics.increment(concat(
      "group_orders_total{kind=\"", nameOf(MemberOrderKindNames, Order.m_Kind),
      "\",result=\"", nameOf(OrderResultNames, Result), "\"}"));
  reportOrderEnd(Order, Result);
}

void GroupCoordinator::reportOrderEnd(const MemberOrder &Order,
                                      OrderResult Result) {
  const MonotonicTime Now = monotonicNow();
  for (auto &[Service, Planner] : m_Planners)
    Planner.onOrderEnded(Order, Result, Now);
}

void GroupCoordinator::requestState(const BackendServer &Server,
                                    unsigned Attempt) {
  m_Context.m_Metrics.increment("order_state_requests_total");
  startBufferedCall(
      m_Context.m_Loop, Server.m_Endpoint,
      formatRequest("GET", m_Platform.m_LoadReportPath, Server.m_Endpoint,
                    {{m_Platform.m_HeaderNames.m_ExpectedServer, Server.m_Id}},
                    ""),
      StateRequestTimeout,
      [this, Server, Attempt](const BufferedResponse &Answer) {
        recordNotices(Server.m_Id, Server.m_StartedAtMs, Answer);
        if (onStateAnswered(Server, Answer))
          return;
        if (Attempt < StateRequestAttempts) {
          requestState(Server, Attempt + 1);
          return;
        }
        m_Context.m_Log.write(
            "order_state_unavailable",
            {{"server", Server.m_Id},
             {"end", nameOf(UpstreamOutcomeNames, Answer.m_Outcome)},
             {"status", std::int64_t{Answer.m_Status}}});
        const MonotonicTime Now = monotonicNow();
        for (auto &[Service, Planner] : m_Planners)
          Planner.onStateUnavailable(Server.m_Id, Now);
      },
      [this, Id = Server.m_Id, StartedAtMs = Server.m_StartedAtMs] {
        countCall(Id, StartedAtMs);
        return true;
      });
}

bool GroupCoordinator::onStateAnswered(const BackendServer &Server,
                                       const BufferedResponse &Answer) {
  if (!hasResponse(Answer.m_Outcome) || Answer.m_Status != Ok)
    return false;
  auto State = m_Platform.m_DecodeOrderState(Answer.m_Body);
  if (!State)
    return false;
  if (State->m_StartedAtMs == 0)
    State->m_StartedAtMs = Server.m_StartedAtMs;
  for (auto &[Service, Planner] : m_Planners)
    Planner.onServerState(Server.m_Id, *State);
  // The planner waits for the state.
  m_NextPlanAt = {};
  return true;
}

} // namespace fulmarwinch
