#include "servers/admission/rate_limiter.h"

#include <algorithm>
#include <functional>

namespace fulmarwinch {

void RateLimiter::setLimit(const std::string &Organisation,
                           const RateLimit &Limit) {
  Shard &Part = shardOf(Organisation);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  const auto [Found, Added] = Part.m_Buckets.try_emplace(Organisation);
  Bucket &Entry = Found->second;
  Entry.m_Tokens = Added ? Limit.m_BurstTokens
                         : std::min(Entry.m_Tokens, Limit.m_BurstTokens);
  Entry.m_Limit = Limit;
}

void RateLimiter::removeLimit(const std::string &Organisation) {
  Shard &Part = shardOf(Organisation);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  Part.m_Buckets.erase(Organisation);
}

std::optional<Duration> RateLimiter::tryTake(const std::string &Organisation,
                                             double CostTokens,
                                             MonotonicTime Now) {
  Shard &Part = shardOf(Organisation);
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  const auto Found = Part.m_Buckets.find(Organisation);
  if (Found == Part.m_Buckets.end())
    return std::nullopt;
  Bucket &Entry = Found->second;
  if (Entry.m_LastRefill && Now > *Entry.m_LastRefill) {
    const std::chrono::duration<double> Elapsed = Now - *Entry.m_LastRefill;
    Entry.m_Tokens = std::min(
        Entry.m_Limit.m_BurstTokens,
        Entry.m_Tokens + Elapsed.count() * Entry.m_Limit.m_TokensPerSecond);
  }
  Entry.m_LastRefill = std::max(Entry.m_LastRefill.value_or(Now), Now);
  const double Cost = std::min(CostTokens, Entry.m_Limit.m_BurstTokens);
  if (Entry.m_Tokens >= Cost) {
    Entry.m_Tokens -= Cost;
    return std::nullopt;
  }
  constexpr double LongestWaitSeconds = 3600;
  const double Rate = Entry.m_Limit.m_TokensPerSecond;
  const double Wait =
      Rate > 0 ? std::min(LongestWaitSeconds, (Cost - Entry.m_Tokens) / Rate)
               : LongestWaitSeconds;
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Wait));
}

RateLimiter::Shard &RateLimiter::shardOf(const std::string &Organisation) {
  return m_Shards[std::hash<std::string>{}(Organisation) % m_Shards.size()];
}

} // namespace fulmarwinch
