#ifndef FULMARWINCH_RANDOMISED_PAYOUT_SIMULATION_H
#define FULMARWINCH_RANDOMISED_PAYOUT_SIMULATION_H

#include "randomised/simulation_state.h"
#include "servers/idempotency/claim_registry.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Simulates clients that send payout requests with idempotency keys to several
/// nodes, the claim registry of each node, and a payout service. Checks that
/// each key is executed at most once (I7) and that a refused attempt is never
/// executed (I6).
class PayoutSimulation {
public:
  explicit PayoutSimulation(SimulationState &State);
  void step();
  /// Whether no claim or dispatched payout of the node is in progress.
  bool isIdle(std::size_t Node) const;
  void beginShutdown(std::size_t Node);
  std::uint64_t executionCount() const { return m_ExecutionCount; }

private:
  struct Node {
    std::unique_ptr<ClaimRegistry> m_Registry;
    int m_StartCount = 0;
    /// Payout index and attempt number of each pending claim.
    std::map<ClaimId, std::pair<std::size_t, std::uint64_t>> m_PendingClaims;
    std::map<std::uint64_t, DispatchedClaim> m_Dispatched;
  };
  struct Payout {
    std::string m_Key;
    int m_ExecutionCount = 0;
    int m_SendCount = 0;
    bool m_Answered = false;
  };

  void restartNode(std::size_t Node);
  void send(std::size_t Payout, std::size_t Node);
  void applyEffects(std::size_t Node, ClaimEffects &Effects);
  void onClaimResult(std::size_t Node, ClaimResult &Result);
  void dispatch(std::size_t Node, std::size_t Payout, std::uint64_t Attempt,
                DispatchToken &Token);
  void execute(std::size_t Payout, std::uint64_t Attempt);
  void recordRefusal(std::uint64_t Attempt, const char *Reason);

  SimulationState &m_State;
  std::vector<Node> m_Nodes;
  std::vector<Payout> m_Payouts;
  std::uint64_t m_LastAttempt = 0;
  std::uint64_t m_ExecutionCount = 0;
  std::set<std::uint64_t> m_ExecutedAttempts;
  std::set<std::uint64_t> m_RefusedAttempts;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_PAYOUT_SIMULATION_H
