#ifndef FULMARWINCH_RANDOMISED_RUN_STATE_H
#define FULMARWINCH_RANDOMISED_RUN_STATE_H

#include "randomised/configuration_cluster.h"
#include "randomised/event_log.h"
#include "randomised/group_world.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// State that the simulations of one randomised run share.
struct RunState {
  GroupWorld &m_World;
  ConfigurationCluster &m_Cluster;
  EventLog &m_Log;
  /// Network partition of each node. Nodes of different partitions cannot
  /// exchange messages; the object store and the group monitor are in
  /// partition 0.
  std::vector<int> m_Island;
  std::vector<bool> m_ShuttingDown;
  /// Time in ms at which the last injected fault of each VM ends.
  std::map<std::string, std::int64_t> m_FaultAt;
  /// Time in ms at which the configuration change that took each zone out of
  /// service, or drained each VM, was accepted.
  std::map<std::string, std::int64_t> m_ZoneOutSince;
  std::map<std::string, std::int64_t> m_DrainedSince;
  int m_MaxDelayMs = 20;
  double m_MessageLoss = 0;
  bool m_IsStoreOut = false;

  bool isRunning(std::size_t Node) const {
    return m_Cluster.isUp(Node) && m_World.isAwake(Node);
  }
  bool mayAcceptNewWork(std::size_t Node) const {
    return isRunning(Node) &&
           m_Cluster.replica(Node).freshness().mayAcceptNewWork(
               m_Cluster.now());
  }
  /// Returns a random number below \p Bound.
  std::uint64_t pick(std::uint64_t Bound) { return m_World.random()() % Bound; }
  /// Returns the random delay of one message in ms.
  std::int64_t delay() {
    return static_cast<std::int64_t>(
        pick(static_cast<std::uint64_t>(m_MaxDelayMs) + 1));
  }
  /// Draws whether one message is lost.
  bool isLost() { return m_World.chance(m_MessageLoss); }
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_RUN_STATE_H
