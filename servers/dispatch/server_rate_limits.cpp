#include "servers/dispatch/server_rate_limits.h"
#include "core/rendezvous.h"
#include "core/text.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarwinch {

namespace {

/// Lowest rate in requests per second at which all nodes together send to a
/// limited server: only an answer can show that the limit has ended.
constexpr double MinRate = 0.25;
constexpr double MaxRate = 1e6;
/// Nodes beyond the limit in requests per second that may send to a server.
/// Each may be one request ahead of its share.
constexpr std::size_t SendersBeyondRate = 2;
/// Time by which a request may be late without delaying the next one.
constexpr Duration MaxLateness = std::chrono::milliseconds(100);
/// Time after which a statement is forgotten that no node has heard again.
constexpr Duration StatementLifetime = std::chrono::minutes(1);
/// Maximum number of statements in one message; each takes about 50 bytes.
constexpr std::size_t MaxStatements = 64;

} // namespace

std::optional<double> parseRateLimit(std::string_view Value) {
  double Rate = 0.0;
  if (!absl::SimpleAtod(toAbslView(Value), &Rate) || std::isnan(Rate) ||
      Rate < 0.0)
    return std::nullopt;
  return std::min(Rate, MaxRate);
}

void ServerRateLimits::setNodes(std::string OwnName, std::size_t NodeCount,
                                std::vector<std::string> LiveNodes) {
  m_OwnName = std::move(OwnName);
  m_NodeCount = NodeCount;
  m_LiveNodes = std::move(LiveNodes);
  for (auto &[Server, Known] : m_Limits)
    Known.m_Rank = rendezvousRank(Server, m_LiveNodes, m_OwnName);
}

bool ServerRateLimits::onLimitNamed(const std::string &Server,
                                    std::int64_t StartedAtMs,
                                    double RequestsPerSecond,
                                    MonotonicTime Now) {
  const bool IsNew = !find(Server, StartedAtMs, Now);
  Limit Stated;
  Stated.m_StartedAtMs = StartedAtMs;
  Stated.m_RequestsPerSecond = RequestsPerSecond;
  Stated.m_StatedAt = Now;
  Stated.m_IsOwn = true;
  setStatement(Server, Stated, Now);
  return IsNew;
}

bool ServerRateLimits::onNoLimitNamed(const std::string &Server,
                                      std::int64_t StartedAtMs,
                                      MonotonicTime RequestSentAt) {
  const auto Known = m_Limits.find(Server);
  if (Known == m_Limits.end() || Known->second.m_StartedAtMs != StartedAtMs ||
      RequestSentAt <= Known->second.m_StatedAt)
    return false;
  const bool IsEnd = Known->second.m_RequestsPerSecond.has_value();
  Known->second.m_RequestsPerSecond.reset();
  Known->second.m_StatedAt = RequestSentAt;
  Known->second.m_IsOwn = true;
  return IsEnd;
}

void ServerRateLimits::mergePeerStatements(
    const RateLimitStatements &Statements, MonotonicTime Now) {
  for (const auto &[Server, Stated] : Statements) {
    const auto Known = m_Limits.find(Server);
    const MonotonicTime StatedAt = Now - Stated.m_Age;
    if (Stated.m_Age < Duration::zero() || Stated.m_Age > StatementLifetime ||
        (Known != m_Limits.end() && Known->second.m_StatedAt >= StatedAt))
      continue;
    Limit Heard;
    Heard.m_StartedAtMs = Stated.m_StartedAtMs;
    Heard.m_RequestsPerSecond = Stated.m_RequestsPerSecond;
    Heard.m_StatedAt = StatedAt;
    setStatement(Server, Heard, Now);
  }
}

RateLimitStatements ServerRateLimits::ownStatements(MonotonicTime Now) const {
  std::vector<std::pair<MonotonicTime, std::string>> Latest;
  for (const auto &[Server, Known] : m_Limits)
    if (Known.m_IsOwn && Now - Known.m_StatedAt <= StatementLifetime)
      Latest.emplace_back(Known.m_StatedAt, Server);
  std::sort(Latest.rbegin(), Latest.rend());
  if (Latest.size() > MaxStatements)
    Latest.resize(MaxStatements);
  RateLimitStatements Result;
  for (const auto &[StatedAt, Server] : Latest) {
    const Limit &Known = m_Limits.at(Server);
    Result[Server] = {Known.m_StartedAtMs, Known.m_RequestsPerSecond,
                      Now - StatedAt};
  }
  return Result;
}

MonotonicTime ServerRateLimits::nextRequestAt(const std::string &Server,
                                              std::int64_t StartedAtMs,
                                              MonotonicTime Now) const {
  const Limit *Active = find(Server, StartedAtMs, Now);
  if (!Active)
    return MonotonicTime{};
  return Active->m_Rank < senderCount(*Active) ? Active->m_NextRequestAt
                                               : MonotonicTime::max();
}

bool ServerRateLimits::tryAcquire(const std::string &Server,
                                  std::int64_t StartedAtMs, MonotonicTime Now) {
  if (!find(Server, StartedAtMs, Now))
    return true;
  if (nextRequestAt(Server, StartedAtMs, Now) > Now)
    return false;
  Limit &Active = m_Limits.at(Server);
  Active.m_NextRequestAt =
      std::max(Active.m_NextRequestAt, Now - MaxLateness) + interval(Active);
  return true;
}

void ServerRateLimits::onUnlimitedCall(const std::string &Server,
                                       std::int64_t StartedAtMs,
                                       MonotonicTime Now) {
  if (!find(Server, StartedAtMs, Now))
    return;
  Limit &Active = m_Limits.at(Server);
  Active.m_NextRequestAt =
      std::max(Now, Active.m_NextRequestAt) + interval(Active);
}

const ServerRateLimits::Limit *ServerRateLimits::find(const std::string &Server,
                                                      std::int64_t StartedAtMs,
                                                      MonotonicTime Now) const {
  const auto Known = m_Limits.find(Server);
  return Known != m_Limits.end() &&
                 Known->second.m_StartedAtMs == StartedAtMs &&
                 Known->second.m_RequestsPerSecond &&
                 Now - Known->second.m_StatedAt <= StatementLifetime
             ? &Known->second
             : nullptr;
}

std::size_t ServerRateLimits::senderCount(const Limit &Active) const {
  const auto Count =
      static_cast<std::size_t>(*Active.m_RequestsPerSecond) + SendersBeyondRate;
  return m_NodeCount == 0 ? Count : std::min(Count, m_NodeCount);
}

Duration ServerRateLimits::interval(const Limit &Active) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(senderCount(Active)) /
      std::max(MinRate, *Active.m_RequestsPerSecond)));
}

void ServerRateLimits::setStatement(const std::string &Server,
                                    const Limit &Stated, MonotonicTime Now) {
  const bool WasLimited = find(Server, Stated.m_StartedAtMs, Now) != nullptr;
  removeForgotten(Now);
  const auto [Known, IsAdded] = m_Limits.try_emplace(Server);
  Limit &Entry = Known->second;
  const MonotonicTime Next = Entry.m_NextRequestAt;
  const std::size_t Rank =
      IsAdded ? rendezvousRank(Server, m_LiveNodes, m_OwnName) : Entry.m_Rank;
  Entry = Stated;
  Entry.m_Rank = Rank;
  if (!Entry.m_RequestsPerSecond)
    return;
  const Duration Interval = interval(Entry);
  if (WasLimited) {
    Entry.m_NextRequestAt = std::min(Next, Now + Interval);
    return;
  }
  // Nodes that learn of the limit together do not send at the same time.
  std::uniform_real_distribution<double> Share(0.0, 1.0);
  Entry.m_NextRequestAt =
      Now + std::chrono::duration_cast<Duration>(Interval * Share(m_Random));
}

void ServerRateLimits::removeForgotten(MonotonicTime Now) {
  for (auto Entry = m_Limits.begin(); Entry != m_Limits.end();)
    Entry = Now - Entry->second.m_StatedAt > StatementLifetime
                ? m_Limits.erase(Entry)
                : std::next(Entry);
}

} // namespace fulmarwinch
