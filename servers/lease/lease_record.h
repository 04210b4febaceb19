#ifndef FULMARWINCH_SERVERS_LEASE_LEASE_RECORD_H
#define FULMARWINCH_SERVERS_LEASE_LEASE_RECORD_H

#include "core/store_position.h"
#include "core/time.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Content of the store object `lease/<shard>`.
struct LeaseRecord {
  /// Writer ID of the lease holder; empty after the lease was released.
  std::string m_Holder;
  /// Writer ID of the process that wrote the record. It is unique per process
  /// start.
  std::string m_Writer;
  /// Fencing token. Increases each time the lease changes its holder, and when
  /// a holder acquires it again after it expired.
  std::uint64_t m_Epoch = 0;
  /// Sequence number of the write among all writes of m_Writer. Each attempt
  /// has its own number, so that a later read shows which attempt took effect.
  std::uint64_t m_Sequence = 0;
  /// Time for which the holder may act, counted from when it sent this record.
  Duration m_Duration{};
};

/// Lowest epoch of the leases that are acquired in \p Era of the store. Epochs
/// of an era are higher than all of the eras before, also than those that the
/// store no longer contains.
std::uint64_t firstEpochOf(StoreEra Era);

/// Parses the value of a lease object. Returns an error if the text is not JSON
/// or lacks the writer, the epoch or the duration.
absl::StatusOr<LeaseRecord> parseLeaseRecord(std::string_view Text);

/// Returns the JSON text to store for \p Record.
std::string serialiseLeaseRecord(const LeaseRecord &Record);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_LEASE_RECORD_H
