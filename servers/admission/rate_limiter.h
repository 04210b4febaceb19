#ifndef FULMARWINCH_SERVERS_ADMISSION_RATE_LIMITER_H
#define FULMARWINCH_SERVERS_ADMISSION_RATE_LIMITER_H

#include "core/time.h"

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace fulmarwinch {

/// Rate limit of one organisation on this node, in tokens of work.
struct RateLimit {
  double m_TokensPerSecond = 0;
  double m_BurstTokens = 0;
};

/// Token bucket per organisation. Safe for use by several threads; each shard
/// has its own lock. An organisation without a limit is not limited.
class RateLimiter {
public:
  /// Sets or changes the limit. The bucket of a new organisation is full.
  void setLimit(const std::string &Organisation, const RateLimit &Limit);
  void removeLimit(const std::string &Organisation);

  /// Takes \p CostTokens. Returns nothing if they were taken, else the time
  /// after which the request would be accepted. A cost above the burst is
  /// charged as the burst, because it could never be accepted otherwise.
  std::optional<Duration> tryTake(const std::string &Organisation,
                                  double CostTokens, MonotonicTime Now);

private:
  struct Bucket {
    RateLimit m_Limit;
    double m_Tokens = 0;
    std::optional<MonotonicTime> m_LastRefill;
  };
  struct Shard {
    std::mutex m_Mutex;
    std::unordered_map<std::string, Bucket> m_Buckets;
  };

  Shard &shardOf(const std::string &Organisation);

  std::array<Shard, 16> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_RATE_LIMITER_H
