#ifndef FULMARWINCH_RANDOMISED_GROUP_WORLD_H
#define FULMARWINCH_RANDOMISED_GROUP_WORLD_H

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
  bool m_Up = true;
  bool m_Partitioned = false;
  bool m_ChecksFencing = true;
  int m_Starts = 1;
  std::int64_t m_StartedAt = 0;
  std::uint64_t m_HighestFence = 0;
  EngineState m_State = EngineState::Empty;
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  double m_BytesLeft = 0;
  std::uint64_t m_Running = 0;
  /// Set by a Role order: the engine refuses new requests, with the outcome
  /// that they were not run.
  bool m_DrainingRole = false;
  /// Time in ms at which the engine last became ready.
  std::int64_t m_LoadedAt = 0;
  /// Time in ms at which the engine was last ready and reachable, by group and
  /// generation.
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> m_ReadyAt;
};

/// Size of the simulated cluster and the faults that are simulated in it.
struct WorldSettings {
  std::uint64_t m_Seed = 1;
  std::int64_t m_StepMs = 50;
  std::size_t m_Nodes = 1;
  std::size_t m_Shards = 2;
  /// Number of VMs of each failure domain.
  std::vector<std::size_t> m_DomainVms{8};
  /// Probability that the request or the response of a store call is lost.
  double m_StoreLoss = 0;
  /// Maximum delay of each direction of a store call.
  int m_StoreDelayMs = 5;
  /// Probability that an order to an engine or a health check response is lost.
  double m_OrderLoss = 0;
  int m_OrderDelayMs = 5;
  /// Share of the engines that do not check fencing tokens.
  double m_UnfencedShare = 0;
  /// Whether the clocks of the nodes run at different rates (0.09 % slow or
  /// fast).
  bool m_Skew = false;
  GroupSettings m_Groups;
  std::shared_ptr<const RepairPolicy> m_Policy =
      std::make_shared<CostRepairPolicy>();
};

/// Simulates the lease managers and group controllers of several nodes, with
/// one object store and one engine per VM, in steps of simulated time. Each
/// step checks the invariants; the first violation is recorded.
class GroupWorld {
public:
  explicit GroupWorld(const WorldSettings &Settings);
  GroupWorld(const GroupWorld &) = delete;
  GroupWorld &operator=(const GroupWorld &) = delete;

  void setSpecs(const DeploymentSpecs &Specs);
  void step();
  void run(double Seconds);
  /// Stops the engine of \p Vm and restarts it after \p Seconds. If \p
  /// Replaced, the VM list then shows a new incarnation of the VM. No effect on
  /// an engine that is down.
  void crash(const std::string &Vm, double Seconds, bool Replaced);
  /// Makes the engine of \p Vm unreachable for \p Seconds while it keeps
  /// running.
  void partition(const std::string &Vm, double Seconds);
  /// Pauses the process of a node for \p Seconds.
  void pause(std::size_t Node, double Seconds);
  /// Restarts a node as a new process that has lost its in-memory state.
  void restartNode(std::size_t Node);
  /// Runs \p Action after \p Milliseconds of simulated time.
  void after(std::int64_t Milliseconds, std::function<void()> Action);

  /// First violation; empty if there is none.
  const std::string &violation() const { return m_Violation; }
  std::int64_t now() const { return m_Now; }
  std::mt19937_64 &random() { return m_Random; }
  /// Returns true with probability \p Share.
  bool chance(double Probability);
  std::vector<std::string> vmNames() const;
  FakeEngine &engine(const std::string &Vm) { return m_Engines.at(Vm); }
  ListedVm &listed(const std::string &Vm) { return m_Listed.at(Vm); }
  /// Assignments in the object store, by failure domain.
  const std::map<std::string, Assignment> &stored() const { return m_Stored; }
  std::size_t servingGroups(const std::string &Deployment) const;
  std::size_t wantedGroups() const;
  /// Number of missing groups summed over time, in group seconds.
  double groupDowntime() const { return m_Downtime; }
  /// Number of reachable VMs in groups with an unreachable member, summed over
  /// time, in VM seconds.
  double strandedSeconds() const { return m_Stranded; }
  void resetFigures() { m_Downtime = m_Stranded = 0; }
  /// Number of orders that engines refused because of a stale fencing token.
  std::size_t ordersRefused() const { return m_OrdersRefused; }
  WorldSettings m_Settings;

  std::size_t nodeCount() const { return m_Nodes.size(); }
  bool isAwake(std::size_t Node) const {
    return m_Nodes[Node].m_PausedUntil <= m_Now;
  }
  int starts(std::size_t Node) const { return m_Nodes[Node].m_Starts; }
  MonotonicTime nodeTime(std::size_t Node) const {
    return timeOf(m_Nodes[Node]);
  }
  LeaseManager &leases(std::size_t Node) { return *m_Nodes[Node].m_Leases; }
  GroupController &controller(std::size_t Node) {
    return *m_Nodes[Node].m_Controller;
  }
  const FakeStore &store() const { return m_Store; }
  /// Executes a store call of the node \p Index for another subsystem. The
  /// response is delivered only when the node is not paused, and is discarded
  /// if the node has restarted.
  void callStore(std::size_t Index, const StoreAction &Action,
                 const std::function<void(const StoreAnswer &)> &OnResponse);
  /// Runs \p Action once the node is not paused; discards it if the node's
  /// start count is no longer \p Starts.
  void whenAwake(std::size_t Index, int Starts, std::function<void()> Action);
  /// Serving view of one group, as the group monitor last published it.
  struct View {
    ServingView m_View;
    std::vector<std::string> m_Members;
    std::int64_t m_PublishedAt = -1000000;
  };
  const std::map<std::string, View> &views() const { return m_Views; }
  /// Returns whether the configuration of a node drains \p Vm. If unset, the VM
  /// list decides.
  std::function<bool(std::size_t Node, const ListedVm &Vm)> m_IsDrained;
  /// Returns whether a node reaches the object store. If unset, every node
  /// does.
  std::function<bool(std::size_t Node)> m_IsStoreReachable;
  /// Called before an engine executes an order with the fencing token \p Fence
  /// that ends its requests in flight.
  std::function<void(const std::string &Vm, std::uint64_t Fence)>
      m_OnEngineStop;

private:
  struct Node {
    std::unique_ptr<LeaseManager> m_Leases;
    std::unique_ptr<GroupController> m_Controller;
    int m_Starts = 0;
    std::int64_t m_PausedUntil = 0;
    double m_Rate = 1.0;
    std::int64_t m_Offset = 0;
  };

  MonotonicTime timeOf(const Node &ForNode) const;
  void startNode(std::size_t Index);
  void tickNode(std::size_t Index);
  void callStore(std::size_t Index, const StoreAction &Action, bool ForLeases);
  void answer(std::size_t Index, const StoreAnswer &Response, bool ForLeases);
  void sendOrder(std::size_t Index, const EngineOrder &Order);
  OrderCompleted takeOrder(const EngineOrder &Order);
  void advanceEngines();
  void poll();
  void pollEngine(const std::string &Vm, const FakeEngine &Engine);
  void publishViews();
  void readStore();
  void checkAssignment(const Assignment &Previous, const Assignment &Next);
  void checkEngines();
  void checkViews();
  void checkHolders();
  void measure();
  void fail(const std::string &Problem);

  std::mt19937_64 m_Random;
  std::int64_t m_Now = 0;
  FakeStore m_Store;
  std::vector<Node> m_Nodes;
  std::map<std::string, FakeEngine> m_Engines;
  std::map<std::string, ListedVm> m_Listed;
  DeploymentSpecs m_Specs;
  std::multimap<std::int64_t, std::function<void()>> m_Queue;
  std::map<std::string, ObjectVersion> m_SeenVersions;
  std::map<std::string, Assignment> m_Stored;
  std::map<std::string, std::uint64_t> m_Epochs;
  /// Time at which the stored entry of each VM last changed.
  std::map<std::string, std::int64_t> m_EntryChangedAt;
  std::map<std::string, View> m_Views;
  /// Last health check response of each engine, and its time.
  std::map<std::string, EngineReport> m_Responses;
  std::map<std::string, std::int64_t> m_RespondedAt;
  std::string m_Violation;
  double m_Downtime = 0;
  double m_Stranded = 0;
  std::size_t m_OrdersRefused = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_GROUP_WORLD_H
