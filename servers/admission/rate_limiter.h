#ifndef FULMARWINCH_SERVERS_ADMISSION_RATE_LIMITER_H
#define FULMARWINCH_SERVERS_ADMISSION_RATE_LIMITER_H

#include "core/time.h"

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace fulmarwinch {

/// Rate limit of one organisation on this node, in prompt and response tokens.
struct RateLimit {
  double m_TokensPerSecond = 0;
  double m_BurstTokens = 0;
};

/// Rate limiter with a token bucket per organisation. An organisation without a
/// limit is not limited. Safe for use by several threads; each shard has its
/// own lock.
class RateLimiter {
public:
  /// Sets or changes the limit of an organisation. A new bucket starts full; an
  /// existing one is reduced to the new burst size.
  void setLimit(const std::string &Organisation, const RateLimit &Limit);
  void removeLimit(const std::string &Organisation);

  /// Consumes \p CostTokens from the bucket. Returns nothing on success, else
  /// the time until the bucket holds enough tokens, at most one hour. A cost
  /// above the burst size is charged as the burst size, because the request
  /// could never be accepted otherwise.
  std::optional<Duration> tryConsume(const std::string &Organisation,
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

  Shard &shardFor(const std::string &Organisation);

  std::array<Shard, 16> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_RATE_LIMITER_H
