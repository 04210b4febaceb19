#ifndef FULMARWINCH_RANDOMISED_RANDOM_RUN_H
#define FULMARWINCH_RANDOMISED_RANDOM_RUN_H

#include "randomised/payout_world.h"
#include "randomised/run_state.h"
#include "randomised/stream_world.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Simulates several nodes with their clients, engines and object store, and
/// injects faults at random. A step is 50 ms of simulated time, in which every
/// node that is not paused runs once.
class RandomRun {
public:
  static constexpr std::size_t NodeCount = 4;

  /// \p Seed selects which fault kinds of \p Allowed are injected: one, two or
  /// all of them. No fault is injected if \p Allowed is empty.
  RandomRun(std::uint64_t Seed, const std::vector<std::string> &Allowed);
  RandomRun(const RandomRun &) = delete;
  RandomRun &operator=(const RandomRun &) = delete;

  static const std::vector<std::string> &faultKinds();
  /// Runs \p Steps steps, or fewer if an invariant is violated. Returns the
  /// number of steps run.
  std::uint64_t run(std::uint64_t Steps);
  const EventLog &log() const { return m_Log; }
  const std::set<std::string> &faults() const { return m_Faults; }

private:
  static WorldSettings worldSettings(std::uint64_t Seed);
  static ClusterOptions clusterOptions(std::uint64_t Seed);
  void connect();
  void chooseFaults(const std::vector<std::string> &Allowed);
  void step();
  void injectFault();
  void injectVmFault(const std::string &Kind);
  void injectNodeFault(const std::string &Kind);
  void injectMessageFault(const std::string &Kind);
  void crashNode(std::size_t Node, double Seconds);
  void setStoreOutage(bool IsUnavailable);
  void operate();
  void followHistory();
  void finishShutdowns();
  void checkRevisions();

  EventLog m_Log;
  GroupWorld m_World;
  ConfigurationCluster m_Cluster;
  RunState m_State;
  StreamWorld m_Streams;
  PayoutWorld m_Payouts;
  std::set<std::string> m_Faults;
  std::vector<AcceptRequest> m_Plans;
  std::size_t m_HistorySeen = 0;
  /// Start count of each node and its highest configuration revision since that
  /// start.
  std::vector<std::pair<int, ConfigurationRevision>> m_Revisions;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_RANDOM_RUN_H
