#ifndef FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H
#define FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H

#include "core/enum_names.h"
#include "servers/fleet/backend_server.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

enum class OrderKind { Join, Open, Close, Leave, Stage };

inline constexpr std::array<EnumName<OrderKind>, 5> OrderKindNames{{
    {OrderKind::Join, "join"},
    {OrderKind::Open, "open"},
    {OrderKind::Close, "close"},
    {OrderKind::Leave, "leave"},
    {OrderKind::Stage, "stage"},
}};

/// What a head that closes does with the work it has.
enum class CloseMode { FinishWork, PreemptWork };

/// An order to one backend server. Orders may be carried out seconds late, so
/// each names the formation that it is for.
struct MemberOrder {
  OrderKind m_Kind = OrderKind::Join;
  std::string m_Server;
  GroupKey m_Group;
  std::string m_Model;
  /// Members of a join; the first one is the head.
  std::vector<std::string> m_Members;
  CloseMode m_CloseMode = CloseMode::FinishWork;
  /// The server leaves a group whose head may still serve out of sight. That
  /// it must not join another one yet has to be recorded first, since nothing
  /// in its entry shows it afterwards.
  bool m_HeadLost = false;
  /// Where the server was last seen, if its entry is gone.
  std::optional<Endpoint> m_LastEndpoint;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H
