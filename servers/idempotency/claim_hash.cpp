#include "servers/idempotency/claim_hash.h"

#include "absl/strings/escaping.h"
#include "openssl/evp.h"

#include <algorithm>

namespace fulmarwinch {

ClaimHash hashText(std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Length, EVP_sha256(),
             nullptr);
  ClaimHash Hash{};
  std::copy_n(Digest.begin(), Hash.size(), Hash.begin());
  return Hash;
}

ClaimHash hashKey(std::string_view Organisation, std::string_view Key) {
  std::string QualifiedKey(Organisation);
  QualifiedKey += '\0';
  QualifiedKey += Key;
  return hashText(QualifiedKey);
}

std::string encodeHash(const ClaimHash &Hash) {
  return absl::WebSafeBase64Escape(std::string(Hash.begin(), Hash.end()));
}

std::optional<ClaimHash> decodeHash(const std::string &Text) {
  std::string Bytes;
  if (!absl::WebSafeBase64Unescape(Text, &Bytes) ||
      Bytes.size() != ClaimHash().size())
    return std::nullopt;
  ClaimHash Hash{};
  std::copy(Bytes.begin(), Bytes.end(), Hash.begin());
  return Hash;
}

} // namespace fulmarwinch
