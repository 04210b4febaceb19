#include "randomised/payout_simulation.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {
constexpr UnixSeconds StartTime = 1767225600;
constexpr int MaxSends = 6;
} // namespace

PayoutSimulation::PayoutSimulation(SimulationState &State)
    : m_State(State), m_Nodes(State.m_Groups.nodeCount()) {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    restartNode(Index);
}

void PayoutSimulation::restartNode(std::size_t Index) {
  Node &RestartedNode = m_Nodes[Index];
  RestartedNode.m_StartCount = m_State.m_Groups.nodeStartCount(Index);
  RestartedNode.m_PendingClaims.clear();
  RestartedNode.m_Dispatched.clear();
  RestartedNode.m_Registry = std::make_unique<ClaimRegistry>(
      fmt::format("n{}#{}", Index, RestartedNode.m_StartCount),
      ClaimLayout{3600, 2}, ClaimSettings{}, [this](const std::string &Writer) {
        for (std::size_t OtherNode = 0; OtherNode < m_Nodes.size(); ++OtherNode)
          if (Writer ==
              fmt::format("n{}#{}", OtherNode, m_Nodes[OtherNode].m_StartCount))
            return true;
        return false;
      });
}

void PayoutSimulation::step() {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    if (m_Nodes[Index].m_StartCount != m_State.m_Groups.nodeStartCount(Index))
      restartNode(Index);
    if (!m_State.isRunning(Index))
      continue;
    ClaimEffects Effects;
    m_Nodes[Index].m_Registry->tick(m_State.m_Groups.nodeTime(Index), Effects);
    applyEffects(Index, Effects);
  }
  if (m_State.m_Groups.drawWithProbability(0.05)) {
    const UnixSeconds KeyTime =
        StartTime + m_State.m_Groups.nowMs() / 1000 +
        static_cast<UnixSeconds>(m_State.randomBelow(100));
    m_Payouts.push_back({fmt::format("{}-p{}", KeyTime, m_Payouts.size())});
    send(m_Payouts.size() - 1, m_State.randomBelow(m_Nodes.size()));
  }
  if (m_State.m_Groups.drawWithProbability(0.05) && !m_Payouts.empty()) {
    const std::size_t RecentCount = std::min<std::size_t>(m_Payouts.size(), 20);
    const std::size_t RepeatedPayout =
        m_Payouts.size() - 1 - m_State.randomBelow(RecentCount);
    send(RepeatedPayout, m_State.randomBelow(m_Nodes.size()));
  }
}

bool PayoutSimulation::isIdle(std::size_t Node) const {
  return m_Nodes[Node].m_PendingClaims.empty() &&
         m_Nodes[Node].m_Dispatched.empty() &&
         m_Nodes[Node].m_Registry->isDrained();
}

void PayoutSimulation::beginShutdown(std::size_t Node) {
  ClaimEffects Effects;
  m_Nodes[Node].m_Registry->beginShutdown(m_State.m_Groups.nodeTime(Node),
                                          Effects);
  applyEffects(Node, Effects);
}

void PayoutSimulation::send(std::size_t Payout, std::size_t Node) {
  auto &SentPayout = m_Payouts[Payout];
  if (!m_State.isRunning(Node) || SentPayout.m_SendCount >= MaxSends)
    return;
  ++SentPayout.m_SendCount;
  const std::uint64_t Attempt = ++m_LastAttempt;
  if (m_State.m_ShuttingDown[Node] || !m_State.mayAcceptNewWork(Node)) {
    recordRefusal(Attempt, "not accepting");
    return;
  }
  const auto Key = IdempotencyKey::parse(SentPayout.m_Key);
  ClaimEffects Effects;
  const ClaimId Id = m_Nodes[Node].m_Registry->claim(
      *Key, "cooperative", SentPayout.m_Key, m_State.m_Groups.nodeTime(Node),
      StartTime + m_State.m_Groups.nowMs() / 1000, Effects);
  m_Nodes[Node].m_PendingClaims[Id] = {Payout, Attempt};
  m_State.m_EventLog.add("payout",
                         fmt::format("{} at n{}", SentPayout.m_Key, Node));
  applyEffects(Node, Effects);
}

void PayoutSimulation::applyEffects(std::size_t Node, ClaimEffects &Effects) {
  for (const StoreAction &Action : Effects.m_Actions)
    m_State.m_Groups.callStore(
        Node, Action, [this, Node](const StoreResponse &Response) {
          if (m_Nodes[Node].m_StartCount !=
              m_State.m_Groups.nodeStartCount(Node))
            return;
          ClaimEffects NextEffects;
          const MonotonicTime Now = m_State.m_Groups.nodeTime(Node);
          if (const auto *Get = std::get_if<GetCompleted>(&Response))
            m_Nodes[Node].m_Registry->onGet(*Get, Now, NextEffects);
          else
            m_Nodes[Node].m_Registry->onPut(std::get<WriteCompleted>(Response),
                                            Now, NextEffects);
          applyEffects(Node, NextEffects);
        });
  for (ClaimResult &Result : Effects.m_Results)
    onClaimResult(Node, Result);
}

void PayoutSimulation::onClaimResult(std::size_t Node, ClaimResult &Result) {
  auto &Claims = m_Nodes[Node].m_PendingClaims;
  const auto PendingClaim = Claims.find(Result.m_Id);
  if (PendingClaim == Claims.end())
    return;
  const auto [Payout, Attempt] = PendingClaim->second;
  Claims.erase(PendingClaim);
  if (Result.m_Kind == ClaimResultKind::Granted) {
    dispatch(Node, Payout, Attempt, *Result.m_Token);
    return;
  }
  if (Result.m_Kind == ClaimResultKind::AlreadyDone &&
      m_Payouts[Payout].m_ExecutionCount != 1)
    m_State.m_EventLog.recordViolation(
        "I7", fmt::format("{} is recorded as done after {} "
                          "executions",
                          m_Payouts[Payout].m_Key,
                          m_Payouts[Payout].m_ExecutionCount));
  recordRefusal(Attempt, "claim refused");
}

void PayoutSimulation::recordRefusal(std::uint64_t Attempt,
                                     const char *Reason) {
  m_State.m_EventLog.add("payout refused",
                         fmt::format("{} {}", Attempt, Reason));
  if (m_ExecutedAttempts.count(Attempt) != 0)
    m_State.m_EventLog.recordViolation(
        "I6", fmt::format("refused attempt {} had been executed", Attempt));
  m_RefusedAttempts.insert(Attempt);
}

void PayoutSimulation::dispatch(std::size_t Node, std::size_t Payout,
                                std::uint64_t Attempt, DispatchToken &Token) {
  const MonotonicTime Now = m_State.m_Groups.nodeTime(Node);
  auto Claim = Token.consume();
  ClaimEffects Effects;
  if (m_State.m_Groups.drawWithProbability(0.05)) {
    // The service refused the connection, so the node sent no byte of the
    // request and may release the claim.
    m_Nodes[Node].m_Registry->releaseIfUnsent(std::move(*Claim), 0, Now,
                                              Effects);
    recordRefusal(Attempt, "connection refused");
    applyEffects(Node, Effects);
    return;
  }
  m_Nodes[Node].m_Dispatched.emplace(Attempt, std::move(*Claim));
  const int Starts = m_Nodes[Node].m_StartCount;
  const bool RequestLost = m_State.drawMessageLoss();
  const bool ResponseLost = RequestLost || m_State.drawMessageLoss();
  const std::int64_t RequestDelayMs = m_State.randomMessageDelayMs();
  if (!RequestLost)
    m_State.m_Groups.scheduleAfter(RequestDelayMs,
                                   [=] { execute(Payout, Attempt); });
  const std::int64_t ResponseAfterMs =
      ResponseLost ? 500 : RequestDelayMs + m_State.randomMessageDelayMs() + 1;
  m_State.m_Groups.scheduleAfter(ResponseAfterMs, [=] {
    m_State.m_Groups.runWhenUnpaused(Node, Starts, [=] {
      if (m_Nodes[Node].m_StartCount != m_State.m_Groups.nodeStartCount(Node))
        return;
      auto Dispatched = m_Nodes[Node].m_Dispatched.find(Attempt);
      if (Dispatched == m_Nodes[Node].m_Dispatched.end())
        return;
      ClaimEffects NextEffects;
      const MonotonicTime RecordedAt = m_State.m_Groups.nodeTime(Node);
      if (ResponseLost)
        m_Nodes[Node].m_Registry->recordUnknown(std::move(Dispatched->second),
                                                RecordedAt, NextEffects);
      else
        m_Nodes[Node].m_Registry->recordDone(std::move(Dispatched->second),
                                             {200, "paid", true}, RecordedAt,
                                             NextEffects);
      m_Nodes[Node].m_Dispatched.erase(Dispatched);
      applyEffects(Node, NextEffects);
    });
  });
}

void PayoutSimulation::execute(std::size_t Payout, std::uint64_t Attempt) {
  ++m_ExecutionCount;
  m_ExecutedAttempts.insert(Attempt);
  m_State.m_EventLog.add("execution", m_Payouts[Payout].m_Key);
  if (++m_Payouts[Payout].m_ExecutionCount > 1)
    m_State.m_EventLog.recordViolation("I7", m_Payouts[Payout].m_Key +
                                                 " was executed twice");
  if (m_RefusedAttempts.count(Attempt) != 0)
    m_State.m_EventLog.recordViolation(
        "I6",
        fmt::format("attempt {} was executed after its refusal", Attempt));
}

} // namespace fulmarwinch
