#ifndef FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H
#define FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H

#include "core/enum_names.h"
#include "servers/fleet/backend_server.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Command that the planner sends to a member of a replica group.
enum class OrderKind { Join, Open, Close, Leave, Stage };

inline constexpr std::array<EnumName<OrderKind>, 5> OrderKindNames{{
    {OrderKind::Join, "join"},
    {OrderKind::Open, "open"},
    {OrderKind::Close, "close"},
    {OrderKind::Leave, "leave"},
    {OrderKind::Stage, "stage"},
}};

/// What the head of a closing group does with its running requests: let them
/// finish, or preempt them.
enum class CloseMode { FinishWork, PreemptWork };

/// An order to one backend server. A server may execute an order seconds after
/// it was sent, so each order names the group formation that it applies to.
struct MemberOrder {
  OrderKind m_Kind = OrderKind::Join;
  std::string m_Server;
  GroupKey m_Group;
  std::string m_Model;
  /// IDs of all members of the group, for a join; the first one is the head.
  std::vector<std::string> m_Members;
  CloseMode m_CloseMode = CloseMode::FinishWork;
  /// The server leaves a group whose unreachable head may still be serving
  /// requests. Before this order is sent, the server has to be recorded as
  /// quarantined: its entry in the store does not show this after it has left.
  bool m_HeadLost = false;
  /// Last known endpoint of the server, if its entry is no longer in the store.
  std::optional<Endpoint> m_LastEndpoint;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H
