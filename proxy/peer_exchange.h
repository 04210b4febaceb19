#ifndef FULMARWINCH_PROXY_PEER_EXCHANGE_H
#define FULMARWINCH_PROXY_PEER_EXCHANGE_H

#include "core/event_log.h"
#include "core/json.h"
#include "servers/dispatch/completion_rate.h"
#include "servers/dispatch/first_event_latency.h"
#include "servers/dispatch/server_selector.h"
#include "servers/feed/message_delay.h"
#include "servers/feed/relay_topology.h"
#include "servers/replicas/fleet_demand.h"
#include "servers/retry/poison_detector.h"

#include "asio/io_context.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Report that a group seems to have stalled.
struct StallReport {
  /// ID of the group's head server.
  std::string m_HeadServer;
  GroupKey m_Group;
  /// True if a member failed a liveness probe. Otherwise the group's streams
  /// are merely silent, which also happens during the prefill of long prompts.
  bool m_IsConfirmed = false;
};

/// Address, zone and link of another node.
struct PeerAddress {
  Endpoint m_Endpoint;
  std::string m_Zone;
  /// Bandwidth of the node's network link in Mbit/s; 0 if unknown.
  double m_LinkMbps = 0.0;
};

/// Periods of the message exchange between nodes.
struct PeerExchangeSettings {
  /// Period of load messages with up to ten nodes. The period grows with the
  /// number of nodes, so that the message rate of a node stays constant.
  Duration m_LoadPeriod = std::chrono::milliseconds(100);
  /// A peer that sends no message for this many periods counts as lost.
  unsigned m_MaxSilentPeriods = 8;
};

/// Sends the other nodes, over UDP, the number of requests that this node has
/// in flight at each server and the groups that it found stalled, and receives
/// the same from them. The information may be outdated or incomplete; it only
/// affects which server is tried first.
class PeerExchange {
public:
  /// Called when a peer reports that a group stalled.
  using StallReportHandler = std::function<void(const StallReport &)>;
  /// Called with a peer's records of requests that crash servers.
  using CrashRecordHandler =
      std::function<void(const std::vector<PoisonRecord> &)>;
  /// Called with a message about changes of the platform's store, and the time
  /// for which the message was delayed on its way.
  using StoreChangeHandler = std::function<void(const Json &, Duration)>;
  /// Traffic of one node, as its load messages contain it.
  struct TrafficReport {
    /// Groups that first attempts and returning clients keep busy.
    DemandByModel m_Demand;
    DemandByModel m_ReturningDemand;
    FirstEventLatency::Report m_Latencies;
    WorkReport m_Work;
  };
  /// Called with the name and the traffic of a peer.
  using TrafficHandler =
      std::function<void(const std::string &, TrafficReport)>;

  PeerExchange(asio::io_context &Loop, EventLog &Log, ServerSelector &Selector,
               std::string Node, const PeerAddress &OwnAddress,
               const PeerExchangeSettings &Settings = {});
  ~PeerExchange();
  PeerExchange(const PeerExchange &) = delete;
  PeerExchange &operator=(const PeerExchange &) = delete;

  /// Opens the UDP socket and starts to send load messages. Throws if the
  /// socket cannot be bound.
  void start(StallReportHandler OnStallReport,
             CrashRecordHandler OnCrashRecords,
             StoreChangeHandler OnStoreChange);
  /// Sets the source of this node's traffic report, which its load messages
  /// contain, and the function that receives those of the peers.
  void exchangeTraffic(std::function<TrafficReport()> OwnTraffic,
                       TrafficHandler OnPeerTraffic);
  /// Replaces the addresses of the nodes, by name. Nodes that are no longer
  /// listed are forgotten.
  void setPeers(std::map<std::string, PeerAddress> Peers);
  /// Sends \p Message about the store's changes to the nodes \p Receivers.
  void sendFeed(const std::vector<std::string> &Receivers, const Json &Message);
  /// Reports a stalled group to all nodes.
  void announce(const StallReport &Report);
  /// Reports requests that crash servers to all nodes; surplus records that do
  /// not fit into one datagram are omitted.
  void announce(std::vector<PoisonRecord> Records);
  /// Sends the records to one peer, so that nodes that started later or lost a
  /// message receive them as well.
  void sendToRandomPeer(std::vector<PoisonRecord> Records);
  /// Announces to all nodes that \p Server received a prompt whose prefill
  /// takes \p PrefillTime.
  void announcePrompt(const std::string &Server, Duration PrefillTime);
  RelayCandidate ownNode() const;
  /// Returns this node and the peers that sent a message recently, sorted by
  /// name.
  std::vector<RelayCandidate> liveNodes(MonotonicTime Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_PEER_EXCHANGE_H
