#ifndef FULMARWINCH_NODE_PEER_SERVICE_H
#define FULMARWINCH_NODE_PEER_SERVICE_H

#include "core/enum_names.h"
#include "core/json.h"
#include "core/metrics.h"
#include "drivers/peers/peer_links.h"
#include "node/node_settings.h"
#include "node/task_thread.h"
#include "servers/membership/membership.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Kinds of messages between nodes. The first byte of a message is the
/// one-letter name of its kind.
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

/// Runs the membership protocol and sends and receives messages between nodes.
/// All functions and handlers run on the control thread.
class PeerService {
public:
  using Handler =
      std::function<void(const std::string &From, const Json &Message)>;
  using TopicHandler = std::function<void(const TopicReceived &Topic)>;

  PeerService(const NodeSettings &Settings, TaskThread &ControlThread,
              Metrics &NodeMetrics);

  absl::Status start();
  void stop();
  /// Sends the membership messages that are due. Must be called every 50 ms.
  void tick(MonotonicTime Now);
  /// Announces a graceful departure of this node to its peers.
  void leave(MonotonicTime Now);

  /// Sets the handler of received messages of \p Channel.
  void setChannelHandler(PeerChannel Channel, Handler Handle);
  /// Registers a topic whose values are exchanged with membership messages: \p
  /// Source returns the value to send, \p Handle is called for received values.
  void setTopic(const std::string &Topic, TopicSource Source,
                TopicHandler Handle);

  /// Sends \p Message to \p Node. A message to this node is handled before
  /// send() returns; one to an unknown node is discarded.
  void send(const std::string &Node, PeerChannel Channel, const Json &Message);
  /// Sends \p Message to all reachable nodes, including this one.
  void broadcast(PeerChannel Channel, const Json &Message);

  const std::string &selfId() const { return m_Settings.m_Node; }
  /// Returns the members that are alive or suspected, including this node.
  std::vector<MemberRecord> reachableMembers() const;
  const Membership &membership() const { return m_Membership; }

private:
  void onMessageBytes(std::string Bytes);
  void execute(const MembershipEffects &Effects);
  void sendBytes(const std::string &Address, PeerChannel Channel,
                 std::string_view Payload);

  const NodeSettings &m_Settings;
  TaskThread &m_ControlThread;
  Metrics &m_Metrics;
  Membership m_Membership;
  PeerLinks m_Links;
  std::map<PeerChannel, Handler> m_Handlers;
  std::map<std::string, TopicHandler> m_TopicHandlers;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_PEER_SERVICE_H
