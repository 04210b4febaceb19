#include "core/hash.h"

#include "fmt/format.h"
#include "openssl/crypto.h"
#include "openssl/sha.h"

#include <array>

namespace fulmarwinch {

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  std::string Hex;
  for (const unsigned char Byte : Digest)
    Hex += fmt::format("{:02x}", Byte);
  return Hex;
}

bool equalsInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace fulmarwinch
