#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_DISPATCH_TOKEN_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_DISPATCH_TOKEN_H

#include "servers/idempotency/claim_hash.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace fulmarwinch {

/// Names one granted claim.
struct ClaimGrant {
  std::string m_BucketKey;
  ClaimHash m_Key{};
  std::uint64_t m_Sequence = 0;
};

/// A claim whose request may have reached the service. Its outcome has to be
/// recorded.
class DispatchedClaim {
public:
  DispatchedClaim(DispatchedClaim &&) = default;
  DispatchedClaim &operator=(DispatchedClaim &&) = default;
  DispatchedClaim(const DispatchedClaim &) = delete;
  DispatchedClaim &operator=(const DispatchedClaim &) = delete;
  ~DispatchedClaim() = default;

  const ClaimGrant &grant() const { return m_Grant; }

private:
  friend class DispatchToken;
  explicit DispatchedClaim(ClaimGrant Grant) : m_Grant(std::move(Grant)) {}
  ClaimGrant m_Grant;
};

/// Permission to dispatch one request once. Only ClaimBatcher creates tokens,
/// and only for a claim that is certainly stored.
class DispatchToken {
public:
  DispatchToken(DispatchToken &&Other) noexcept
      : m_Grant(std::exchange(Other.m_Grant, std::nullopt)) {}
  DispatchToken &operator=(DispatchToken &&Other) noexcept {
    m_Grant = std::exchange(Other.m_Grant, std::nullopt);
    return *this;
  }
  DispatchToken(const DispatchToken &) = delete;
  DispatchToken &operator=(const DispatchToken &) = delete;
  ~DispatchToken() = default;

  /// Returns the claim to dispatch at the first call and nothing afterwards.
  std::optional<DispatchedClaim> consume() {
    std::optional<ClaimGrant> Grant = takeGrant();
    if (!Grant)
      return std::nullopt;
    return DispatchedClaim(std::move(*Grant));
  }

private:
  friend class ClaimBatcher;
  friend class ClaimRegistry;
  explicit DispatchToken(ClaimGrant Grant) : m_Grant(std::move(Grant)) {}
  std::optional<ClaimGrant> takeGrant() {
    return std::exchange(m_Grant, std::nullopt);
  }
  std::optional<ClaimGrant> m_Grant;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_DISPATCH_TOKEN_H
