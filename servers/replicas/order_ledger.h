#ifndef FULMARWINCH_SERVERS_REPLICAS_ORDER_LEDGER_H
#define FULMARWINCH_SERVERS_REPLICAS_ORDER_LEDGER_H

#include "servers/fleet/fleet_view.h"
#include "servers/replicas/member_order.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fulmarwinch {

/// Orders of one lease holder whose effect is not known, and the last known
/// states of the backend servers. An order without an answer may be carried out
/// seconds after it was sent.
class OrderLedger {
public:
  /// \p MaxOrderDelay is the longest time after which a server still carries
  /// out an order.
  explicit OrderLedger(Duration MaxOrderDelay)
      : m_MaxOrderDelay(MaxOrderDelay) {}

  /// Returns the state that an order of the kind \p Kind to \p Server can be
  /// decided on, or null if it has to be asked for: it is not known, or the
  /// store entry shows another group.
  const OrderState *stateFor(const BackendServer &Server,
                             MemberOrderKind Kind) const;
  /// Records what the server \p Id itself said of its state.
  void setState(const std::string &Id, const OrderState &State);

  void onSent(const MemberOrder &Order, MonotonicTime Now);
  void onEnded(const MemberOrder &Order, OrderResult Result);
  /// Removes the orders whose outcome the store entries show, and those that
  /// can no longer be carried out.
  void update(const FleetView &Fleet, MonotonicTime Now);

  /// True if \p Server may still carry out a join that it has not answered.
  bool hasUnansweredJoin(const std::string &Server) const;
  /// True if \p Server may still carry out a join of a group with a higher
  /// epoch than \p Group. It refuses joins with lower ones.
  bool mayJoinLaterGroup(const std::string &Server,
                         const GroupKey &Group) const;
  /// True if the head of \p Group may be about to serve, or may begin to once
  /// it carries out an order.
  bool mayOpen(const GroupKey &Group) const {
    return m_Opens.count(Group) != 0;
  }

private:
  /// Copies of one order to one process.
  struct UnansweredOrder {
    std::string m_Server;
    std::int64_t m_StartedAtMs = 0;
    /// Copies without an answer.
    unsigned m_Copies = 0;
    MonotonicTime m_EffectiveUntil{};
    /// The server has begun to carry out the order.
    bool m_HasBegun = false;
  };
  /// Updates the state of the server that has begun to carry out \p Order.
  void onBegun(const MemberOrder &Order);
  std::map<GroupKey, UnansweredOrder> &ordersLike(const MemberOrder &Order);

  Duration m_MaxOrderDelay;
  /// Joins by server and group.
  std::map<std::string, std::map<GroupKey, UnansweredOrder>> m_Joins;
  std::map<GroupKey, UnansweredOrder> m_Opens;
  struct KnownState {
    OrderState m_State;
    /// Last time at which the server was listed or was seen to be missing.
    std::optional<MonotonicTime> m_ListedAt;
  };
  /// Last known states by server ID.
  std::map<std::string, KnownState> m_States;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_ORDER_LEDGER_H
