#ifndef FULMARWINCH_RANDOMISED_RANDOMISED_RUN_H
#define FULMARWINCH_RANDOMISED_RANDOMISED_RUN_H

#include "randomised/notice_simulation.h"
#include "randomised/payout_simulation.h"
#include "randomised/simulation_state.h"
#include "randomised/stream_simulation.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Simulates several nodes with their clients, engines and object store, and
/// injects faults at random. A step is 50 ms of simulated time, in which every
/// node that is not paused runs once.
class RandomisedRun {
public:
  static constexpr std::size_t NodeCount = 4;

  /// \p Seed selects which fault kinds of \p Allowed are injected: one, two or
  /// all of them. No fault is injected if \p Allowed is empty.
  RandomisedRun(std::uint64_t Seed, const std::vector<std::string> &Allowed);
  RandomisedRun(const RandomisedRun &) = delete;
  RandomisedRun &operator=(const RandomisedRun &) = delete;

  static const std::vector<std::string> &faultKinds();
  /// Runs \p Steps steps, or fewer if an invariant is violated. Returns the
  /// number of steps run.
  std::uint64_t run(std::uint64_t Steps);
  const EventLog &eventLog() const { return m_EventLog; }
  const std::set<std::string> &enabledFaults() const { return m_EnabledFaults; }

private:
  static GroupSimulationSettings groupSettings(std::uint64_t Seed);
  static ConfigurationClusterOptions configurationOptions(std::uint64_t Seed);
  void connectSimulations();
  void chooseFaults(const std::vector<std::string> &Allowed);
  void step();
  void injectFault();
  void injectVmFault(const std::string &Kind);
  void injectNodeFault(const std::string &Kind);
  void injectStoreOrMessageFault(const std::string &Kind);
  void crashNode(std::size_t Node, double Seconds);
  void setStoreOutage(bool IsUnavailable);
  void confirmRandomChange();
  void recordAcceptedChanges();
  void finishShutdowns();
  void checkRevisions();

  EventLog m_EventLog;
  GroupSimulation m_Groups;
  ConfigurationCluster m_Configuration;
  SimulationState m_State;
  StreamSimulation m_Streams;
  PayoutSimulation m_Payouts;
  NoticeSimulation m_Notices;
  std::set<std::string> m_EnabledFaults;
  std::vector<ProposedChange> m_Plans;
  std::size_t m_RecordedChanges = 0;
  /// Start count of each node and its highest configuration revision since that
  /// start.
  std::vector<std::pair<int, ConfigurationRevision>> m_HighestRevisions;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_RANDOMISED_RUN_H
