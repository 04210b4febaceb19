#ifndef FULMARWINCH_RANDOMISED_NOTICE_SIMULATION_H
#define FULMARWINCH_RANDOMISED_NOTICE_SIMULATION_H

#include "randomised/simulation_state.h"
#include "servers/dispatch/server_selector.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace fulmarwinch {

/// Simulates servers of a plain service that say in their responses that they
/// leave, or ask for a pause, and the nodes that send requests to them. The
/// store shows that a server leaves late or not at all. Checks that no request
/// that a client sent more than the drain time after a node passed on such a
/// notice reaches the process from that node, and that a server gets at most
/// two requests from a node in the pause that it asked for.
///
/// Draws from random numbers of its own, so that the other simulations of a
/// seed run as without it.
class NoticeSimulation {
public:
  /// Without \p HasFaults, no server leaves or asks for a pause.
  NoticeSimulation(SimulationState &State, std::uint64_t Seed, bool HasFaults);
  void step();

private:
  /// One backend server; its process changes with each restart.
  struct Server {
    std::string m_Id;
    std::int64_t m_StartedAtMs = 0;
    bool m_IsUp = false;
    bool m_IsLeaving = false;
    bool m_HasStoredLeaving = false;
    std::uint64_t m_Reports = 0;
    std::int64_t m_PausesUntilMs = 0;
    /// Times of the next changes; the maximum if there is none.
    std::int64_t m_StoresLeavingAtMs = 0;
    std::int64_t m_EndsAtMs = 0;
    std::int64_t m_StartsAtMs = 0;
    std::int64_t m_WritesAgainAtMs = 0;
  };
  struct Node {
    int m_StartCount = -1;
    /// Era of the store that the process has noticed, and when it did.
    StoreEra m_Era = 0;
    std::int64_t m_RestoredAtMs = 0;
    std::unique_ptr<FleetView> m_Fleet;
    std::unique_ptr<ServerSelector> m_Selector;
  };
  /// Request between the choice of a server and the end of its response.
  struct Exchange {
    std::size_t m_Node = 0;
    int m_NodeStart = 0;
    ChosenServer m_Server;
    std::int64_t m_SentByClientAtMs = 0;
    std::int64_t m_ArrivesAtMs = 0;
    bool m_HasArrived = false;
    std::int64_t m_RespondsAtMs = 0;
    bool m_IsLeaving = false;
    std::int64_t m_PausesUntilMs = 0;
  };
  /// A process of a node and a process of a server.
  using Pair = std::tuple<std::size_t, int, std::string, std::int64_t>;
  /// Entries of the store at an earlier time.
  struct StoreCopy {
    std::uint64_t m_Revision = 0;
    std::map<std::string, BackendServer> m_Entries;
  };
  struct Pause {
    std::int64_t m_ToldAtMs = 0;
    std::int64_t m_UntilMs = 0;
    unsigned m_Arrivals = 0;
  };

  std::int64_t randomMs(std::int64_t Most);
  bool drawWithProbability(double Probability);
  static Pair pairOf(const Exchange &Sent);
  void startServer(Server &Started, bool KeepsId);
  void storeEntry(Server &Stored);
  /// Returns the store to one of its copies and begins a new era.
  void restoreStore();
  /// Removes entries of servers that have ended, once the living ones have
  /// written theirs again.
  void endRestoration();
  void readStore(std::size_t Index);
  void injectFault();
  void advanceServers();
  void advanceNode(std::size_t Index);
  void sendRequest(std::size_t Index);
  /// Returns true if the exchange has ended.
  bool advanceExchange(Exchange &Current);
  void arrive(Exchange &Current, Server &Receiver);
  void passOn(const Exchange &Ended, Node &Receiver, MonotonicTime Now);

  SimulationState &m_State;
  std::mt19937_64 m_Random;
  bool m_HasFaults;
  ServiceSpec m_Service;
  std::vector<Server> m_Servers;
  std::vector<Node> m_Nodes;
  std::vector<Exchange> m_Exchanges;
  std::map<std::string, BackendServer> m_StoreEntries;
  std::uint64_t m_Revision = 0;
  StoreEra m_Era = 0;
  std::deque<StoreCopy> m_Copies;
  std::int64_t m_NextCopyAtMs = 0;
  std::int64_t m_RestorationEndsAtMs = std::numeric_limits<std::int64_t>::max();
  std::uint64_t m_StartedProcesses = 0;
  /// Time at which a node first passed on that the process leaves.
  std::map<Pair, std::int64_t> m_NoticedAtMs;
  /// Time at which a node first read in the store that the process leaves.
  std::map<Pair, std::int64_t> m_ReadLeavingAtMs;
  std::map<Pair, std::vector<Pause>> m_Pauses;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_NOTICE_SIMULATION_H
