#ifndef FULMARWINCH_NODE_PEER_SERVICE_H
#define FULMARWINCH_NODE_PEER_SERVICE_H

#include "core/enum_names.h"
#include "core/json.h"
#include "core/metrics.h"
#include "drivers/peers/peer_links.h"
#include "node/control_thread.h"
#include "node/node_settings.h"
#include "servers/membership/membership.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Kinds of messages between nodes; the name is the first byte of a message.
enum class PeerChannel {
  Membership,
  Views,
  Tasks,
  Slots,
  Configuration,
  Poison
};

inline constexpr std::array<EnumName<PeerChannel>, 6> PeerChannelNames{{
    {PeerChannel::Membership, "m"},
    {PeerChannel::Views, "v"},
    {PeerChannel::Tasks, "t"},
    {PeerChannel::Slots, "s"},
    {PeerChannel::Configuration, "c"},
    {PeerChannel::Poison, "p"},
}};

/// Membership and messages between nodes. All functions and handlers run on
/// the control thread.
class PeerService {
public:
  using Handler =
      std::function<void(const std::string &From, const Json &Message)>;
  using TopicHandler = std::function<void(const TopicReceived &Topic)>;

  PeerService(const NodeSettings &Settings, ControlThread &Control,
              Metrics &Figures);

  absl::Status start();
  void stop();
  void tick(MonotonicTime Now);
  /// Announces a graceful leave.
  void leave(MonotonicTime Now);

  void onChannel(PeerChannel Channel, Handler Handle);
  void setTopic(const std::string &Topic, TopicSource Source,
                TopicHandler Handle);

  /// Sends to one node. A message to this node is handled at once; one to an
  /// unknown node is dropped.
  void send(const std::string &Node, PeerChannel Channel, const Json &Message);
  /// Sends to all reachable nodes, this one included.
  void broadcast(PeerChannel Channel, const Json &Message);

  const std::string &self() const { return m_Settings.m_Node; }
  /// Members that are alive or suspected, this node included.
  std::vector<MemberRecord> reachableMembers() const;
  const Membership &membership() const { return m_Membership; }

private:
  void onBytes(std::string Bytes);
  void carryOut(const MembershipEffects &Effects);
  void sendBytes(const std::string &Address, PeerChannel Channel,
                 std::string_view Payload);

  const NodeSettings &m_Settings;
  ControlThread &m_Control;
  Metrics &m_Metrics;
  Membership m_Membership;
  PeerLinks m_Links;
  std::map<PeerChannel, Handler> m_Handlers;
  std::map<std::string, TopicHandler> m_TopicHandlers;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_PEER_SERVICE_H
