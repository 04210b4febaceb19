#include "randomised/payout_world.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {
constexpr UnixSeconds StartTime = 1767225600;
constexpr int MaxSends = 6;
} // namespace

PayoutWorld::PayoutWorld(RunState &State)
    : m_State(State), m_Nodes(State.m_World.nodeCount()) {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
    restart(Index);
}

void PayoutWorld::restart(std::size_t Index) {
  Node &RestartedNode = m_Nodes[Index];
  RestartedNode.m_Starts = m_State.m_World.starts(Index);
  RestartedNode.m_Claims.clear();
  RestartedNode.m_Dispatched.clear();
  RestartedNode.m_Registry = std::make_unique<ClaimRegistry>(
      fmt::format("n{}#{}", Index, RestartedNode.m_Starts),
      ClaimLayout{3600, 2}, ClaimSettings{}, [this](const std::string &Writer) {
        for (std::size_t OtherNode = 0; OtherNode < m_Nodes.size(); ++OtherNode)
          if (Writer ==
              fmt::format("n{}#{}", OtherNode, m_Nodes[OtherNode].m_Starts))
            return true;
        return false;
      });
}

void PayoutWorld::step() {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    if (m_Nodes[Index].m_Starts != m_State.m_World.starts(Index))
      restart(Index);
    if (!m_State.isRunning(Index))
      continue;
    ClaimEffects Effects;
    m_Nodes[Index].m_Registry->tick(m_State.m_World.nodeTime(Index), Effects);
    apply(Index, Effects);
  }
  if (m_State.m_World.chance(0.05)) {
    const UnixSeconds KeyTime = StartTime + m_State.m_World.now() / 1000 +
                                static_cast<UnixSeconds>(m_State.pick(100));
    m_Payouts.push_back({fmt::format("{}-p{}", KeyTime, m_Payouts.size())});
    send(m_Payouts.size() - 1, m_State.pick(m_Nodes.size()));
  }
  if (m_State.m_World.chance(0.05) && !m_Payouts.empty()) {
    const std::size_t RecentCount = std::min<std::size_t>(m_Payouts.size(), 20);
    const std::size_t RepeatedPayout =
        m_Payouts.size() - 1 - m_State.pick(RecentCount);
    send(RepeatedPayout, m_State.pick(m_Nodes.size()));
  }
}

bool PayoutWorld::isIdle(std::size_t Node) const {
  return m_Nodes[Node].m_Claims.empty() && m_Nodes[Node].m_Dispatched.empty() &&
         m_Nodes[Node].m_Registry->isDrained();
}

void PayoutWorld::beginShutdown(std::size_t Node) {
  ClaimEffects Effects;
  m_Nodes[Node].m_Registry->beginShutdown(m_State.m_World.nodeTime(Node),
                                          Effects);
  apply(Node, Effects);
}

void PayoutWorld::send(std::size_t Payout, std::size_t Node) {
  auto &SentPayout = m_Payouts[Payout];
  if (!m_State.isRunning(Node) || SentPayout.m_Sent >= MaxSends)
    return;
  ++SentPayout.m_Sent;
  const std::uint64_t Attempt = ++m_LastAttempt;
  if (m_State.m_ShuttingDown[Node] || !m_State.mayAcceptNewWork(Node)) {
    refused(Attempt, "not accepting");
    return;
  }
  const auto Key = IdempotencyKey::parse(SentPayout.m_Key);
  ClaimEffects Effects;
  const ClaimId Id = m_Nodes[Node].m_Registry->claim(
      *Key, "cooperative", SentPayout.m_Key, m_State.m_World.nodeTime(Node),
      StartTime + m_State.m_World.now() / 1000, Effects);
  m_Nodes[Node].m_Claims[Id] = {Payout, Attempt};
  m_State.m_Log.add("payout", fmt::format("{} at n{}", SentPayout.m_Key, Node));
  apply(Node, Effects);
}

void PayoutWorld::apply(std::size_t Node, ClaimEffects &Effects) {
  for (const StoreAction &Action : Effects.m_Actions)
    m_State.m_World.callStore(
        Node, Action, [this, Node](const StoreAnswer &Response) {
          if (m_Nodes[Node].m_Starts != m_State.m_World.starts(Node))
            return;
          ClaimEffects NextEffects;
          const MonotonicTime Now = m_State.m_World.nodeTime(Node);
          if (const auto *Get = std::get_if<GetCompleted>(&Response))
            m_Nodes[Node].m_Registry->onGet(*Get, Now, NextEffects);
          else
            m_Nodes[Node].m_Registry->onPut(std::get<PutCompleted>(Response),
                                            Now, NextEffects);
          apply(Node, NextEffects);
        });
  for (ClaimResult &Result : Effects.m_Results)
    takeResult(Node, Result);
}

void PayoutWorld::takeResult(std::size_t Node, ClaimResult &Result) {
  auto &Claims = m_Nodes[Node].m_Claims;
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
      m_Payouts[Payout].m_Executions != 1)
    m_State.m_Log.violate("I7", fmt::format("{} is recorded as done after {} "
                                            "executions",
                                            m_Payouts[Payout].m_Key,
                                            m_Payouts[Payout].m_Executions));
  refused(Attempt, "claim refused");
}

void PayoutWorld::refused(std::uint64_t Attempt, const char *Reason) {
  m_State.m_Log.add("payout refused", fmt::format("{} {}", Attempt, Reason));
  if (m_ExecutedAttempts.count(Attempt) != 0)
    m_State.m_Log.violate(
        "I6", fmt::format("refused attempt {} had been executed", Attempt));
  m_RefusedAttempts.insert(Attempt);
}

void PayoutWorld::dispatch(std::size_t Node, std::size_t Payout,
                           std::uint64_t Attempt, DispatchToken &Token) {
  const MonotonicTime Now = m_State.m_World.nodeTime(Node);
  auto Claim = Token.consume();
  ClaimEffects Effects;
  if (m_State.m_World.chance(0.05)) {
    // The service refused the connection, so the node sent no byte of the
    // request and may release the claim.
    m_Nodes[Node].m_Registry->releaseUnsent(std::move(*Claim), 0, Now, Effects);
    refused(Attempt, "connection refused");
    apply(Node, Effects);
    return;
  }
  m_Nodes[Node].m_Dispatched.emplace(Attempt, std::move(*Claim));
  const int Starts = m_Nodes[Node].m_Starts;
  const bool RequestLost = m_State.isLost();
  const bool ResponseLost = RequestLost || m_State.isLost();
  const std::int64_t RequestDelayMs = m_State.delay();
  if (!RequestLost)
    m_State.m_World.after(RequestDelayMs, [=] { execute(Payout, Attempt); });
  const std::int64_t ResponseAfterMs =
      ResponseLost ? 500 : RequestDelayMs + m_State.delay() + 1;
  m_State.m_World.after(ResponseAfterMs, [=] {
    m_State.m_World.whenAwake(Node, Starts, [=] {
      if (m_Nodes[Node].m_Starts != m_State.m_World.starts(Node))
        return;
      auto Dispatched = m_Nodes[Node].m_Dispatched.find(Attempt);
      if (Dispatched == m_Nodes[Node].m_Dispatched.end())
        return;
      ClaimEffects NextEffects;
      const MonotonicTime RecordedAt = m_State.m_World.nodeTime(Node);
      if (ResponseLost)
        m_Nodes[Node].m_Registry->recordUnknown(std::move(Dispatched->second),
                                                RecordedAt, NextEffects);
      else
        m_Nodes[Node].m_Registry->recordDone(std::move(Dispatched->second),
                                             {200, "paid", true}, RecordedAt,
                                             NextEffects);
      m_Nodes[Node].m_Dispatched.erase(Dispatched);
      apply(Node, NextEffects);
    });
  });
}

void PayoutWorld::execute(std::size_t Payout, std::uint64_t Attempt) {
  ++m_Executions;
  m_ExecutedAttempts.insert(Attempt);
  m_State.m_Log.add("execution", m_Payouts[Payout].m_Key);
  if (++m_Payouts[Payout].m_Executions > 1)
    m_State.m_Log.violate("I7",
                          m_Payouts[Payout].m_Key + " was executed twice");
  if (m_RefusedAttempts.count(Attempt) != 0)
    m_State.m_Log.violate(
        "I6",
        fmt::format("attempt {} was executed after its refusal", Attempt));
}

} // namespace fulmarwinch
