#ifndef FULMARWINCH_SERVERS_FLEET_BACKEND_SERVER_H
#define FULMARWINCH_SERVERS_FLEET_BACKEND_SERVER_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// IPv4 address and TCP port of a process.
struct Endpoint {
  std::string m_Ip;
  std::uint16_t m_Port = 0;

  bool operator==(const Endpoint &Other) const {
    return m_Ip == Other.m_Ip && m_Port == Other.m_Port;
  }
};

/// Parses "IP:PORT". Returns nothing if the text has another form.
std::optional<Endpoint> parseEndpoint(const std::string &Text);

/// State of one member in a replica group, as the member reports it.
enum class MemberState { Joining, Ready, Open, Closing, Broken };

inline constexpr std::array<EnumName<MemberState>, 5> MemberStateNames{{
    {MemberState::Joining, "joining"},
    {MemberState::Ready, "ready"},
    {MemberState::Open, "open"},
    {MemberState::Closing, "closing"},
    {MemberState::Broken, "broken"},
}};

/// Identifies one formation of a replica group. Names are never used twice,
/// so that a late order for an earlier formation fits no later one.
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

/// Place of a backend server in a replica group. Rank 0 is the head, which
/// receives the group's requests.
struct GroupMembership {
  GroupKey m_Group;
  unsigned m_Rank = 0;
  MemberState m_State = MemberState::Joining;
};

/// What a backend server last said about itself.
struct BackendServer {
  std::string m_Id;
  /// Start of the process in Unix milliseconds by the server's clock. A new
  /// value under the same ID is a process that knows nothing of before.
  std::int64_t m_StartedAtMs = 0;
  std::string m_Service;
  Endpoint m_Endpoint;
  std::string m_Zone;
  /// Fabric domain; empty for plain services.
  std::string m_Domain;
  unsigned m_Slots = 1;
  bool m_Draining = false;
  /// Rest of the cold start, counted from when the entry was written.
  Duration m_ColdFor{0};
  std::vector<std::string> m_LoadedModels;
  std::vector<std::string> m_StagedModels;
  std::optional<GroupMembership> m_Membership;
  /// Store revision of the entry that this was decoded from.
  std::uint64_t m_Revision = 0;

  /// The server can join a group of \p Model without the weight store.
  bool hasStaged(const std::string &Model) const;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FLEET_BACKEND_SERVER_H
