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
enum class MemberOrderKind { Join, Open, Close, Leave, Stage };

inline constexpr std::array<EnumName<MemberOrderKind>, 5> MemberOrderKindNames{{
    {MemberOrderKind::Join, "join"},
    {MemberOrderKind::Open, "open"},
    {MemberOrderKind::Close, "close"},
    {MemberOrderKind::Leave, "leave"},
    {MemberOrderKind::Stage, "stage"},
}};

/// What the head of a closing group does with its running requests: let them
/// finish, or preempt them.
enum class CloseMode { FinishRequests, PreemptRequests };

/// An order to one backend server. A server may execute an order seconds after
/// it was sent, so each order names the group formation that it applies to.
struct MemberOrder {
  MemberOrderKind m_Kind = MemberOrderKind::Join;
  std::string m_Server;
  GroupKey m_Group;
  std::string m_Model;
  /// IDs of all members of the group, for a join; the first one is the head.
  std::vector<std::string> m_Members;
  CloseMode m_CloseMode = CloseMode::FinishRequests;
  /// The server leaves a group whose unreachable head may still be serving
  /// requests. Before this order is sent, the server has to be recorded as
  /// quarantined: its entry in the store does not show this after it has left.
  bool m_HeadMayServe = false;
  /// Last known endpoint of the server, if its entry is no longer in the store.
  std::optional<Endpoint> m_LastEndpoint;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H
