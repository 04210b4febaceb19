#ifndef FULMARWINCH_RANDOMISED_CONFIGURATION_CLUSTER_H
#define FULMARWINCH_RANDOMISED_CONFIGURATION_CLUSTER_H

#include "randomised/fake_configuration_store.h"
#include "servers/configuration/configuration_replica.h"
#include "servers/configuration/configuration_writer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace fulmarwinch {

/// Size, message delays and message loss of a simulated configuration cluster.
struct ConfigurationClusterOptions {
  std::uint64_t m_Seed = 1;
  std::size_t m_NodeCount = 9;
  std::size_t m_ZoneCount = 3;
  Duration m_MinMessageDelay = std::chrono::milliseconds(1);
  Duration m_MaxMessageDelay = std::chrono::milliseconds(5);
  double m_MessageLossProbability = 0;
  Duration m_WatchTimeout = std::chrono::milliseconds(250);
  std::size_t m_NeighboursPerNode = 4;
  /// Whether Usage counts the encoded bytes of messages between nodes.
  bool m_CountPeerBytes = false;
};

/// Simulates configuration replicas and writers on several nodes, over a fake
/// object store and a network with delay, message loss and partitions. After
/// each event of a node its invariants are checked; a violation throws
/// std::logic_error.
class ConfigurationCluster {
public:
  explicit ConfigurationCluster(ConfigurationClusterOptions Options);

  void runFor(Duration Length);
  MonotonicTime now() const { return m_Now; }
  std::mt19937_64 &random() { return m_Random; }
  FakeConfigurationStore &store() { return m_Store; }
  const FakeConfigurationStore &store() const { return m_Store; }

  std::size_t nodeCount() const { return m_Nodes.size(); }
  bool isUp(std::size_t Node) const {
    return m_Nodes[Node].m_Replica != nullptr;
  }
  const ConfigurationReplica &replica(std::size_t Node) const {
    return *m_Nodes[Node].m_Replica;
  }
  const std::string &zoneOf(std::size_t Node) const {
    return m_Nodes[Node].m_Zone;
  }

  /// Moves \p Node to a network partition. Nodes of different partitions
  /// cannot exchange messages; only partition 0 reaches the store.
  void setPartition(std::size_t Node, int Partition);
  void healPartitions();
  void stopNode(std::size_t Node);
  void startNode(std::size_t Node);

  /// Starts a writer on \p Node that stores the change of \p Request.
  void confirm(std::size_t Node, ProposedChange Request);
  using ConfirmResult = absl::StatusOr<ConfigurationRevision>;
  /// Results of finished writers by plan; a plan that was confirmed on two
  /// nodes has two results.
  const std::multimap<std::string, ConfirmResult> &confirmResults() const {
    return m_ConfirmResults;
  }

  /// Throws std::logic_error unless every running node has the newest accepted
  /// revision and counts as fresh.
  void requireConverged() const;
  /// Time from the acceptance of \p Revision until the last node applied it;
  /// std::nullopt if a node has not applied it yet.
  std::optional<Duration> propagationTime(ConfigurationRevision Revision) const;

  /// Counters of the run.
  struct Usage {
    /// Encoded bytes of messages between nodes, if m_CountPeerBytes is set.
    std::uint64_t m_PeerBytes = 0;
    std::uint64_t m_ExecutedEvents = 0;
    /// One sample is made per tick of a node.
    std::uint64_t m_FreshnessSamples = 0;
    /// Samples in which the node must not accept new work, since its
    /// configuration may be stale.
    std::uint64_t m_SamplesRefusingNewWork = 0;
  };
  Usage m_Usage;

private:
  struct Node {
    std::string m_Name;
    std::string m_Zone;
    int m_Partition = 0;
    std::uint64_t m_Incarnation = 0;
    std::unique_ptr<ConfigurationReplica> m_Replica;
    std::vector<std::size_t> m_Neighbours;
    /// Time at which each known peer was last reachable.
    std::map<std::size_t, MonotonicTime> m_LastReachedAt;
    std::vector<ConfigurationPeer> m_Peers;
    ConfigurationRevision m_LastCheckedRevision = 0;
    std::vector<std::unique_ptr<ConfigurationWriter>> m_Writers;
  };
  struct Event {
    MonotonicTime m_DueAt;
    std::uint64_t m_SequenceNumber = 0;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_DueAt, Other.m_SequenceNumber) <
             std::tie(m_DueAt, m_SequenceNumber);
    }
  };

  void scheduleAt(MonotonicTime Time, std::function<void()> Action);
  /// Runs \p Action after \p Delay unless the node stopped or restarted in the
  /// meantime.
  void scheduleOnNode(std::size_t Node, Duration Delay,
                      std::function<void()> Action);
  void sendMessage(std::size_t From, std::size_t To, const Json &Message,
                   std::function<void()> Action);
  Duration randomMessageDelay();
  bool areConnected(std::size_t First, std::size_t Second) const;
  void chooseNeighbours(std::size_t Node);
  void updatePeers(std::size_t Node, bool Always);
  void tickNode(std::size_t Node);
  void pingNeighbours(std::size_t Node);
  void execute(std::size_t Node, ConfigurationReplica::Actions Actions);
  void execute(std::size_t Node, const GetObject &Call);
  void execute(std::size_t Node, const WatchHead &Call);
  void execute(std::size_t Node, const ListHead &Call);
  void execute(std::size_t Node, const RequestUpdate &Call);
  void execute(std::size_t Node, const SendUpdate &Call);
  void completeWatch(std::size_t Node, const WatchHead &Call,
                     MonotonicTime Deadline);
  void callStore(std::size_t Node, std::size_t Writer,
                 const std::vector<StoreAction> &Actions);
  void advanceWriter(std::size_t Node, std::size_t Writer,
                     const std::vector<StoreAction> &Actions);
  void checkInvariants(std::size_t Node);
  [[noreturn]] void throwViolation(std::size_t Node,
                                   const std::string &Problem) const;
  std::size_t nodeIndex(const std::string &Name) const;
  bool isStoreReachable(std::size_t Node) const;

  ConfigurationClusterOptions m_Options;
  std::mt19937_64 m_Random;
  MonotonicTime m_Now{std::chrono::seconds(1000)};
  FakeConfigurationStore m_Store;
  std::vector<Node> m_Nodes;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_LastSequenceNumber = 0;
  MonotonicTime m_PartitionsChangedAt;
  std::multimap<std::string, ConfirmResult> m_ConfirmResults;
  std::map<ConfigurationRevision, std::map<std::size_t, MonotonicTime>>
      m_AppliedAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_CONFIGURATION_CLUSTER_H
