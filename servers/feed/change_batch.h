#ifndef FULMARWINCH_SERVERS_FEED_CHANGE_BATCH_H
#define FULMARWINCH_SERVERS_FEED_CHANGE_BATCH_H

#include "core/object_feed.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fulmarwinch {

/// Changes of one kind of object that a watch returned, as nodes forward them
/// to each other.
struct ObjectChangeBatch {
  std::string m_Kind;
  /// The batch contains every change of the kind after m_From, up to and
  /// including m_To. Both are of one era.
  StorePosition m_From;
  StorePosition m_To;
  std::vector<ObjectChange> m_Changes;
};

/// Encodes \p Batch as messages for one datagram each. The changes are
/// compressed, since the entries of one kind are similar to each other, and
/// then cut into parts of a fixed size, so that an object may be larger than a
/// datagram. Returns nothing if the compressed changes exceed \p MaxBytes.
std::vector<Json> encodeChangeBatch(const ObjectChangeBatch &Batch,
                                    std::size_t MaxBytes);

/// Reassembles batches from their parts, which may arrive in any order, more
/// than once or not at all.
class ChangeBatchAssembler {
public:
  /// Adds one message of encodeChangeBatch(). Returns the batch once all of its
  /// parts have arrived; nothing if parts are missing or \p Part is malformed.
  std::optional<ObjectChangeBatch> addPart(const Json &Part);

private:
  /// Kind, first and last position of a batch.
  using BatchKey = std::tuple<std::string, StorePosition, StorePosition>;
  struct PartialBatch {
    std::uint64_t m_StartedAs = 0;
    std::map<std::size_t, std::vector<std::uint8_t>> m_Parts;
  };

  void removeOldest();

  std::map<BatchKey, PartialBatch> m_PartialBatches;
  std::uint64_t m_StartedBatches = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FEED_CHANGE_BATCH_H
