#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_HASH_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_HASH_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// First 128 bits of a SHA-256 digest. A cryptographic hash is used because
/// callers choose the keys: a collision that a caller can construct would
/// return another organisation's outcome.
using ClaimHash = std::array<std::uint8_t, 16>;

/// Returns the hash of a text such as a request body.
ClaimHash hashText(std::string_view Text);

/// Returns the hash of a key together with its organisation, so that equal keys
/// of two organisations have different hashes.
ClaimHash hashKey(std::string_view Organisation, std::string_view Key);

/// Returns \p Hash as 22 characters of URL-safe base64.
std::string encodeHash(const ClaimHash &Hash);

/// Decodes the result of encodeHash(). Returns nothing if \p Text is malformed.
std::optional<ClaimHash> decodeHash(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_CLAIM_HASH_H
