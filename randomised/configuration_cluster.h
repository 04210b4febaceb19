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
struct ClusterOptions {
  std::uint64_t m_Seed = 1;
  std::size_t m_Nodes = 9;
  std::size_t m_Zones = 3;
  Duration m_MinDelay = std::chrono::milliseconds(1);
  Duration m_MaxDelay = std::chrono::milliseconds(5);
  double m_Loss = 0;
  Duration m_WatchTimeout = std::chrono::milliseconds(250);
  std::size_t m_Neighbours = 4;
  /// Whether Usage counts the encoded bytes of messages between nodes.
  bool m_CountBytes = false;
};

/// Simulates configuration replicas and writers on several nodes, over a fake
/// object store and a network with delay, message loss and partitions. After
/// each event of a node its invariants are checked; a violation throws
/// std::logic_error.
class ConfigurationCluster {
public:
  explicit ConfigurationCluster(ClusterOptions Options);

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
  void setIsland(std::size_t Node, int Partition);
  void heal();
  void stop(std::size_t Node);
  void start(std::size_t Node);

  /// Starts a writer on \p Node that stores the change of \p Request.
  void confirm(std::size_t Node, AcceptRequest Request);
  using Confirmed = absl::StatusOr<ConfigurationRevision>;
  /// Results of finished writers by plan; a plan that was confirmed on two
  /// nodes has two results.
  const std::multimap<std::string, Confirmed> &results() const {
    return m_Results;
  }

  /// Throws std::logic_error unless every running node has the newest accepted
  /// revision and counts as fresh.
  void requireConverged() const;
  /// Time from the acceptance of \p Revision until the last node applied it;
  /// std::nullopt if a node has not applied it yet.
  std::optional<Duration> spreadOf(ConfigurationRevision Revision) const;

  /// Counters of the run.
  struct Usage {
    /// Encoded bytes of messages between nodes, if m_CountBytes is set.
    std::uint64_t m_PeerBytes = 0;
    std::uint64_t m_Steps = 0;
    /// One sample is made per tick of a node.
    std::uint64_t m_Samples = 0;
    /// Samples in which the node must not accept new work, since its
    /// configuration may be stale.
    std::uint64_t m_RefusingSamples = 0;
  };
  Usage m_Usage;

private:
  struct Node {
    std::string m_Name;
    std::string m_Zone;
    int m_Island = 0;
    std::uint64_t m_Life = 0;
    std::unique_ptr<ConfigurationReplica> m_Replica;
    std::vector<std::size_t> m_Neighbours;
    /// Time at which each known peer was last reachable.
    std::map<std::size_t, MonotonicTime> m_ReachedAt;
    std::vector<ConfigurationPeer> m_Peers;
    ConfigurationRevision m_LastRevision = 0;
    std::vector<std::unique_ptr<ConfigurationWriter>> m_Writers;
  };
  struct Event {
    MonotonicTime m_At;
    std::uint64_t m_Number = 0;
    std::function<void()> m_Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Number) < std::tie(m_At, m_Number);
    }
  };

  void at(MonotonicTime Time, std::function<void()> Action);
  /// Runs \p Action after \p Delay unless the node stopped or restarted in the
  /// meantime.
  void later(std::size_t Node, Duration Delay, std::function<void()> Action);
  void send(std::size_t From, std::size_t To, const Json &Message,
            std::function<void()> Action);
  Duration delay();
  bool areConnected(std::size_t First, std::size_t Second) const;
  void chooseNeighbours(std::size_t Node);
  void updatePeers(std::size_t Node, bool Always);
  void tick(std::size_t Node);
  void ping(std::size_t Node);
  void carryOut(std::size_t Node, ConfigurationReplica::Actions Actions);
  void carryOut(std::size_t Node, const GetObject &Call);
  void carryOut(std::size_t Node, const WatchHead &Call);
  void carryOut(std::size_t Node, const ListHead &Call);
  void carryOut(std::size_t Node, const AskPeer &Call);
  void carryOut(std::size_t Node, const SendUpdate &Call);
  void answerWatch(std::size_t Node, const WatchHead &Call,
                   MonotonicTime Deadline);
  void callStore(std::size_t Node, std::size_t Writer,
                 const std::vector<StoreAction> &Actions);
  void stepWriter(std::size_t Node, std::size_t Writer,
                  const std::vector<StoreAction> &Actions);
  void check(std::size_t Node);
  [[noreturn]] void violated(std::size_t Node,
                             const std::string &Problem) const;
  std::size_t indexOf(const std::string &Name) const;
  bool isStoreReachable(std::size_t Node) const;

  ClusterOptions m_Options;
  std::mt19937_64 m_Random;
  MonotonicTime m_Now{std::chrono::seconds(1000)};
  FakeConfigurationStore m_Store;
  std::vector<Node> m_Nodes;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_EventNumber = 0;
  MonotonicTime m_IslandsChangedAt;
  std::multimap<std::string, Confirmed> m_Results;
  std::map<ConfigurationRevision, std::map<std::size_t, MonotonicTime>>
      m_AppliedAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_CONFIGURATION_CLUSTER_H
