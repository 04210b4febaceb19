#ifndef FULMARWINCH_SERVERS_MEMBERSHIP_PEER_MESSAGE_H
#define FULMARWINCH_SERVERS_MEMBERSHIP_PEER_MESSAGE_H

#include "servers/membership/member_table.h"

#include "absl/status/statusor.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

enum class PeerMessageKind { Ping, Response, Digests, Records };

inline constexpr std::array<EnumName<PeerMessageKind>, 4> PeerMessageKindNames{{
    {PeerMessageKind::Ping, "p"},
    {PeerMessageKind::Response, "r"},
    {PeerMessageKind::Digests, "d"},
    {PeerMessageKind::Records, "m"},
}};

/// A message between two nodes, encoded as CBOR.
struct PeerMessage {
  PeerMessageKind m_Kind = PeerMessageKind::Ping;
  std::string m_From;
  /// Sequence number of the ping; the response repeats it.
  std::uint64_t m_Sequence = 0;
  /// Digest of the sender's table.
  std::uint64_t m_Digest = 0;
  std::vector<MemberRecord> m_Updates;
  /// Present if m_Kind is Digests.
  std::optional<MemberTable::Digests> m_Digests;
  /// One opaque object per topic of another subsystem.
  std::map<std::string, Json> m_Topics;
};

std::string encodePeerMessage(const PeerMessage &Message);
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view Bytes);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_PEER_MESSAGE_H
