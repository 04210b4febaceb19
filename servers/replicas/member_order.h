#ifndef FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H
#define FULMARWINCH_SERVERS_REPLICAS_MEMBER_ORDER_H

#include "core/enum_names.h"
#include "servers/fleet/backend_server.h"

#include <array>
#include <cstdint>
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

/// How an order ended.
enum class OrderResult {
  /// The server has begun to carry it out.
  Begun,
  /// The state that it asks for held already, or holds now.
  Done,
  /// The server has carried out other orders than it was decided on, or is in
  /// another state.
  Conflict,
  /// The server refused it for another reason.
  Refused,
  /// No answer arrived. The server may have carried it out, or may do so
  /// seconds later.
  Unanswered,
  /// No byte of it was sent.
  NotSent,
};

inline constexpr std::array<EnumName<OrderResult>, 6> OrderResultNames{{
    {OrderResult::Begun, "begun"},
    {OrderResult::Done, "done"},
    {OrderResult::Conflict, "conflict"},
    {OrderResult::Refused, "refused"},
    {OrderResult::Unanswered, "unanswered"},
    {OrderResult::NotSent, "not_sent"},
}};

/// State of one process of a backend server as its load report or its answer to
/// an order tells it.
struct OrderState {
  /// Start of the process in Unix milliseconds; 0 if it is not known.
  std::int64_t m_StartedAtMs = 0;
  /// Number of orders that the process has begun; nothing if it does not tell.
  std::optional<std::uint64_t> m_OrderCount;
  /// Group that the process is a member of.
  std::optional<GroupKey> m_Group;
};

/// An order to one backend server. A server may execute an order seconds after
/// it was sent, so each order names the group formation that it applies to and
/// the state of the server that it was decided on.
struct MemberOrder {
  MemberOrderKind m_Kind = MemberOrderKind::Join;
  std::string m_Server;
  /// Start of the process that the order is for, in Unix milliseconds; 0 if it
  /// is not known.
  std::int64_t m_StartedAtMs = 0;
  /// Number of orders that the process had begun when this one was decided. The
  /// process refuses the order if it has begun others meanwhile. Nothing if it
  /// does not tell the number.
  std::optional<std::uint64_t> m_Precondition;
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
