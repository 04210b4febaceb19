#include "servers/admission/rate_limiter.h"

#include <algorithm>
#include <functional>

namespace fulmarwinch {

void RateLimiter::setLimit(const std::string &Organisation,
                           const RateLimit &Limit) {
  Shard &OwningShard = shardFor(Organisation);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  const auto [Found, Added] = OwningShard.m_Buckets.try_emplace(Organisation);
  Bucket &TargetBucket = Found->second;
  TargetBucket.m_Tokens =
      Added ? Limit.m_BurstTokens
            : std::min(TargetBucket.m_Tokens, Limit.m_BurstTokens);
  TargetBucket.m_Limit = Limit;
}

void RateLimiter::removeLimit(const std::string &Organisation) {
  Shard &OwningShard = shardFor(Organisation);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  OwningShard.m_Buckets.erase(Organisation);
}

std::optional<Duration> RateLimiter::tryConsume(const std::string &Organisation,
                                                double CostTokens,
                                                MonotonicTime Now) {
  Shard &OwningShard = shardFor(Organisation);
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  const auto Found = OwningShard.m_Buckets.find(Organisation);
  if (Found == OwningShard.m_Buckets.end())
    return std::nullopt;
  Bucket &TargetBucket = Found->second;
  if (TargetBucket.m_LastRefill && Now > *TargetBucket.m_LastRefill) {
    const std::chrono::duration<double> Elapsed =
        Now - *TargetBucket.m_LastRefill;
    TargetBucket.m_Tokens =
        std::min(TargetBucket.m_Limit.m_BurstTokens,
                 TargetBucket.m_Tokens +
                     Elapsed.count() * TargetBucket.m_Limit.m_TokensPerSecond);
  }
  TargetBucket.m_LastRefill =
      std::max(TargetBucket.m_LastRefill.value_or(Now), Now);
  const double Cost = std::min(CostTokens, TargetBucket.m_Limit.m_BurstTokens);
  if (TargetBucket.m_Tokens >= Cost) {
    TargetBucket.m_Tokens -= Cost;
    return std::nullopt;
  }
  constexpr double MaxWaitSeconds = 3600;
  const double Rate = TargetBucket.m_Limit.m_TokensPerSecond;
  const double Wait =
      Rate > 0 ? std::min(MaxWaitSeconds, (Cost - TargetBucket.m_Tokens) / Rate)
               : MaxWaitSeconds;
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Wait));
}

RateLimiter::Shard &RateLimiter::shardFor(const std::string &Organisation) {
  return m_Shards[std::hash<std::string>{}(Organisation) % m_Shards.size()];
}

} // namespace fulmarwinch
