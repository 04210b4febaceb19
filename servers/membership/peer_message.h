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

/// Kind of a peer message: RecordRequest requests the records that differ, and
/// Records answers that request.
enum class PeerMessageKind { Ping, Response, RecordRequest, Records };

inline constexpr std::array<EnumName<PeerMessageKind>, 4> PeerMessageKindNames{{
    {PeerMessageKind::Ping, "p"},
    {PeerMessageKind::Response, "r"},
    {PeerMessageKind::RecordRequest, "d"},
    {PeerMessageKind::Records, "m"},
}};

/// A message between two nodes, encoded as CBOR.
struct PeerMessage {
  PeerMessageKind m_Kind = PeerMessageKind::Ping;
  std::string m_SenderId;
  /// Sequence number of the ping, repeated in the response; 0 for a ping that
  /// does not make the sender an inbound peer.
  std::uint64_t m_Sequence = 0;
  /// Digest of the sender's member table.
  std::uint64_t m_TableDigest = 0;
  /// Member records that the receiver merges into its table.
  std::vector<MemberRecord> m_Updates;
  /// Bucket digests of the sender's member table; present if m_Kind is
  /// RecordRequest.
  std::optional<MemberTable::BucketDigests> m_BucketDigests;
  /// Data of other subsystems by topic; membership does not interpret it.
  std::map<std::string, Json> m_Topics;
};

/// Returns the CBOR encoding of \p Message.
std::string encodePeerMessage(const PeerMessage &Message);
/// Returns the decoded message, or an InvalidArgument error if the bytes are
/// malformed.
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view Bytes);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEMBERSHIP_PEER_MESSAGE_H
