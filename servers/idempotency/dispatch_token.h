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

/// Collects the grants of tokens that were destroyed before they were used. It
/// outlives the registry if a token does.
class DroppedGrants {
public:
  void add(ClaimGrant Grant) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Grants.push_back(std::move(Grant));
  }
  std::vector<ClaimGrant> take() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return std::exchange(m_Grants, {});
  }

private:
  std::mutex m_Mutex;
  std::vector<ClaimGrant> m_Grants;
};

/// Permission to dispatch one request once. Only ClaimBatcher creates tokens,
/// and only for a claim that is certainly stored. An unused token that is
/// destroyed releases its claim, because nothing was sent.
class DispatchToken {
public:
  DispatchToken(DispatchToken &&Other) noexcept
      : m_Grant(std::exchange(Other.m_Grant, std::nullopt)),
        m_Dropped(std::move(Other.m_Dropped)) {}
  DispatchToken &operator=(DispatchToken &&Other) noexcept {
    if (this == &Other)
      return *this;
    drop();
    m_Grant = std::exchange(Other.m_Grant, std::nullopt);
    m_Dropped = std::move(Other.m_Dropped);
    return *this;
  }
  DispatchToken(const DispatchToken &) = delete;
  DispatchToken &operator=(const DispatchToken &) = delete;
  ~DispatchToken() { drop(); }

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
  DispatchToken(ClaimGrant Grant, std::shared_ptr<DroppedGrants> Dropped)
      : m_Grant(std::move(Grant)), m_Dropped(std::move(Dropped)) {}
  std::optional<ClaimGrant> takeGrant() {
    return std::exchange(m_Grant, std::nullopt);
  }
  void drop() {
    if (std::optional<ClaimGrant> Grant = takeGrant(); Grant && m_Dropped)
      m_Dropped->add(std::move(*Grant));
  }
  std::optional<ClaimGrant> m_Grant;
  std::shared_ptr<DroppedGrants> m_Dropped;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_DISPATCH_TOKEN_H
