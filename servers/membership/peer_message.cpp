#include "servers/membership/peer_message.h"
#include "core/error.h"

namespace fulmarwinch {

std::string encodePeerMessage(const PeerMessage &Message) {
  Json Object = {{"k", nameOf(PeerMessageKindNames, Message.m_Kind)},
                 {"f", Message.m_SenderId},
                 {"s", Message.m_Sequence},
                 {"h", Message.m_TableDigest}};
  for (const MemberRecord &Record : Message.m_Updates)
    Object["u"].push_back(encodeMember(Record));
  if (Message.m_BucketDigests)
    Object["d"] = *Message.m_BucketDigests;
  if (!Message.m_Topics.empty())
    Object["t"] = Message.m_Topics;
  std::string Bytes;
  Json::to_cbor(Object, Bytes);
  return Bytes;
}

absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view Bytes) {
  const absl::Status MalformedError =
      makeError(ErrorKind::InvalidArgument, "peer message is not readable",
                "run the same release on all nodes");
  try {
    const Json Object = Json::from_cbor(Bytes);
    const auto Kind = valueOf(PeerMessageKindNames,
                              Object.at("k").get_ref<const std::string &>());
    if (!Kind)
      return MalformedError;
    PeerMessage Message;
    Message.m_Kind = *Kind;
    Message.m_SenderId = Object.at("f").get<std::string>();
    Message.m_Sequence = Object.at("s").get<std::uint64_t>();
    Message.m_TableDigest = Object.at("h").get<std::uint64_t>();
    for (const Json &Array : Object.value("u", Json::array())) {
      const std::optional<MemberRecord> Record = decodeMember(Array);
      if (!Record)
        return MalformedError;
      Message.m_Updates.push_back(*Record);
    }
    if (Object.contains("d"))
      Message.m_BucketDigests = Object["d"].get<MemberTable::BucketDigests>();
    if (Object.contains("t"))
      Message.m_Topics = Object["t"].get<std::map<std::string, Json>>();
    return Message;
  } catch (const Json::exception &) {
    return MalformedError;
  }
}

} // namespace fulmarwinch
