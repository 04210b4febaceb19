#ifndef FULMARWINCH_RANDOMISED_RUN_STATE_H
#define FULMARWINCH_RANDOMISED_RUN_STATE_H

#include "randomised/configuration_cluster.h"
#include "randomised/event_log.h"
#include "randomised/group_world.h"

#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// What the parts of one randomised run share.
struct RunState {
  GroupWorld &m_World;
  ConfigurationCluster &m_Cluster;
  EventLog &m_Log;
  /// Nodes of different islands do not hear each other; the object store and
  /// the monitor are on island 0.
  std::vector<int> m_Island;
  std::vector<bool> m_ShuttingDown;
  /// Last fault of each VM.
  std::map<std::string, std::int64_t> m_FaultAt;
  /// Zones out of service and drained VMs, with the time of acceptance.
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
  std::uint64_t pick(std::uint64_t Bound) { return m_World.random()() % Bound; }
  std::int64_t delay() {
    return static_cast<std::int64_t>(
        pick(static_cast<std::uint64_t>(m_MaxDelayMs) + 1));
  }
  bool isLost() { return m_World.chance(m_MessageLoss); }
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_RUN_STATE_H
