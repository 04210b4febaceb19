#ifndef FULMARWINCH_TESTS_SERVERS_ADMISSION_ADMISSION_WORLD_H
#define FULMARWINCH_TESTS_SERVERS_ADMISSION_ADMISSION_WORLD_H

#include "servers/admission/slot_granter.h"
#include "servers/admission/slot_holder.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace fulmarwinch {

/// Nodes, shard holders and cold backend servers with lost and delayed
/// messages. Time is the true time in microseconds; each process has its own
/// clock with an offset and a rate error. Every arrival at a backend server
/// is checked against what that server can bear.
class AdmissionWorld {
public:
  explicit AdmissionWorld(std::uint64_t Seed);

  /// Runs with faults, then without, and returns the violations.
  std::vector<std::string> run();
  std::size_t dispatched() const { return m_Dispatched; }
  std::size_t steps() const { return m_Steps; }

private:
  using Time = std::int64_t;

  struct Clock {
    Time m_Offset = 0;
    double m_Rate = 1;
    MonotonicTime at(Time Now) const;
  };
  struct Server {
    ServerReport m_Report;
    bool m_HasColdFlag = true;
    bool m_KeepsStartId = false;
    /// Number of the current cold turn, and when the warming began.
    std::uint64_t m_Turn = 0;
    Time m_WarmingSince = 0;
    std::set<std::uint64_t> m_InFlight;
    std::size_t bearable(Time Now) const;
    bool cold(Time Now) const { return m_HasColdFlag && Now < m_WarmingSince; }
  };
  struct Node {
    Clock m_Clock;
    std::unique_ptr<SlotHolder> m_Slots;
    std::set<std::uint64_t> m_OwnRequests;
    /// Cold turn that the granter knew when it issued each grant.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>> m_GrantTurns;
    /// Newest cold turn that showed itself to the node.
    std::map<std::string, std::uint64_t> m_SeenTurns;
    int m_Incarnation = 0;
  };
  struct Holder {
    Clock m_Clock;
    SlotGranter m_Granter;
    std::map<std::string, std::uint64_t> m_KnownTurns;
    MonotonicTime m_AcquiredAt{};
    /// Newest report that counts, with the time it arrived.
    std::map<std::string, std::pair<MonotonicTime, ServerReport>> m_Accepted;
    bool m_Partitioned = false;
  };
  struct Event {
    Time m_At = 0;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Run;
    bool operator>(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };

  void at(Time When, std::function<void()> Run);
  Time uniform(Time Low, Time High);
  bool chance(int Percent) { return uniform(0, 99) < Percent; }
  Time delay();
  bool isLost() { return m_Faults && chance(5); }

  void renewLease(std::uint64_t Epoch);
  void replaceHolder();
  void poll(std::size_t HolderIndex);
  void noteEvidence(Holder &Target, const ServerReport &Report,
                    MonotonicTime RequestedAt, std::uint64_t Turn);
  void askSlots(std::size_t NodeIndex);
  void answerSlots(std::size_t HolderIndex, std::size_t NodeIndex,
                   const SlotRequest &Request);
  void dispatch(std::size_t NodeIndex);
  void arrive(const std::string &Name, std::size_t NodeIndex,
              std::uint64_t Request, std::uint64_t KnownTurn);
  void complete(const std::string &Name, std::size_t NodeIndex,
                std::uint64_t Request);
  void endAtNode(const std::string &Name, std::size_t NodeIndex,
                 std::uint64_t Request, std::uint64_t Turn,
                 const std::string &StartId, bool Broken);
  void turnCold(const std::string &Name);
  void restartNode(std::size_t NodeIndex);
  void injectFault();
  void replaceSlots(Node &Target, std::size_t NodeIndex);

  std::mt19937_64 m_Random;
  SlotGranterSettings m_Settings;
  Time m_Now = 0;
  std::uint64_t m_Order = 0;
  std::uint64_t m_NextRequest = 1;
  bool m_Faults = true;
  std::size_t m_Steps = 0;
  std::size_t m_Dispatched = 0;
  std::uint64_t m_Epoch = 1;
  Time m_LeaseRenewedAt = 0;
  std::size_t m_CurrentHolder = 0;
  std::map<std::string, Server> m_Servers;
  std::vector<Node> m_Nodes;
  std::vector<Holder> m_Holders;
  /// Node of each request in flight at a backend server.
  std::map<std::uint64_t, std::size_t> m_RequestNodes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::vector<std::string> m_Violations;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_SERVERS_ADMISSION_ADMISSION_WORLD_H
