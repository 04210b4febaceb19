#ifndef FULMARWINCH_RANDOMISED_SIMULATION_STATE_H
#define FULMARWINCH_RANDOMISED_SIMULATION_STATE_H

#include "randomised/configuration_cluster.h"
#include "randomised/event_log.h"
#include "randomised/group_simulation.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// State that the simulations of one randomised run share.
struct SimulationState {
  GroupSimulation &m_Groups;
  ConfigurationCluster &m_Configuration;
  EventLog &m_EventLog;
  /// Network partition of each node. Nodes of different partitions cannot
  /// exchange messages; the object store and the group monitor are in
  /// partition 0.
  std::vector<int> m_NodePartitions;
  std::vector<bool> m_ShuttingDown;
  /// Time in ms at which the last injected fault of each VM ends.
  std::map<std::string, std::int64_t> m_FaultEndsAt;
  /// Time in ms at which the configuration change that took each zone out of
  /// service, or drained each VM, was accepted.
  std::map<std::string, std::int64_t> m_ZoneOutSince;
  std::map<std::string, std::int64_t> m_VmDrainedSince;
  int m_MaxMessageDelayMs = 20;
  double m_MessageLossProbability = 0;
  bool m_IsStoreUnavailable = false;

  bool isRunning(std::size_t Node) const {
    return m_Configuration.isUp(Node) && m_Groups.isNodeUnpaused(Node);
  }
  bool mayAcceptNewWork(std::size_t Node) const {
    return isRunning(Node) &&
           m_Configuration.replica(Node).freshness().mayAcceptNewWork(
               m_Configuration.now());
  }
  /// Returns a random number below \p Bound.
  std::uint64_t randomBelow(std::uint64_t Bound) {
    return m_Groups.random()() % Bound;
  }
  /// Returns the random delay of one message in ms.
  std::int64_t randomMessageDelayMs() {
    return static_cast<std::int64_t>(
        randomBelow(static_cast<std::uint64_t>(m_MaxMessageDelayMs) + 1));
  }
  /// Draws whether one message is lost.
  bool drawMessageLoss() {
    return m_Groups.drawWithProbability(m_MessageLossProbability);
  }
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_SIMULATION_STATE_H
