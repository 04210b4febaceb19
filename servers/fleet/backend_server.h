#ifndef FULMARWINCH_SERVERS_FLEET_BACKEND_SERVER_H
#define FULMARWINCH_SERVERS_FLEET_BACKEND_SERVER_H

#include "core/enum_names.h"
#include "core/store_position.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fulmarwinch {

/// IPv4 address and TCP port of a process.
struct Endpoint {
  std::string m_Ip;
  std::uint16_t m_Port = 0;

  bool operator<(const Endpoint &Other) const {
    return std::tie(m_Port, m_Ip) < std::tie(Other.m_Port, Other.m_Ip);
  }
  bool operator==(const Endpoint &Other) const {
    return m_Ip == Other.m_Ip && m_Port == Other.m_Port;
  }
};

/// Parses "IP:PORT". Returns nothing if the text has another form or the port
/// is not in 1..65535.
std::optional<Endpoint> parseEndpoint(const std::string &Text);

/// State of one member of a replica group, as reported by the member. Joining:
/// it is loading the weights. Ready: it is able to serve. Open: it is the head
/// of a group that accepts requests. Closing: it is the head of a group that
/// finishes or preempts its requests. Broken: the group has lost a member and
/// no longer serves.
enum class GroupMemberState { Joining, Ready, Open, Closing, Broken };

inline constexpr std::array<EnumName<GroupMemberState>, 5>
    GroupMemberStateNames{{
        {GroupMemberState::Joining, "joining"},
        {GroupMemberState::Ready, "ready"},
        {GroupMemberState::Open, "open"},
        {GroupMemberState::Closing, "closing"},
        {GroupMemberState::Broken, "broken"},
    }};

/// Identifies one formation of a replica group. Names are never reused, so that
/// a late order for an earlier formation cannot match a later one.
struct GroupKey {
  std::string m_Name;
  std::uint64_t m_Epoch = 0;

  bool operator==(const GroupKey &Other) const {
    return m_Epoch == Other.m_Epoch && m_Name == Other.m_Name;
  }
  bool operator<(const GroupKey &Other) const {
    return m_Epoch != Other.m_Epoch ? m_Epoch < Other.m_Epoch
                                    : m_Name < Other.m_Name;
  }
};

/// Membership of a backend server in a replica group. The member with rank 0 is
/// the head, which receives the requests of the group.
struct GroupMembership {
  GroupKey m_Group;
  unsigned m_Rank = 0;
  GroupMemberState m_State = GroupMemberState::Joining;
};

/// Last state that a backend server reported in its store entry.
struct BackendServer {
  std::string m_Id;
  /// Start of the process in Unix milliseconds, by the clock of the server. A
  /// new value under the same ID is a new process without the state of the
  /// earlier one.
  std::int64_t m_StartedAtMs = 0;
  std::string m_Service;
  Endpoint m_Endpoint;
  std::string m_Zone;
  /// Fabric domain; empty if the service has no replica groups.
  std::string m_FabricDomain;
  unsigned m_Slots = 1;
  bool m_Draining = false;
  /// Remaining time of the cold start when the entry was written.
  Duration m_RemainingColdTime{0};
  std::vector<std::string> m_LoadedModels;
  /// Models whose weights are staged on the host, ready to load.
  std::vector<std::string> m_StagedModels;
  std::optional<GroupMembership> m_Membership;
  /// Number of the server's report; increases with each one of the process.
  std::uint64_t m_ReportNumber = 0;
  /// Store position of the entry from which this state was decoded.
  StorePosition m_Position;

  /// True if the weights of \p Model are staged on the host, so that the server
  /// can join a group without loading from the weight store.
  bool hasStagedWeights(const std::string &Model) const;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FLEET_BACKEND_SERVER_H
