#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BUCKET_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BUCKET_H

#include "servers/idempotency/claim_record.h"

#include "absl/status/statusor.h"

#include <map>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Content of one bucket object: the claim records of its keys. The encoding
/// stores the names of writers and organisations once, in tables, so that a
/// record without a response body takes about 80 bytes.
class ClaimBucket {
public:
  /// Upper bound of the encoded size of a record without names and response
  /// body.
  static constexpr std::size_t RecordBytes = 100;

  /// Decodes the result of encode(). Fails if any part of it is malformed.
  static absl::StatusOr<ClaimBucket> decode(std::string_view Text);
  std::string encode() const;

  /// Returns the record of the key with the hash \p Key, or null.
  const ClaimRecord *find(const ClaimHash &Key) const;
  void set(const ClaimHash &Key, ClaimRecord Record);
  std::size_t size() const { return m_Records.size(); }

  /// Sets the writer of this content and the sequence number of its update
  /// (docs/design.md, 3.1).
  void setLastWrite(std::string Writer, std::uint64_t Sequence);
  std::uint64_t writeSequence() const { return m_WriteSequence; }

  /// Returns an upper bound of the encoded size if every claim without an
  /// outcome gets one with a response body of \p OutcomeBytes bytes.
  std::size_t maxEncodedBytes(std::size_t OutcomeBytes) const;

  /// Returns the size in base64 of a response body of \p BodyBytes bytes.
  static std::size_t encodedBodyBytes(std::size_t BodyBytes);

private:
  std::map<ClaimHash, ClaimRecord> m_Records;
  std::string m_Writer;
  std::uint64_t m_WriteSequence = 0;
  /// Upper bound of the encoded size of all records without names.
  std::size_t m_MaxRecordBytes = 0;
  /// Number of claims without an outcome.
  std::size_t m_ClaimsWithoutOutcome = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_BUCKET_H
