#ifndef FULMARWINCH_SERVERS_LEASE_LEASE_RECORD_H
#define FULMARWINCH_SERVERS_LEASE_LEASE_RECORD_H

#include "core/time.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Content of the object `lease/<shard>`.
struct LeaseRecord {
  /// Writer ID of the holder; empty after a release.
  std::string m_Holder;
  /// Writer ID of the process that wrote the record. It is unique per process
  /// start.
  std::string m_Writer;
  /// Grows each time the shard changes hands or a holder let its lease lapse.
  std::uint64_t m_Epoch = 0;
  /// Number of the write among the writes of m_Writer. Each attempt has its
  /// own number, so a reread shows which attempt took effect.
  std::uint64_t m_Sequence = 0;
  /// How long the holder may act after it sent this record.
  Duration m_Duration{};
};

/// Parses the value of a lease object.
absl::StatusOr<LeaseRecord> parseLeaseRecord(std::string_view Text);

/// Returns the value to store for \p Record.
std::string serialiseLeaseRecord(const LeaseRecord &Record);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_LEASE_LEASE_RECORD_H
