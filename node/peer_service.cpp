#include "node/peer_service.h"

#include "core/log.h"

#include "fmt/format.h"

#include <random>

namespace fulmarwinch {

namespace {

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

MemberRecord selfRecord(const NodeSettings &Settings) {
  MemberRecord Self;
  Self.m_NodeId = Settings.m_Node;
  Self.m_Incarnation = unixMilliseconds();
  Self.m_Zone = Settings.m_Zone;
  Self.m_Region = Settings.m_Region;
  Self.m_Address = toText(Settings.m_PeerEndpoint);
  return Self;
}

std::vector<std::string> seedAddresses(const NodeSettings &Settings) {
  std::vector<std::string> Addresses;
  for (const Endpoint &Seed : Settings.m_Seeds)
    Addresses.push_back(toText(Seed));
  return Addresses;
}

PeerLinkOptions linkOptions(const NodeSettings &Settings) {
  PeerLinkOptions Options;
  Options.m_Address = Settings.m_PeerEndpoint.m_Address;
  Options.m_Port = Settings.m_PeerEndpoint.m_Port;
  return Options;
}

} // namespace

PeerService::PeerService(const NodeSettings &Settings,
                         TaskThread &ControlThread, Metrics &NodeMetrics)
    : m_Settings(Settings), m_ControlThread(ControlThread),
      m_Metrics(NodeMetrics),
      m_Membership(selfRecord(Settings), seedAddresses(Settings),
                   std::random_device{}()),
      m_Links(linkOptions(Settings), [this](const std::string &Bytes) {
        m_ControlThread.post([this, Bytes] { onMessageBytes(Bytes); });
      }) {}

absl::Status PeerService::start() { return m_Links.start(); }

void PeerService::stop() { m_Links.stop(); }

void PeerService::tick(MonotonicTime Now) {
  MembershipEffects Effects;
  m_Membership.tick(Now, Effects);
  execute(Effects);
}

void PeerService::leave(MonotonicTime Now) {
  MembershipEffects Effects;
  m_Membership.leave(Now, Effects);
  execute(Effects);
}

void PeerService::setChannelHandler(PeerChannel Channel, Handler Handle) {
  m_Handlers[Channel] = std::move(Handle);
}

void PeerService::setTopic(const std::string &Topic, TopicSource Source,
                           TopicHandler Handle) {
  m_Membership.setTopic(Topic, std::move(Source));
  m_TopicHandlers[Topic] = std::move(Handle);
}

void PeerService::send(const std::string &Node, PeerChannel Channel,
                       const Json &Message) {
  if (Node == selfId()) {
    if (const auto Found = m_Handlers.find(Channel); Found != m_Handlers.end())
      Found->second(Node, Message);
    return;
  }
  const MemberRecord *Member = m_Membership.table().find(Node);
  if (!Member)
    return;
  const std::vector<std::uint8_t> Payload =
      Json::to_cbor(Json{{"f", selfId()}, {"b", Message}});
  sendBytes(Member->m_Address, Channel,
            {reinterpret_cast<const char *>(Payload.data()), Payload.size()});
}

void PeerService::broadcast(PeerChannel Channel, const Json &Message) {
  for (const MemberRecord &Member : reachableMembers())
    send(Member.m_NodeId, Channel, Message);
}

std::vector<MemberRecord> PeerService::reachableMembers() const {
  std::vector<MemberRecord> Members;
  for (const auto &[Id, Record] : m_Membership.table().members())
    if (Record.isReachable())
      Members.push_back(Record);
  return Members;
}

void PeerService::onMessageBytes(std::string Bytes) {
  if (Bytes.empty())
    return;
  const std::optional<PeerChannel> Channel =
      valueOf(PeerChannelNames, std::string_view(Bytes).substr(0, 1));
  if (!Channel)
    return;
  const std::string_view Payload = std::string_view(Bytes).substr(1);
  if (*Channel == PeerChannel::Membership) {
    MembershipEffects Effects;
    m_Membership.onMessage(Payload, monotonicNow(), Effects);
    execute(Effects);
    return;
  }
  const Json Message = parseCbor(Payload.begin(), Payload.end());
  const auto Found = m_Handlers.find(*Channel);
  if (!Message.is_object() || !Message.contains("b") ||
      Found == m_Handlers.end())
    return;
  Found->second(fieldOr<std::string>(Message, "f", ""), Message["b"]);
}

void PeerService::execute(const MembershipEffects &Effects) {
  for (const SendToPeer &Message : Effects.m_Messages)
    sendBytes(Message.m_Address, PeerChannel::Membership, Message.m_Bytes);
  for (const TopicReceived &Topic : Effects.m_ReceivedTopics)
    if (const auto Found = m_TopicHandlers.find(Topic.m_Topic);
        Found != m_TopicHandlers.end())
      Found->second(Topic);
  for (const MemberChanged &Change : Effects.m_MemberChanges)
    logLine(LogLevel::Info, "membership",
            fmt::format("node {} is {}", Change.m_Record.m_NodeId,
                        nameOf(MemberStateNames, Change.m_Record.m_State)));
}

void PeerService::sendBytes(const std::string &Address, PeerChannel Channel,
                            std::string_view Payload) {
  std::string Bytes(nameOf(PeerChannelNames, Channel));
  Bytes += Payload;
  const std::string Labels =
      fmt::format("{{channel=\"{}\"}}", nameOf(PeerChannelNames, Channel));
  m_Metrics.increment("peer_bytes_sent_total" + Labels, Bytes.size());
  m_Metrics.increment("peer_messages_sent_total" + Labels);
  m_Links.send(Address, std::move(Bytes));
}

} // namespace fulmarwinch
