#include "servers/lease/lease_record.h"
#include "core/error.h"
#include "core/json.h"

namespace fulmarwinch {

namespace {

/// Number of epochs in each era. The epoch of a group, a multiple of that of
/// its lease, still fits into a double for 80,000 eras.
constexpr std::uint64_t EpochsPerEra = std::uint64_t{1} << 20U;

} // namespace

std::uint64_t firstEpochOf(StoreEra Era) { return Era * EpochsPerEra; }

absl::StatusOr<LeaseRecord> parseLeaseRecord(std::string_view Text) {
  const absl::StatusOr<Json> Object = parseJson(Text, "lease object");
  if (!Object.ok())
    return Object.status();
  LeaseRecord Record;
  Record.m_Holder = fieldOr(*Object, "holder", std::string());
  Record.m_Writer = fieldOr(*Object, "writer", std::string());
  Record.m_Epoch = fieldOr(*Object, "epoch", std::uint64_t{0});
  Record.m_Sequence = fieldOr(*Object, "sequence", std::uint64_t{0});
  Record.m_Duration = std::chrono::milliseconds(
      fieldOr(*Object, "duration_ms", std::int64_t{0}));
  if (Record.m_Writer.empty() || Record.m_Epoch == 0 ||
      Record.m_Duration <= Duration::zero())
    return makeError(ErrorKind::InvalidArgument,
                     "lease object lacks writer, epoch or duration_ms",
                     "write a record with a higher epoch than any before");
  return Record;
}

std::string serialiseLeaseRecord(const LeaseRecord &Record) {
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Record.m_Duration);
  return Json{{"holder", Record.m_Holder},
              {"writer", Record.m_Writer},
              {"epoch", Record.m_Epoch},
              {"sequence", Record.m_Sequence},
              {"duration_ms", Milliseconds.count()}}
      .dump();
}

} // namespace fulmarwinch
