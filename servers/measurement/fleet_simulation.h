#ifndef FULMARWINCH_SERVERS_MEASUREMENT_FLEET_SIMULATION_H
#define FULMARWINCH_SERVERS_MEASUREMENT_FLEET_SIMULATION_H

#include "servers/admission/fair_queue.h"
#include "servers/admission/rate_limiter.h"
#include "servers/admission/slot_granter.h"
#include "servers/measurement/fake_server.h"
#include "servers/routing/node_admission_gate.h"
#include "servers/routing/router.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace fulmarwinch {

/// Fleet, traffic and faults of one simulation.
struct FleetSettings {
  std::uint64_t m_Seed = 1;
  std::string m_Policy = "affinity";
  double m_DurationSeconds = 40;
  /// Share of the duration that is warm-up and not measured.
  double m_WarmUpShare = 0.25;
  /// Arrival rate in requests per second.
  double m_RequestsPerSecond = 100;
  std::size_t m_NodeCount = 6;
  std::size_t m_ServerCount = 55;
  FakeServerSettings m_ServerSettings;
  std::size_t m_PrefixCount = 400;
  std::size_t m_PrefixTokens = 4000;
  /// Prompt tokens after the prefix.
  std::size_t m_SuffixTokens = 200;
  std::size_t m_OutputTokens = 100;
  /// Share of the requests after the warm-up that have one common prefix.
  double m_BurstShare = 0;
  std::size_t m_StragglerCount = 0;
  double m_StragglerSlowdown = 4;
  /// Number of servers that fail all requests of one class, the special class.
  std::size_t m_MismatchedServerCount = 0;
  /// Share of the requests that belong to the special class.
  double m_SpecialClassShare = 0;
  std::size_t m_OrganisationCount = 10;
  /// Factor on the arrival rate of the first organisation after the warm-up.
  double m_NoisyRateFactor = 1;
  /// Limits each organisation to twice its rate without the noise factor.
  bool m_RateLimitsEnabled = true;
  /// Number of servers that become cold when the warm-up of the simulation
  /// ends.
  std::size_t m_ColdServerCount = 0;
  /// The cold servers join the fleet when the warm-up of the simulation ends,
  /// so nodes know that they are cold. Otherwise they serve as warm servers
  /// before and become cold without notice to the nodes.
  bool m_ColdServersJoin = false;
};

/// Results of one simulation; requests that arrive in the warm-up are not
/// counted. Times are in seconds.
struct FleetMetrics {
  /// Adds a completed request to the late ones if its first token came later
  /// than the objective.
  void countIfLate(double ArrivedAt, double SentAt,
                   const FakeRequestTimes &Times);
  /// Objective for the p95 of the time to first token.
  static constexpr double FirstTokenObjectiveSeconds = 0.83;
  std::uint64_t m_Arrived = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Dispatched = 0;
  /// Requests dispatched to a server that fails their class.
  std::uint64_t m_Misdirected = 0;
  std::uint64_t m_SentToStragglers = 0;
  /// Dispatches above the limit of a server that the node knew as cold.
  std::uint64_t m_OverloadsOfKnownCold = 0;
  /// Dispatches above the limit of a cold server by a node that did not know
  /// yet that the server was cold.
  std::uint64_t m_OverloadsBeforeKnownCold = 0;
  double m_FirstTokenP95 = 0;
  double m_FirstTokenP99 = 0;
  /// Time to first token of all organisations except the first.
  double m_OtherOrganisationsP99 = 0;
  double m_PerTokenP95 = 0;
  double m_CacheHitShare = 0;
  /// Requests whose first token came later than the objective.
  std::uint64_t m_LateRequests = 0;
  std::uint64_t m_LateCacheMisses = 0;
  /// Mean time of the late requests in the node's queue, in the server's queue
  /// and waiting for the prefill of earlier requests.
  double m_LateNodeQueueSeconds = 0;
  double m_LateServerQueueSeconds = 0;
  double m_LatePrefillWaitSeconds = 0;
  /// Time after the warm-up of the simulation at which the last cold server
  /// became warm.
  double m_WarmAfterSeconds = 0;
};

/// Open-loop simulation of several nodes that route to fake servers: arrivals
/// do not wait for completions. Load reports are delayed, and each node knows
/// only its own dispatches.
class FleetSimulation {
public:
  explicit FleetSimulation(const FleetSettings &Settings);
  ~FleetSimulation();
  FleetMetrics run();

private:
  struct Request;
  struct Node;
  struct MetricAccumulators;
  struct Event {
    double m_Time = 0;
    std::uint64_t m_Sequence = 0;
    std::function<void()> m_Action;
    bool operator>(const Event &Other) const {
      return m_Time != Other.m_Time ? m_Time > Other.m_Time
                                    : m_Sequence > Other.m_Sequence;
    }
  };

  void schedule(double When, std::function<void()> Action);
  MonotonicTime now() const;
  /// Index of the first server that serves from the start; servers with a lower
  /// index join later.
  std::size_t firstInitialServer() const;
  GroupView viewOf(std::size_t Server, bool Warm) const;
  /// Adds one request and schedules the next arrival.
  void addArrival();
  std::uint64_t choosePrefix();
  /// Dispatches queued requests of a node until no group has capacity.
  void dispatchQueued(std::size_t Node);
  void dispatchPeriodically(std::size_t Node);
  bool tryRoute(std::size_t Node, std::uint64_t Id);
  void dispatch(std::size_t Node, std::uint64_t Id,
                const RouteDecision &Decision, std::size_t Server);
  void onFailed(std::size_t Node, std::uint64_t Id, std::size_t Server,
                bool UsedSlot);
  void onCompleted(std::size_t Node, std::uint64_t Id, std::size_t Server,
                   bool UsedSlot, double SentAt, const FakeRequestTimes &Times);
  /// Delivers the load report of each server to the granter and the nodes.
  void reportLoads();
  /// Sends the outlier ejections of each node to all others.
  void gossip();
  void requestSlots();
  /// Returns true for a request that arrived after the warm-up.
  bool isMeasured(double ArrivedAt) const;

  FleetSettings m_Settings;
  std::mt19937_64 m_Random;
  double m_Now = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_NextId = 1;
  std::vector<double> m_PrefixWeights;
  std::vector<FakeServer> m_Servers;
  /// Whether nodes treat the server as warm, by server index.
  std::vector<bool> m_Warm;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::map<std::uint64_t, Request> m_Requests;
  SlotGranter m_Granter;
  std::unique_ptr<MetricAccumulators> m_Accumulators;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_FLEET_SIMULATION_H
