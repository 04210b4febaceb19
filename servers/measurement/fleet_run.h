#ifndef FULMARWINCH_SERVERS_MEASUREMENT_FLEET_RUN_H
#define FULMARWINCH_SERVERS_MEASUREMENT_FLEET_RUN_H

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

/// Fleet and traffic of one run.
struct FleetSettings {
  std::uint64_t m_Seed = 1;
  std::string m_Policy = "affinity";
  double m_DurationSeconds = 40;
  /// Share of the run that is warm-up and not measured.
  double m_WarmUpShare = 0.25;
  double m_Rate = 100;
  std::size_t m_Nodes = 6;
  std::size_t m_Servers = 55;
  FakeServerSettings m_Server;
  std::size_t m_Prefixes = 400;
  std::size_t m_PrefixTokens = 4000;
  std::size_t m_OwnTokens = 200;
  std::size_t m_OutputTokens = 100;
  /// Share of requests with one and the same prefix after the warm-up.
  double m_BurstShare = 0;
  std::size_t m_Stragglers = 0;
  double m_StragglerSlowness = 4;
  std::size_t m_Mismatched = 0;
  double m_SpecialShare = 0;
  std::size_t m_Organisations = 10;
  /// Factor on the rate of the first organisation after the warm-up.
  double m_NoiseFactor = 1;
  /// Each organisation is limited to twice its usual rate.
  bool m_Limits = true;
  /// Servers that turn cold when the warm-up ends.
  std::size_t m_ColdServers = 0;
  /// These servers join at that moment, so nodes know that they are cold;
  /// otherwise they served before and turn cold without warning.
  bool m_JoinCold = false;
};

/// What one run measured after the warm-up.
struct FleetFigures {
  void countLate(double ArrivedAt, double SentAt, const FakeTimes &Times);
  /// First-token objective of the target, in seconds.
  static constexpr double FirstTokenObjective = 0.83;
  std::uint64_t m_Arrived = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Dispatched = 0;
  /// Dispatches to a server that fails the request's class.
  std::uint64_t m_Misdirected = 0;
  std::uint64_t m_ToStragglers = 0;
  std::uint64_t m_OverloadsKnown = 0;
  std::uint64_t m_OverloadsBeforeKnown = 0;
  double m_FirstTokenP95 = 0;
  double m_FirstTokenP99 = 0;
  /// First-token time of all organisations but the first.
  double m_OthersP99 = 0;
  double m_PerTokenP95 = 0;
  double m_HitShare = 0;
  /// Requests whose first token came later than the objective, and their mean
  /// seconds at the node, waiting for a place and waiting for prompts that the
  /// server read before.
  std::uint64_t m_Late = 0;
  std::uint64_t m_LateMisses = 0;
  double m_LateAtNode = 0;
  double m_LateForPlace = 0;
  double m_LateForRead = 0;
  double m_WarmAfterSeconds = 0;
};

/// Open-loop run of several nodes over fake servers. Reports lag; each node
/// knows its own dispatches only.
class FleetRun {
public:
  explicit FleetRun(const FleetSettings &Settings);
  ~FleetRun();
  FleetFigures run();

private:
  struct Request;
  struct Node;
  struct Figures;
  struct Event {
    double m_At = 0;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Run;
    bool operator>(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };

  void at(double When, std::function<void()> Run);
  MonotonicTime now() const;
  /// Servers before this one join later.
  std::size_t firstServer() const;
  GroupView viewOf(std::size_t Server, bool Warm) const;
  void arrive();
  std::uint64_t choosePrefix();
  void pump(std::size_t Node);
  void pumpRegularly(std::size_t Node);
  bool trySend(std::size_t Node, std::uint64_t Id);
  void send(std::size_t Node, std::uint64_t Id, const RouteDecision &Decision,
            std::size_t Server);
  void fail(std::size_t Node, std::uint64_t Id, std::size_t Server,
            bool UsedSlot);
  void complete(std::size_t Node, std::uint64_t Id, std::size_t Server,
                bool UsedSlot, double SentAt, const FakeTimes &Times);
  void report();
  void gossip();
  void askSlots();
  bool measured(double ArrivedAt) const;

  FleetSettings m_Settings;
  std::mt19937_64 m_Random;
  double m_Now = 0;
  std::uint64_t m_Order = 0;
  std::uint64_t m_NextId = 1;
  std::vector<double> m_PrefixWeights;
  std::vector<FakeServer> m_Servers;
  /// Start ID that nodes may treat as warm, per server.
  std::vector<bool> m_Warm;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::map<std::uint64_t, Request> m_Requests;
  SlotGranter m_Granter;
  std::unique_ptr<Figures> m_Figures;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_MEASUREMENT_FLEET_RUN_H
