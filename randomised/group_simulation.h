#ifndef FULMARWINCH_RANDOMISED_GROUP_SIMULATION_H
#define FULMARWINCH_RANDOMISED_GROUP_SIMULATION_H

#include "randomised/fake_store.h"
#include "servers/groups/assignment_codec.h"
#include "servers/groups/group_controller.h"
#include "servers/groups/serving_view.h"
#include "servers/lease/lease_manager.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Simulated inference engine of one VM. It may or may not check the fencing
/// tokens of orders.
struct FakeEngine {
  bool m_IsUp = true;
  bool m_IsPartitioned = false;
  bool m_ChecksFencing = true;
  int m_StartCount = 1;
  std::int64_t m_StartedAt = 0;
  std::uint64_t m_HighestFencingToken = 0;
  EngineState m_State = EngineState::Empty;
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  double m_WeightBytesLeft = 0;
  std::uint64_t m_RunningRequests = 0;
  /// Set by a SetDrainingRole order: the engine refuses new requests, with the
  /// outcome that they were not run.
  bool m_IsDraining = false;
  /// Time in ms at which the engine last became ready.
  std::int64_t m_ReadySince = 0;
  /// Time in ms at which the engine was last ready and reachable, by group and
  /// generation.
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> m_LastReadyAt;
};

/// Size of the simulated cluster and the faults that are simulated in it.
struct GroupSimulationSettings {
  std::uint64_t m_Seed = 1;
  std::int64_t m_StepMs = 50;
  std::size_t m_NodeCount = 1;
  std::size_t m_ShardCount = 2;
  /// Number of VMs of each failure domain.
  std::vector<std::size_t> m_VmsPerDomain{8};
  /// Probability that the request or the response of a store call is lost.
  double m_StoreLossProbability = 0;
  /// Maximum delay of each direction of a store call.
  int m_MaxStoreDelayMs = 5;
  /// Probability that an order to an engine or a health check response is lost.
  double m_OrderLossProbability = 0;
  int m_MaxOrderDelayMs = 5;
  /// Share of the engines that do not check fencing tokens.
  double m_ShareOfEnginesWithoutFencing = 0;
  /// Whether the clocks of the nodes run at different rates (0.09 % slow or
  /// fast).
  bool m_NodeClocksDrift = false;
  GroupSettings m_GroupSettings;
  std::shared_ptr<const RepairPolicy> m_RepairPolicy =
      std::make_shared<CostRepairPolicy>();
};

/// Simulates the lease managers and group controllers of several nodes, with
/// one object store and one engine per VM, in steps of simulated time. Each
/// step checks the invariants; the first violation is recorded.
class GroupSimulation {
public:
  explicit GroupSimulation(const GroupSimulationSettings &Settings);
  GroupSimulation(const GroupSimulation &) = delete;
  GroupSimulation &operator=(const GroupSimulation &) = delete;

  void setSpecs(const DeploymentSpecs &Specs);
  void step();
  void runFor(double Seconds);
  /// Stops the engine of \p Vm and restarts it after \p Seconds. If \p
  /// Replaced, the VM list then shows a new incarnation of the VM. No effect on
  /// an engine that is down.
  void crashEngine(const std::string &Vm, double Seconds, bool Replaced);
  /// Makes the engine of \p Vm unreachable for \p Seconds while it keeps
  /// running.
  void partitionVm(const std::string &Vm, double Seconds);
  /// Pauses the process of a node for \p Seconds.
  void pauseNode(std::size_t Node, double Seconds);
  /// Restarts a node as a new process that has lost its in-memory state.
  void restartNode(std::size_t Node);
  /// Runs \p Action after \p Milliseconds of simulated time.
  void scheduleAfter(std::int64_t Milliseconds, std::function<void()> Action);

  /// First violation; empty if there is none.
  const std::string &violation() const { return m_Violation; }
  std::int64_t nowMs() const { return m_NowMs; }
  std::mt19937_64 &random() { return m_Random; }
  /// Returns true with probability \p Probability.
  bool drawWithProbability(double Probability);
  std::vector<std::string> vmNames() const;
  FakeEngine &engine(const std::string &Vm) { return m_Engines.at(Vm); }
  ListedVm &listedVm(const std::string &Vm) { return m_ListedVms.at(Vm); }
  /// Assignments in the object store, by failure domain.
  const std::map<std::string, Assignment> &storedAssignments() const {
    return m_StoredAssignments;
  }
  std::size_t servingGroupCount(const std::string &Deployment) const;
  std::size_t targetGroupCount() const;
  /// Number of missing groups summed over time, in group seconds.
  double groupDowntimeSeconds() const { return m_GroupDowntimeSeconds; }
  /// Number of reachable VMs in groups with an unreachable member, summed over
  /// time, in VM seconds.
  double strandedVmSeconds() const { return m_StrandedVmSeconds; }
  void resetDowntimeTotals() {
    m_GroupDowntimeSeconds = m_StrandedVmSeconds = 0;
  }
  /// Number of orders that engines refused because of a stale fencing token.
  std::size_t refusedOrderCount() const { return m_RefusedOrderCount; }
  GroupSimulationSettings m_Settings;

  std::size_t nodeCount() const { return m_Nodes.size(); }
  bool isNodeUnpaused(std::size_t Node) const {
    return m_Nodes[Node].m_PausedUntil <= m_NowMs;
  }
  int nodeStartCount(std::size_t Node) const {
    return m_Nodes[Node].m_StartCount;
  }
  MonotonicTime nodeTime(std::size_t Node) const {
    return clockOf(m_Nodes[Node]);
  }
  LeaseManager &leases(std::size_t Node) { return *m_Nodes[Node].m_Leases; }
  GroupController &controller(std::size_t Node) {
    return *m_Nodes[Node].m_Controller;
  }
  const FakeStore &store() const { return m_Store; }
  /// Executes a store call that another simulation makes for the node \p Index.
  /// The response is delivered only when the node is not paused, and is
  /// discarded if the node has restarted.
  void callStore(std::size_t Index, const StoreAction &Action,
                 const std::function<void(const StoreResponse &)> &OnResponse);
  /// Runs \p Action once the node is not paused; discards it if the node's
  /// start count is no longer \p Starts.
  void runWhenUnpaused(std::size_t Index, int Starts,
                       std::function<void()> Action);
  /// Serving view of one group, as the group monitor last published it.
  struct PublishedView {
    ServingView m_ServingView;
    std::vector<std::string> m_Members;
    std::int64_t m_PublishedAt = -1000000;
  };
  const std::map<std::string, PublishedView> &publishedViews() const {
    return m_PublishedViews;
  }
  /// Returns whether the configuration of a node drains \p Vm. If unset, the VM
  /// list decides.
  std::function<bool(std::size_t Node, const ListedVm &Vm)> m_IsDrained;
  /// Returns whether a node reaches the object store. If unset, every node
  /// does.
  std::function<bool(std::size_t Node)> m_IsStoreReachable;
  /// Called before an engine executes an order with the fencing token \p Fence
  /// that ends its requests in flight.
  std::function<void(const std::string &Vm, std::uint64_t Fence)>
      m_BeforeEngineStop;

private:
  struct Node {
    std::unique_ptr<LeaseManager> m_Leases;
    std::unique_ptr<GroupController> m_Controller;
    int m_StartCount = 0;
    std::int64_t m_PausedUntil = 0;
    double m_ClockRate = 1.0;
    std::int64_t m_ClockOffsetMs = 0;
  };

  MonotonicTime clockOf(const Node &ForNode) const;
  void startNode(std::size_t Index);
  void tickNode(std::size_t Index);
  void callStore(std::size_t Index, const StoreAction &Action, bool ForLeases);
  void onStoreResponse(std::size_t Index, const StoreResponse &Response,
                       bool ForLeases);
  void sendOrder(std::size_t Index, const EngineOrder &Order);
  OrderCompleted executeOrder(const EngineOrder &Order);
  void advanceWeightLoads();
  void runHealthChecks();
  void checkHealth(const std::string &Vm, const FakeEngine &Engine);
  void publishServingViews();
  void checkStore();
  void checkAssignment(const Assignment &Previous, const Assignment &Next);
  void checkEngineAssignments();
  void checkPublishedViews();
  void checkLeaseHolders();
  void addDowntime();
  void recordViolation(const std::string &Problem);

  std::mt19937_64 m_Random;
  std::int64_t m_NowMs = 0;
  FakeStore m_Store;
  std::vector<Node> m_Nodes;
  std::map<std::string, FakeEngine> m_Engines;
  std::map<std::string, ListedVm> m_ListedVms;
  DeploymentSpecs m_Specs;
  std::multimap<std::int64_t, std::function<void()>> m_ScheduledActions;
  std::map<std::string, ObjectVersion> m_CheckedVersions;
  std::map<std::string, Assignment> m_StoredAssignments;
  std::map<std::string, std::uint64_t> m_LeaseEpochs;
  /// Time at which the stored entry of each VM last changed.
  std::map<std::string, std::int64_t> m_EntryChangedAt;
  std::map<std::string, PublishedView> m_PublishedViews;
  /// Last health check response of each engine, and its time.
  std::map<std::string, EngineReport> m_LastEngineReports;
  std::map<std::string, std::int64_t> m_LastEngineReportAt;
  std::string m_Violation;
  double m_GroupDowntimeSeconds = 0;
  double m_StrandedVmSeconds = 0;
  std::size_t m_RefusedOrderCount = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_GROUP_SIMULATION_H
