#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_LAYOUT_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_LAYOUT_H

#include "core/time.h"
#include "servers/idempotency/claim_hash.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Maps idempotency keys to bucket objects. All nodes have to use the same
/// layout, and it must not change while a key is accepted, because a key has to
/// map to the same object on every node and at every time.
struct ClaimLayout {
  /// Length of a time slice. Keys whose time is in the same slice share its
  /// buckets.
  UnixSeconds m_SliceSeconds = 10;
  /// Number of buckets of one time slice. With a batch delay of 20 ms, 7
  /// buckets cause at most 300 updates/s (docs/decisions/idempotency.md).
  unsigned m_BucketsPerSlice = 7;

  /// Time from the end of a slice to the deletion of its buckets: one hour
  /// longer than its keys are accepted. The hour exceeds the skew between
  /// clocks.
  static constexpr UnixSeconds Retention = UnixSeconds(25) * 3600;

  /// Returns the key of the bucket object, "claims/<slice>/<bucket>", for the
  /// key with the time \p KeyTime and the hash \p Key.
  std::string bucketKey(UnixSeconds KeyTime, const ClaimHash &Key) const;

  /// Returns whether the bucket object \p ObjectKey may be deleted. Returns
  /// false for other objects.
  bool isExpired(std::string_view ObjectKey, UnixSeconds Now) const;

  /// Returns the slice number in \p ObjectKey, or nothing if it is not the key
  /// of a bucket object.
  static std::optional<UnixSeconds> sliceOf(std::string_view ObjectKey);

  /// Returns the node that should receive the claims of the bucket \p
  /// ObjectKey, chosen by rendezvous hashing, or an empty text if there are no
  /// nodes. One node per bucket makes batches larger; correctness does not
  /// depend on it.
  static std::string ownerOf(std::string_view ObjectKey,
                             const std::vector<std::string> &Nodes);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_LAYOUT_H
