#ifndef FULMARWINCH_TESTS_SERVERS_ADMISSION_ADMISSION_SIMULATION_H
#define FULMARWINCH_TESTS_SERVERS_ADMISSION_ADMISSION_SIMULATION_H

#include "servers/admission/node_slots.h"
#include "servers/admission/slot_granter.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace fulmarwinch {

/// Discrete-event simulation of nodes, lease holders and cold backend servers
/// with lost and delayed messages. Time is the true time in microseconds; each
/// process has its own clock with an offset and a rate error. At every arrival
/// of a request, the requests in flight on the backend server are checked
/// against its limit.
class AdmissionSimulation {
public:
  explicit AdmissionSimulation(std::uint64_t Seed);

  /// Runs a phase with faults and one without. Returns the violated checks.
  std::vector<std::string> run();
  std::size_t dispatchCount() const { return m_DispatchCount; }
  std::size_t stepCount() const { return m_StepCount; }

private:
  using Time = std::int64_t;

  struct Clock {
    Time m_Offset = 0;
    double m_Rate = 1;
    MonotonicTime localTime(Time Now) const;
  };
  struct Server {
    ServerReport m_Report;
    bool m_HasColdFlag = true;
    /// Whether the backend server kept its start ID when it last became cold.
    bool m_KeptStartId = false;
    /// Number of times that the backend server has become cold.
    std::uint64_t m_ColdPeriod = 0;
    /// Time at which the current warm-up starts.
    Time m_WarmingSince = 0;
    std::set<std::uint64_t> m_InFlight;
    /// Requests in flight that the warm-up allows.
    std::size_t maxInFlight(Time Now) const;
    bool isCold(Time Now) const {
      return m_HasColdFlag && Now < m_WarmingSince;
    }
  };
  struct Node {
    Clock m_Clock;
    std::unique_ptr<NodeSlots> m_Slots;
    std::set<std::uint64_t> m_LocalRequests;
    /// Cold period that the granter knew when it issued each grant, by backend
    /// server and request ID.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>>
        m_GrantColdPeriods;
    /// Newest cold period that the node could observe, by backend server.
    std::map<std::string, std::uint64_t> m_SeenColdPeriods;
    int m_Incarnation = 0;
  };
  struct LeaseHolder {
    Clock m_Clock;
    SlotGranter m_Granter;
    std::map<std::string, std::uint64_t> m_KnownColdPeriods;
    MonotonicTime m_AcquiredAt{};
    /// Newest report that the granter accepted, with its time of arrival.
    std::map<std::string, std::pair<MonotonicTime, ServerReport>>
        m_AcceptedReports;
    bool m_Partitioned = false;
  };
  struct Event {
    Time m_Time = 0;
    std::uint64_t m_Sequence = 0;
    std::function<void()> m_Action;
    bool operator>(const Event &Other) const {
      return m_Time != Other.m_Time ? m_Time > Other.m_Time
                                    : m_Sequence > Other.m_Sequence;
    }
  };

  void schedule(Time When, std::function<void()> Action);
  Time uniform(Time Low, Time High);
  bool chance(int Percent) { return uniform(0, 99) < Percent; }
  Time delay();
  bool isLost() { return m_FaultsEnabled && chance(5); }

  void renewLease(std::uint64_t Epoch);
  void replaceLeaseHolder();
  void pollServers(std::size_t LeaseHolderIndex);
  /// Records the cold period that the granter can derive from the report.
  void recordKnownColdPeriod(LeaseHolder &Target, const ServerReport &Report,
                             MonotonicTime RequestedAt,
                             std::uint64_t ColdPeriod);
  void requestSlots(std::size_t NodeIndex);
  void handleSlotRequest(std::size_t LeaseHolderIndex, std::size_t NodeIndex,
                         const SlotRequest &Request);
  void dispatch(std::size_t NodeIndex);
  void arriveAtServer(const std::string &Name, std::size_t NodeIndex,
                      std::uint64_t Request, std::uint64_t KnownColdPeriod);
  void completeRequest(const std::string &Name, std::size_t NodeIndex,
                       std::uint64_t Request);
  void deliverResponse(const std::string &Name, std::size_t NodeIndex,
                       std::uint64_t Request, std::uint64_t ColdPeriod,
                       const std::string &StartId, bool ConnectionLost);
  void makeCold(const std::string &Name);
  void restartNode(std::size_t NodeIndex);
  void injectFault();
  void resetSlots(Node &Target, std::size_t NodeIndex);

  std::mt19937_64 m_Random;
  SlotGranterSettings m_Settings;
  Time m_Now = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_NextRequest = 1;
  bool m_FaultsEnabled = true;
  std::size_t m_StepCount = 0;
  std::size_t m_DispatchCount = 0;
  std::uint64_t m_Epoch = 1;
  Time m_LeaseRenewedAt = 0;
  std::size_t m_CurrentLeaseHolder = 0;
  std::map<std::string, Server> m_Servers;
  std::vector<Node> m_Nodes;
  std::vector<LeaseHolder> m_LeaseHolders;
  /// Index of the node that sent each request in flight on a backend server.
  std::map<std::uint64_t, std::size_t> m_RequestNodes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::vector<std::string> m_Violations;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_SERVERS_ADMISSION_ADMISSION_SIMULATION_H
