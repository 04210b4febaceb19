#ifndef FULMARWINCH_PROXY_PEER_EXCHANGE_H
#define FULMARWINCH_PROXY_PEER_EXCHANGE_H

#include "core/event_log.h"
#include "core/json.h"
#include "servers/dispatch/server_selector.h"
#include "servers/retry/poison_detector.h"

#include "asio/io_context.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// A group that seems to stand still.
struct StallNotice {
  std::string m_Head;
  GroupKey m_Group;
  /// A member did not answer a probe. Otherwise only the group's streams are
  /// silent, as they are too while long prompts are read.
  bool m_Confirmed = false;
};

/// Where another node is.
struct PeerAddress {
  Endpoint m_Endpoint;
  std::string m_Zone;
};

/// Times of the exchange between nodes.
struct PeerExchangeSettings {
  /// Period of load messages among ten nodes. It grows with the number of
  /// nodes, so that a node's messages per second do not.
  Duration m_Period = std::chrono::milliseconds(100);
  /// A peer that is not heard from for this many periods is not counted.
  unsigned m_SilentPeriods = 8;
};

/// Tells the other nodes over UDP what this one has in progress and which
/// groups it found standing still. What peers say is a hint: it only changes
/// which server is tried first.
class PeerExchange {
public:
  /// Called when a peer reports a stalled group.
  using NoticeHandler = std::function<void(const StallNotice &)>;
  /// Called with what a peer knows of requests that crash servers.
  using BlameHandler = std::function<void(const std::vector<PoisonRecord> &)>;
  /// Called with a message about the store's changes.
  using FeedHandler = std::function<void(const Json &)>;

  PeerExchange(asio::io_context &Loop, EventLog &Log, ServerSelector &Selector,
               std::string Node, const PeerAddress &Own,
               const PeerExchangeSettings &Settings = {});
  ~PeerExchange();
  PeerExchange(const PeerExchange &) = delete;
  PeerExchange &operator=(const PeerExchange &) = delete;

  void start(NoticeHandler OnNotice, BlameHandler OnBlame, FeedHandler OnFeed);
  /// Addresses of the other nodes by name.
  void setPeers(std::map<std::string, PeerAddress> Peers);
  /// Sends \p Feed to the other nodes of the own zone.
  void sendToZone(const Json &Feed);
  void announce(const StallNotice &Notice);
  void announce(std::vector<PoisonRecord> Records);
  /// Tells all nodes that \p Server got a prompt that takes \p Work to read.
  void announcePrompt(const std::string &Server, Duration Work);
  /// Names of the nodes that were heard from lately, this one included.
  std::vector<std::string> liveNodes(MonotonicTime Now) const;
  /// The same for the nodes of the own zone.
  std::vector<std::string> liveZoneNodes(MonotonicTime Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_PEER_EXCHANGE_H
