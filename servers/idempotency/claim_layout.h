#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_LAYOUT_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_LAYOUT_H

#include "core/time.h"
#include "servers/idempotency/claim_hash.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Maps keys to bucket objects. All nodes have to use the same layout for as
/// long as any key is accepted, because a key has to map to one object.
struct ClaimLayout {
  /// Length of the key time that one group of buckets covers.
  UnixSeconds m_SliceSeconds = 10;
  /// Number of buckets of one slice. With a batch delay of 20 ms, 7 buckets
  /// keep within 300 updates/s (docs/decisions/idempotency.md).
  unsigned m_BucketsPerSlice = 7;

  /// A bucket is deleted this long after the end of its slice: one hour after
  /// the last key in it could be accepted. The hour exceeds the clock skew.
  static constexpr UnixSeconds Retention = UnixSeconds(25) * 3600;

  /// Returns "claims/<slice>/<bucket>".
  std::string bucketKey(UnixSeconds KeyTime, const ClaimHash &Key) const;

  /// Returns whether the bucket object \p ObjectKey may be deleted.
  bool isExpired(std::string_view ObjectKey, UnixSeconds Now) const;

  /// Returns the slice number in \p ObjectKey, if it is a bucket's key.
  static std::optional<UnixSeconds> sliceOf(std::string_view ObjectKey);

  /// Returns the node that should collect the claims of \p ObjectKey. This
  /// only makes batches fuller; it carries no safety.
  static std::string ownerOf(std::string_view ObjectKey,
                             const std::vector<std::string> &Nodes);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_LAYOUT_H
