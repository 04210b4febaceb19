#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_DISPATCH_TOKEN_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_DISPATCH_TOKEN_H

#include "servers/idempotency/claim_hash.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmarwinch {

/// Identifies one granted claim by its bucket object, key hash and sequence
/// number.
struct ClaimGrant {
  std::string m_BucketKey;
  ClaimHash m_KeyHash{};
  std::uint64_t m_Sequence = 0;
};

/// A claim whose request may have reached the service. The holder has to record
/// the outcome in the ClaimRegistry.
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

/// Collects the grants of tokens that were destroyed unused, so that the
/// registry releases their claims. Tokens share the ownership, so that a token
/// may outlive the registry. Thread-safe.
class UnusedGrantList {
public:
  void add(ClaimGrant Grant) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Grants.push_back(std::move(Grant));
  }
  std::vector<ClaimGrant> extractAll() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return std::exchange(m_Grants, {});
  }

private:
  std::mutex m_Mutex;
  std::vector<ClaimGrant> m_Grants;
};

/// Permission to send one request to the service once. Only ClaimBatcher
/// creates tokens, and only for a claim that it knows to be stored. The claim
/// of a token that is destroyed unused is released, because the request was not
/// sent.
class DispatchToken {
public:
  DispatchToken(DispatchToken &&Other) noexcept
      : m_Grant(std::exchange(Other.m_Grant, std::nullopt)),
        m_UnusedGrants(std::move(Other.m_UnusedGrants)) {}
  DispatchToken &operator=(DispatchToken &&Other) noexcept {
    if (this == &Other)
      return *this;
    returnUnusedGrant();
    m_Grant = std::exchange(Other.m_Grant, std::nullopt);
    m_UnusedGrants = std::move(Other.m_UnusedGrants);
    return *this;
  }
  DispatchToken(const DispatchToken &) = delete;
  DispatchToken &operator=(const DispatchToken &) = delete;
  ~DispatchToken() { returnUnusedGrant(); }

  /// Returns the claim on the first call, after which the request may be sent,
  /// and nothing on later calls.
  std::optional<DispatchedClaim> consume() {
    std::optional<ClaimGrant> Grant = extractGrant();
    if (!Grant)
      return std::nullopt;
    return DispatchedClaim(std::move(*Grant));
  }

private:
  friend class ClaimBatcher;
  friend class ClaimRegistry;
  DispatchToken(ClaimGrant Grant, std::shared_ptr<UnusedGrantList> UnusedGrants)
      : m_Grant(std::move(Grant)), m_UnusedGrants(std::move(UnusedGrants)) {}
  std::optional<ClaimGrant> extractGrant() {
    return std::exchange(m_Grant, std::nullopt);
  }
  void returnUnusedGrant() {
    if (std::optional<ClaimGrant> Grant = extractGrant();
        Grant && m_UnusedGrants)
      m_UnusedGrants->add(std::move(*Grant));
  }
  std::optional<ClaimGrant> m_Grant;
  std::shared_ptr<UnusedGrantList> m_UnusedGrants;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_DISPATCH_TOKEN_H
