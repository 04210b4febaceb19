#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BUCKET_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BUCKET_H

#include "servers/idempotency/claim_record.h"

#include "absl/status/statusor.h"

#include <map>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Content of one bucket object: one record per key. The codec keeps writers
/// and organisations in tables, so that a record without a response body takes
/// about 80 bytes.
class ClaimBucket {
public:
  /// Upper bound of a record's size without names and body.
  static constexpr std::size_t RecordBytes = 100;

  static absl::StatusOr<ClaimBucket> decode(std::string_view Text);
  std::string encode() const;

  const ClaimRecord *find(const ClaimHash &Key) const;
  void set(const ClaimHash &Key, ClaimRecord Record);
  std::size_t size() const { return m_Records.size(); }

  /// Names the update that produced this content; see design.md, 3.1.
  void stamp(std::string Writer, std::uint64_t Sequence);
  std::uint64_t writeSequence() const { return m_WriteSequence; }

  /// Returns an upper bound of the encoded size if every claim that is still
  /// open gets an outcome whose body has \p OutcomeBytes.
  std::size_t reservedBytes(std::size_t OutcomeBytes) const;

  /// Returns an upper bound of the bytes that \p Body takes in encoded form.
  static std::size_t encodedBodyBytes(std::size_t BodyBytes);

private:
  std::map<ClaimHash, ClaimRecord> m_Records;
  std::string m_Writer;
  std::uint64_t m_WriteSequence = 0;
  std::size_t m_Bytes = 0;
  std::size_t m_OpenClaims = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BUCKET_H
